import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as logs from "./log.js";
import * as messages from "./messages.js";
import type * as peers from "./peers.js";
import * as warmups from "./warmup.js";

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
export type LimitChannel = Pick<peers.Peers, "charge" | "broadcastLimit" | "broadcastWarmUp">;

const UNLIMITED: Permit = { granted: true, refund: () => undefined };

/** How long after it was asked for a permit may be used: one used later falls into another second. */
const PERMIT_TTL_MS = 200;
/** Wait after a permit that came too late. */
const LATE_PERMIT_WAIT_MS = 50;

/** Keeps the limits that upstreams in need name, and those of upstreams that warm up, together with the other hosts. */
export class UpstreamLimits {
    private readonly limits = new dispatch.NamedLimits();
    private channel: LimitChannel | undefined;
    /** Which upstreams warm up. */
    readonly warmUps: warmups.UpstreamWarmUps;
    /** Until when no send to an upstream that warms up is granted, as far as this host knows, by purpose and incarnation. */
    private readonly warmUpSpentUntil: Record<dispatch.WarmUpSend, Map<string, decision.Milliseconds>> = {
        [dispatch.WarmUpSend.Run]: new Map(),
        [dispatch.WarmUpSend.Reserve]: new Map(),
    };

    constructor(private readonly clock: decision.Clock, private readonly log: logs.DecisionLog) {
        this.warmUps = new warmups.UpstreamWarmUps(clock, log);
    }

    /** Sets how other hosts are reached; until then every request is granted. */
    setChannel(channel: LimitChannel): void {
        this.channel = channel;
        this.warmUps.setChannel(channel.broadcastWarmUp);
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
        this.warmUps.forget(incarnation);
        Object.values(this.warmUpSpentUntil).forEach((spentUntil) => spentUntil.delete(incarnation));
    }

    /**
     * Asks for the charge of one send to an upstream that warms up, right before the send; the owner of its limit grants it for
     * the fleet. Granted at once for all others.
     */
    async permitSend(upstream: routing.Upstream, send = dispatch.WarmUpSend.Run): Promise<Permit> {
        const limit = this.warmUps.limitOf(upstream);
        if (!limit || !this.channel) {
            return UNLIMITED;
        }
        const incarnation = routing.incarnationOf(upstream);
        const spentForMs = this.warmUpSpentForMs(upstream, send);
        if (spentForMs > 0) {
            return { granted: false, waitMs: spentForMs };
        }
        const askedAt = this.clock();
        const { quotaDecision, refund } = await this.channel.charge(
            messages.Ledger.Upstreams,
            `${incarnation} warm-up`,
            dispatch.warmUpSendLimit(limit, send),
            1,
        );
        const now = this.clock();
        const isLate = now - askedAt > PERMIT_TTL_MS;
        if (quotaDecision.granted && !isLate) {
            return { granted: true, refund };
        }
        const waitMs = quotaDecision.granted ? LATE_PERMIT_WAIT_MS : quotaDecision.waitMs;
        this.warmUpSpentUntil[send].set(incarnation, now + waitMs);
        return { granted: false, waitMs };
    }

    /** Time until a send to an upstream that warms up may be granted again; 0 if one may be now. */
    private warmUpSpentForMs(upstream: routing.Upstream, send: dispatch.WarmUpSend): decision.Milliseconds {
        const spentUntil = this.warmUpSpentUntil[send].get(routing.incarnationOf(upstream));
        const spentForMs = Math.max(0, (spentUntil ?? 0) - this.clock());
        return spentForMs > 0 && this.warmUps.limitOf(upstream) ? spentForMs : 0;
    }

    /**
     * Asks for one request to an upstream, which the owner of its limit grants for the fleet. Sends to one that warms up are
     * charged as they are made; here it only counts that it bears none now.
     */
    async acquire(upstream: routing.Upstream, send = dispatch.WarmUpSend.Run): Promise<Permit> {
        const incarnation = routing.incarnationOf(upstream);
        const warmUpSpentForMs = this.warmUpSpentForMs(upstream, send);
        if (warmUpSpentForMs > 0) {
            return { granted: false, waitMs: warmUpSpentForMs };
        }
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
