import type * as protobuf from "@bufbuild/protobuf";
import * as lifecycle from "@citronlead/lifecycle";
import type * as protocol from "@citronlead/protocol";
import * as decisions from "@citronlead/quarantine";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as peers from "./peers.js";
import * as probes from "./quarantineprobe.js";
import * as store from "./quarantinestore.js";
import type * as upstreams from "./upstreams.js";

export { Standing, type Verdict } from "@citronlead/quarantine";

/** Keeps contents that crash upstreams from taking the pools down. */
export interface Quarantine {
    readonly verdict: (fingerprint: string) => decisions.Verdict;
    /**
     * Takes note that an upstream broke off while it ran this content. Whether that was a crash is found out here; the
     * promise resolves when it was. The content must not be sent again before, since the verdict may change.
     */
    readonly noteBreak: (fingerprint: string, upstreamName: string, requestId: string) => Promise<void>;
    /** Takes note that a content ran whole, which clears a suspect. */
    readonly noteWhole: (fingerprint: string) => void;
}

const TICK_MS = 250;
/** Reports are sent twice, since a lost one would make an innocent content look worse than the harmful one. */
const REPORT_AGAIN_MS = 400;
/** A suspect is held back while another break of it is looked into; it may come back after this time. */
const LOOK_HOLD_MS = 250;
/** How many hosts are asked for their quarantines at the start. */
const ASKED_HOSTS = 3;

/** Starts the quarantine. Without the list of upstreams no break counts as a crash. */
export function startQuarantine(
    context: contexts.Context,
    membership: memberships.Membership,
    links: peers.Peers,
    known?: Pick<upstreams.Upstreams, "find">,
): Quarantine {
    const keeper = new Keeper(context, membership, links);
    const breaks = new probes.BreakWatch(
        context,
        known,
        (crash) => keeper.tell({ kind: decisions.QuarantineEventKind.Crashed, ...crash, own: true }),
    );
    return {
        verdict: (fingerprint) => {
            const verdict = keeper.verdict(fingerprint);
            return verdict.standing === decisions.Standing.Suspect && breaks.looksInto(fingerprint)
                ? { standing: decisions.Standing.Quarantined, remainingMs: LOOK_HOLD_MS }
                : verdict;
        },
        noteBreak: (fingerprint, upstreamName) => breaks.note(fingerprint, upstreamName),
        noteWhole: (fingerprint) => keeper.tell({ kind: decisions.QuarantineEventKind.RanWhole, fingerprint }),
    };
}

type Body = protobuf.MessageInitShape<typeof protocol.QuarantineMessageSchema>["body"];

class Keeper {
    private state: decisions.QuarantineState;
    private readonly kept: store.QuarantineStore;
    private asked = false;

    constructor(
        private readonly context: contexts.Context,
        private readonly membership: memberships.Membership,
        private readonly links: peers.Peers,
    ) {
        this.state = decisions.quarantineModule.start({ host: context.settings.host }, context.clock());
        this.kept = new store.QuarantineStore(context);
        links.receive("quarantine", ({ sender, message }) => {
            if (message.body.case === "quarantine") {
                this.take(sender, message.body.value);
            }
        });
        void this.kept.read((told) => this.tell({ kind: decisions.QuarantineEventKind.Quarantined, ...told }));
        membership.onChange(() => this.askPeers());
        this.askPeers();
        lifecycle.every(context.scope, TICK_MS, () => this.tell({ kind: decisions.QuarantineEventKind.Tick }));
    }

    verdict(fingerprint: string): decisions.Verdict {
        return decisions.verdict(this.state, fingerprint, this.context.clock());
    }

    tell(event: decisions.QuarantineEvent): void {
        const next = decisions.quarantineModule.decide(this.state, event, this.context.clock());
        this.state = next.state;
        next.actions.forEach((action) => this.carryOut(action));
    }

    private carryOut(action: decisions.QuarantineAction): void {
        switch (action.kind) {
            case decisions.QuarantineActionKind.Report: {
                const { upstream, incarnation, fingerprints } = action;
                const body: Body = {
                    case: "crashReport",
                    value: { upstream, incarnation, fingerprints: [...fingerprints] },
                };
                this.context.log.warn({ upstream, contents: fingerprints.length }, "upstream crashed");
                this.tellOthers(body);
                lifecycle.after(this.context.scope, REPORT_AGAIN_MS, () => this.tellOthers(body));
                return;
            }
            case decisions.QuarantineActionKind.Quarantine: {
                const { fingerprint, durationMs, offences } = action;
                this.context.log.warn({ fingerprint, durationMs, offences }, "content quarantined");
                this.tellOthers({ case: "quarantine", value: { fingerprint, durationMs, offences } });
                void this.kept.keep({ fingerprint, durationMs, offences });
                return;
            }
            case decisions.QuarantineActionKind.Clear:
                return this.tellOthers({ case: "clearance", value: { fingerprint: action.fingerprint } });
            case decisions.QuarantineActionKind.Tell: {
                const { fingerprint, durationMs, offences } = action;
                const peer = this.others().find(({ host }) => host === action.peer);
                return peer && this.send(peer, { case: "quarantine", value: { fingerprint, durationMs, offences } });
            }
        }
    }

    private take(sender: string, message: protocol.QuarantineMessage): void {
        const { body } = message;
        switch (body.case) {
            case "crashReport": {
                const { upstream, incarnation, fingerprints } = body.value;
                const kind = decisions.QuarantineEventKind.Crashed;
                return this.tell({ kind, upstream, incarnation, fingerprints, own: false });
            }
            case "quarantine": {
                const { fingerprint, durationMs, offences } = body.value;
                const kind = decisions.QuarantineEventKind.Quarantined;
                return this.tell({ kind, fingerprint, durationMs, offences });
            }
            case "clearance":
                return this.tell({
                    kind: decisions.QuarantineEventKind.Cleared,
                    fingerprint: body.value.fingerprint,
                });
            case "quarantineRequest":
                return this.tell({ kind: decisions.QuarantineEventKind.Asked, peer: sender });
        }
    }

    /** Asks a few hosts what is quarantined, once, as soon as there are others in the roster. */
    private askPeers(): void {
        const others = this.others();
        if (this.asked || others.length === 0) {
            return;
        }
        this.asked = true;
        const first = others.findIndex(({ host }) => host > this.context.settings.host);
        for (let index = 0; index < Math.min(ASKED_HOSTS, others.length); index++) {
            const peer = others[(Math.max(0, first) + index) % others.length];
            if (peer) {
                this.send(peer, { case: "quarantineRequest", value: {} });
            }
        }
    }

    private others(): readonly memberships.RosterHost[] {
        return this.membership.roster().filter(({ host }) => host !== this.context.settings.host);
    }

    private tellOthers(body: Body): void {
        this.others().forEach((peer) => this.send(peer, body));
    }

    private send(peer: memberships.RosterHost, body: Body): void {
        this.links.send(peer.host, peer.peerAddress, { case: "quarantine", value: { body } });
    }
}
