import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import * as net from "node:net";
import type * as contexts from "./context.js";
import type * as upstreams from "./upstreams.js";

/** A crash of an upstream and the contents that this host had running there. */
export interface FoundCrash {
    readonly upstream: string;
    /** The incarnation that crashed; empty if it is not known. */
    readonly incarnation: string;
    readonly fingerprints: readonly string[];
}

/** What a look at an upstream says about a break. */
enum Finding {
    /** The process is gone, or another runs in its place. */
    Crash = "crash",
    /** The same process runs on: the connection was cut. */
    Cut = "cut",
    /** It does not answer, which may be the network as well. */
    Unclear = "unclear",
}

/** Breaks of one upstream that are looked into together. */
interface OpenBreaks {
    readonly incarnation: string;
    readonly fingerprints: Set<string>;
    found: Promise<void>;
}

/** Breaks that come one after another are gathered for this long. */
const GATHER_MS = 20;
const LOOK_TIMEOUT_MS = 500;
const LOOKS = 5;
const LOOK_PAUSE_MS = 200;
/** Nobody listens at the address, and the machine says so: the process is gone, not the machine or the network. */
const REFUSED_CODE = "ECONNREFUSED";

/** Looks into breaks of upstreams, and tells which were crashes. */
export class BreakWatch {
    private readonly open = new Map<string, OpenBreaks>();

    constructor(
        private readonly context: contexts.Context,
        private readonly known: Pick<upstreams.Upstreams, "find"> | undefined,
        private readonly tell: (crash: FoundCrash) => void,
    ) {}

    /** Takes in a break. Resolves once it was found out whether it was a crash. */
    note(fingerprint: string, upstreamName: string): Promise<void> {
        const breaks = this.open.get(upstreamName);
        const target = this.known?.find(upstreamName);
        if (breaks) {
            breaks.fingerprints.add(fingerprint);
            return breaks.found;
        }
        if (!target) {
            return Promise.resolve();
        }
        const started: OpenBreaks = {
            incarnation: target.load?.incarnation ?? "",
            fingerprints: new Set([fingerprint]),
            found: Promise.resolve(),
        };
        this.open.set(upstreamName, started);
        started.found = this.lookInto(target, started);
        return started.found;
    }

    /** Whether a break of this content is being looked into. */
    looksInto(fingerprint: string): boolean {
        return [...this.open.values()].some((breaks) => breaks.fingerprints.has(fingerprint));
    }

    private async lookInto(target: upstreams.KnownUpstream, breaks: OpenBreaks): Promise<void> {
        await lifecycle.pause(this.context.scope, GATHER_MS);
        const finding = await look(this.context, target, breaks.incarnation);
        this.open.delete(target.name);
        if (finding === Finding.Crash && !this.context.scope.closed) {
            const { incarnation, fingerprints } = breaks;
            this.tell({ upstream: target.name, incarnation, fingerprints: [...fingerprints] });
        }
    }
}

async function look(
    context: contexts.Context,
    target: upstreams.KnownUpstream,
    incarnation: string,
): Promise<Finding> {
    for (let looks = 0; looks < LOOKS && !context.scope.closed; looks++) {
        const finding = incarnation === "" ? await connect(target) : await readIncarnation(target, incarnation);
        if (finding !== Finding.Unclear) {
            return finding;
        }
        await lifecycle.pause(context.scope, LOOK_PAUSE_MS);
    }
    return Finding.Unclear;
}

/** Asks a model engine which incarnation answers. */
async function readIncarnation(target: upstreams.KnownUpstream, incarnation: string): Promise<Finding> {
    const outcome = await upstream.readLoad({ address: target.address, timeoutMs: LOOK_TIMEOUT_MS });
    switch (outcome.result) {
        case upstream.CallResult.Done:
            return outcome.value.incarnation === incarnation ? Finding.Cut : Finding.Crash;
        case upstream.CallResult.Unreachable:
            return outcome.reason === REFUSED_CODE ? Finding.Crash : Finding.Unclear;
        default:
            return Finding.Unclear;
    }
}

/** Looks whether anybody listens, without sending anything: a plain service would run what it is sent. */
function connect(target: upstreams.KnownUpstream): Promise<Finding> {
    const { hostname, port } = new URL(target.address);
    return new Promise((resolve) => {
        const socket = net.connect({ host: hostname, port: Number(port), timeout: LOOK_TIMEOUT_MS });
        const end = (finding: Finding) => {
            socket.destroy();
            resolve(finding);
        };
        socket.once("connect", () => end(Finding.Cut));
        socket.once("timeout", () => end(Finding.Unclear));
        socket.once(
            "error",
            (error: NodeJS.ErrnoException) => end(error.code === REFUSED_CODE ? Finding.Crash : Finding.Unclear),
        );
    });
}
