import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as logs from "./log.js";
import * as messages from "./messages.js";
import type * as peers from "./peers.js";

/** Whether a request may be sent to an upstream. */
export type Permit =
    | {
        readonly granted: true;
        /** Takes the permit back if nothing was sent. */
        readonly refund: () => void;
    }
    | {
        readonly granted: false;
        /** Time until one would be granted. */
        readonly waitMs: decision.Milliseconds;
    };

/** A choice among candidates that a request may be sent to. */
export type PermittedChoice =
    | { readonly candidate: dispatch.Candidate; }
    | {
        readonly candidate: undefined;
        /** Time until a candidate's limit grants a request; infinite if there is no candidate. */
        readonly waitMs: decision.Milliseconds;
    };

/** How other hosts are told of limits and asked for permits. */
export type LimitChannel = Pick<peers.Peers, "charge" | "broadcastLimit">;

const UNLIMITED: Permit = { granted: true, refund: () => undefined };

/** Keeps the limits that upstreams in need name, together with the other hosts. */
export class UpstreamLimits {
    private readonly limits = new dispatch.NamedLimits();
    private channel: LimitChannel | undefined;

    constructor(private readonly clock: decision.Clock, private readonly log: logs.DecisionLog) {}

    /** Sets how other hosts are reached; until then every request is granted. */
    setChannel(channel: LimitChannel): void {
        this.channel = channel;
    }

    /** Records the limit in the answer to a request that was sent at `sentAt`; undefined if there is none. */
    observe(upstream: routing.Upstream, perSecond: number | undefined, sentAt: decision.Milliseconds): void {
        const incarnation = routing.incarnationOf(upstream);
        if (this.limits.observe(incarnation, perSecond, sentAt, this.clock())) {
            this.channel?.broadcastLimit(incarnation, perSecond);
            this.log.decision("upstream limit changed", { incarnation, limitPerSecond: perSecond, source: "answer" });
        }
    }

    /** Handles the limit that another host has read in an answer. */
    receive(incarnation: string, perSecond: number | undefined): void {
        this.limits.adopt(incarnation, perSecond, this.clock());
        this.log.decision("upstream limit changed", { incarnation, limitPerSecond: perSecond, source: "other host" });
    }

    /** Forgets an upstream that is gone. */
    forget(incarnation: string): void {
        this.limits.forget(incarnation);
    }

    /** Asks for one request to an upstream, which the owner of its limit grants for the fleet. */
    async acquire(upstream: routing.Upstream): Promise<Permit> {
        const incarnation = routing.incarnationOf(upstream);
        const ratePerSecond = this.limits.limitOf(incarnation, this.clock());
        if (ratePerSecond === undefined || !this.channel) {
            return UNLIMITED;
        }
        const spentForMs = this.limits.spentForMs(incarnation, this.clock());
        if (spentForMs > 0) {
            return { granted: false, waitMs: spentForMs };
        }
        const limit = { ratePerSecond, burst: 0, version: 0 };
        const { quotaDecision, refund } = await this.channel.charge(messages.Ledger.Upstreams, incarnation, limit, 1);
        if (quotaDecision.granted) {
            return { granted: true, refund };
        }
        this.limits.recordSpent(incarnation, quotaDecision.waitMs, this.clock());
        return quotaDecision;
    }

    /** The first of the candidates that a request may be sent to, or the time until there is one. */
    async firstPermitted(candidates: readonly dispatch.Candidate[]): Promise<PermittedChoice> {
        let waitMs = Infinity;
        for (const candidate of candidates) {
            const permit = await this.acquire(candidate.upstream);
            if (permit.granted) {
                return { candidate };
            }
            waitMs = Math.min(waitMs, permit.waitMs);
        }
        return { candidate: undefined, waitMs };
    }
}
