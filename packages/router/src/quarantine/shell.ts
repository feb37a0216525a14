import type * as protobuf from "@bufbuild/protobuf";
import * as lifecycle from "@citronlead/lifecycle";
import type * as protocol from "@citronlead/protocol";
import * as decisions from "@citronlead/quarantine";
import type * as contexts from "../context.js";
import type * as memberships from "../membership/shell.js";
import type * as peers from "../peers/transport.js";
import type * as upstreams from "../upstreams.js";
import * as crashDetectors from "./detector.js";
import * as store from "./store.js";

export { Standing, type Verdict } from "@citronlead/quarantine";

/** Stops request contents that crash upstreams from taking whole pools down. */
export interface Quarantine {
    readonly verdict: (fingerprint: string) => decisions.Verdict;
    /**
     * Reports that the connection to an upstream was lost while it ran this content. The promise resolves once a probe
     * has shown whether the upstream crashed. Do not send the content again before, since its verdict may change.
     */
    readonly reportDisconnect: (fingerprint: string, upstreamName: string, requestId: string) => Promise<void>;
    /** Reports that a content ran to completion, which clears a suspect. */
    readonly reportCompletion: (fingerprint: string) => void;
}

const TICK_INTERVAL_MS = 250;
/** Crash reports are sent twice: if one is lost, a harmless content could look worse than the harmful one. */
const REPORT_REPEAT_DELAY_MS = 400;
/** A suspect is refused while another lost connection of it is probed; the caller may retry after this time. */
const PROBE_RETRY_AFTER_MS = 250;
/** How many hosts a starting host asks for their quarantines. */
const MAX_ASKED_HOSTS = 3;

/** Starts the quarantine. Without the list of upstreams no lost connection counts as a crash. */
export function startQuarantine(
    context: contexts.Context,
    membership: memberships.Membership,
    transport: peers.PeerTransport,
    upstreamList?: Pick<upstreams.Upstreams, "find">,
): Quarantine {
    const shell = new QuarantineShell(context, membership, transport);
    const detector = new crashDetectors.CrashDetector(
        context,
        upstreamList,
        (crash) => shell.dispatch({ kind: decisions.QuarantineEventKind.Crashed, ...crash, own: true }),
    );
    return {
        verdict: (fingerprint) => {
            const verdict = shell.verdict(fingerprint);
            return verdict.standing === decisions.Standing.Suspect && detector.isProbing(fingerprint)
                ? { standing: decisions.Standing.Quarantined, remainingMs: PROBE_RETRY_AFTER_MS }
                : verdict;
        },
        reportDisconnect: (fingerprint, upstreamName) => detector.reportDisconnect(fingerprint, upstreamName),
        reportCompletion: (fingerprint) =>
            shell.dispatch({ kind: decisions.QuarantineEventKind.Completed, fingerprint }),
    };
}

type MessageBody = protobuf.MessageInitShape<typeof protocol.QuarantineMessageSchema>["body"];

/** Feeds events to the quarantine module, and carries out its actions. */
class QuarantineShell {
    private state: decisions.QuarantineState;
    private readonly storedQuarantines: store.QuarantineStore;
    private askedPeers = false;

    constructor(
        private readonly context: contexts.Context,
        private readonly membership: memberships.Membership,
        private readonly transport: peers.PeerTransport,
    ) {
        this.state = decisions.quarantineModule.start({ host: context.settings.host }, context.clock());
        this.storedQuarantines = new store.QuarantineStore(context);
        transport.onMessage("quarantine", ({ sender, message }) => {
            if (message.body.case === "quarantine") {
                this.handleMessage(sender, message.body.value);
            }
        });
        void this.storedQuarantines.load((quarantine) =>
            this.dispatch({ kind: decisions.QuarantineEventKind.Quarantined, ...quarantine })
        );
        membership.onChange(() => this.askPeers());
        this.askPeers();
        lifecycle.every(
            context.scope,
            TICK_INTERVAL_MS,
            () => this.dispatch({ kind: decisions.QuarantineEventKind.Tick }),
        );
    }

