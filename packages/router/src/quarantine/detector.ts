import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import * as net from "node:net";
import type * as contexts from "../context.js";
import type * as upstreams from "../upstreams.js";

/** A crash of an upstream, and the contents that this host had running there. */
export interface ConfirmedCrash {
    readonly upstream: string;
    /** The incarnation that crashed; empty if unknown. */
    readonly incarnation: string;
    readonly fingerprints: readonly string[];
}

/** Why the connection to an upstream was lost, as a probe of the upstream shows. */
enum ProbeResult {
    /** The process is gone, or another process runs in its place. */
    Crashed = "crash",
    /** The same process is still running, so only the connection was cut. */
    StillRunning = "cut",
    /** No answer: the upstream or the network may have failed. */
    Inconclusive = "unclear",
}

/** Lost connections to one upstream that one probe looks into. */
interface PendingProbe {
    readonly incarnation: string;
    readonly fingerprints: Set<string>;
    finished: Promise<void>;
}

/** Before a probe starts, further lost connections to the same upstream are collected for this long. */
const COLLECT_DELAY_MS = 20;
const PROBE_TIMEOUT_MS = 500;
const MAX_PROBE_ATTEMPTS = 5;
const PROBE_RETRY_DELAY_MS = 200;
/** The host answers that nothing listens at the address, so it is the process that is gone, not the host or network. */
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

/** Probes upstreams whose connections were lost, and reports those that crashed. */
export class CrashDetector {
    private readonly pending = new Map<string, PendingProbe>();

    constructor(
        private readonly context: contexts.Context,
        private readonly upstreamList: Pick<upstreams.Upstreams, "find"> | undefined,
        private readonly onCrash: (crash: ConfirmedCrash) => void,
    ) {}

    /** Reports a lost connection. Resolves once a probe has shown whether the upstream crashed. */
    reportDisconnect(fingerprint: string, upstreamName: string): Promise<void> {
        const running = this.pending.get(upstreamName);
        const target = this.upstreamList?.find(upstreamName);
        if (running) {
            running.fingerprints.add(fingerprint);
            return running.finished;
        }
        if (!target) {
            return Promise.resolve();
        }
        const started: PendingProbe = {
            incarnation: target.load?.incarnation ?? "",
            fingerprints: new Set([fingerprint]),
            finished: Promise.resolve(),
        };
        this.pending.set(upstreamName, started);
        started.finished = this.runProbe(target, started);
        return started.finished;
    }

    /** Whether a lost connection that ran this content is being probed. */
    isProbing(fingerprint: string): boolean {
        return [...this.pending.values()].some((probe) => probe.fingerprints.has(fingerprint));
    }

    private async runProbe(target: upstreams.KnownUpstream, probe: PendingProbe): Promise<void> {
        await lifecycle.pause(this.context.scope, COLLECT_DELAY_MS);
        const result = await probeUpstream(this.context, target, probe.incarnation);
        this.pending.delete(target.name);
        if (result === ProbeResult.Crashed && !this.context.scope.closed) {
            const { incarnation, fingerprints } = probe;
            this.onCrash({ upstream: target.name, incarnation, fingerprints: [...fingerprints] });
        }
    }
}

async function probeUpstream(
    context: contexts.Context,
    target: upstreams.KnownUpstream,
    incarnation: string,
): Promise<ProbeResult> {
    for (let attempt = 0; attempt < MAX_PROBE_ATTEMPTS && !context.scope.closed; attempt++) {
        const result = incarnation === "" ? await probePort(target) : await probeEngine(target, incarnation);
        if (result !== ProbeResult.Inconclusive) {
            return result;
        }
        await lifecycle.pause(context.scope, PROBE_RETRY_DELAY_MS);
    }
    return ProbeResult.Inconclusive;
}

/** Asks a model engine for its incarnation and compares it. */
async function probeEngine(target: upstreams.KnownUpstream, incarnation: string): Promise<ProbeResult> {
    const outcome = await upstream.readLoad({ address: target.address, timeoutMs: PROBE_TIMEOUT_MS });
    switch (outcome.result) {
        case upstream.CallResult.Done:
            return outcome.value.incarnation === incarnation ? ProbeResult.StillRunning : ProbeResult.Crashed;
        case upstream.CallResult.Unreachable:
            return outcome.reason === CONNECTION_REFUSED_CODE ? ProbeResult.Crashed : ProbeResult.Inconclusive;
        default:
            return ProbeResult.Inconclusive;
    }
}

/** Checks whether anything listens, without sending a request: a plain service would run it. */
function probePort(target: upstreams.KnownUpstream): Promise<ProbeResult> {
    const { hostname, port } = new URL(target.address);
    return new Promise((resolve) => {
        const socket = net.connect({ host: hostname, port: Number(port), timeout: PROBE_TIMEOUT_MS });
        const end = (result: ProbeResult) => {
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => end(ProbeResult.StillRunning));
        socket.once("timeout", () => end(ProbeResult.Inconclusive));
        socket.once(
            "error",
            (error: NodeJS.ErrnoException) =>
                end(error.code === CONNECTION_REFUSED_CODE ? ProbeResult.Crashed : ProbeResult.Inconclusive),
        );
    });
}