    verdict(fingerprint: string): decisions.Verdict {
        return decisions.verdict(this.state, fingerprint, this.context.clock());
    }

    dispatch(event: decisions.QuarantineEvent): void {
        const next = decisions.quarantineModule.decide(this.state, event, this.context.clock());
        this.state = next.state;
        next.actions.forEach((action) => this.carryOut(action));
    }

    private carryOut(action: decisions.QuarantineAction): void {
        switch (action.kind) {
            case decisions.QuarantineActionKind.ReportCrash: {
                const { upstream, incarnation, fingerprints } = action;
                const body: MessageBody = {
                    case: "crashReport",
                    value: { upstream, incarnation, fingerprints: [...fingerprints] },
                };
                this.context.log.warn({ upstream, contents: fingerprints.length }, "upstream crashed");
                this.broadcast(body);
                lifecycle.after(this.context.scope, REPORT_REPEAT_DELAY_MS, () => this.broadcast(body));
                return;
            }
            case decisions.QuarantineActionKind.AnnounceQuarantine: {
                const { fingerprint, durationMs, offences } = action;
                this.context.log.warn({ fingerprint, durationMs, offences }, "content quarantined");
                this.broadcast({ case: "quarantine", value: { fingerprint, durationMs, offences } });
                void this.storedQuarantines.save({ fingerprint, durationMs, offences });
                return;
            }
            case decisions.QuarantineActionKind.AnnounceClearance:
                return this.broadcast({ case: "clearance", value: { fingerprint: action.fingerprint } });
            case decisions.QuarantineActionKind.SendQuarantine: {
                const { fingerprint, durationMs, offences } = action;
                const peer = this.otherHosts().find(({ host }) => host === action.peer);
                return peer && this.send(peer, { case: "quarantine", value: { fingerprint, durationMs, offences } });
            }
        }
    }

    private handleMessage(sender: string, message: protocol.QuarantineMessage): void {
        const { body } = message;
        switch (body.case) {
            case "crashReport": {
                const { upstream, incarnation, fingerprints } = body.value;
                const kind = decisions.QuarantineEventKind.Crashed;
                return this.dispatch({ kind, upstream, incarnation, fingerprints, own: false });
            }
            case "quarantine": {
                const { fingerprint, durationMs, offences } = body.value;
                const kind = decisions.QuarantineEventKind.Quarantined;
                return this.dispatch({ kind, fingerprint, durationMs, offences });
            }
            case "clearance":
                return this.dispatch({
                    kind: decisions.QuarantineEventKind.Cleared,
                    fingerprint: body.value.fingerprint,
                });
            case "quarantineRequest":
                return this.dispatch({ kind: decisions.QuarantineEventKind.QuarantinesRequested, peer: sender });
        }
    }

    /**
     * Asks the few hosts that follow this one by name which contents are quarantined. Asks once, as soon as the roster
     * names other hosts.
     */
    private askPeers(): void {
        const others = this.otherHosts();
        if (this.askedPeers || others.length === 0) {
            return;
        }
        this.askedPeers = true;
        const first = others.findIndex(({ host }) => host > this.context.settings.host);
        for (let index = 0; index < Math.min(MAX_ASKED_HOSTS, others.length); index++) {
            const peer = others[(Math.max(0, first) + index) % others.length];
            if (peer) {
                this.send(peer, { case: "quarantineRequest", value: {} });
            }
        }
    }

    private otherHosts(): readonly memberships.RosterHost[] {
        return this.membership.roster().filter(({ host }) => host !== this.context.settings.host);
    }

    private broadcast(body: MessageBody): void {
        this.otherHosts().forEach((peer) => this.send(peer, body));
    }

    private send(peer: memberships.RosterHost, body: MessageBody): void {
        this.transport.send(peer.host, peer.peerAddress, { case: "quarantine", value: { body } });
    }
}
