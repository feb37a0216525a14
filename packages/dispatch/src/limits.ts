import type * as decision from "@citronlead/decision";
import * as newest from "./newest.js";
import type * as quotas from "./quota.js";

/** Window over which the limit that an upstream names is kept: short, for an upstream in need takes no bursts. */
export const LIMIT_WINDOW_MS = 2_000;
/** Rate at which an upstream is asked at least, since only its answers tell that it is no longer in need. */
const MIN_REQUESTS_PER_SECOND = 0.25;
/** Relative change of a limit that other hosts are told of. */
const NOTABLE_CHANGE = 0.1;
/** How long a limit applies after the last answer that named it. */
const LIMIT_TTL_MS = 30_000;

/** Share of a limit that all hosts together use while its owner does not respond; the owner may still grant the rest. */
export const FALLBACK_SHARE = 0.4;

/** Maximum number of upstreams of which a host keeps its share; the one asked longest ago is evicted first. */
const MAX_SHARES = 2_000;

interface NamedLimit {
    readonly perSecond: number;
    readonly namedAt: decision.Milliseconds;
    /** Until when no request to the upstream is granted, as far as this host knows. */
    readonly spentUntil: decision.Milliseconds;
}

/**
 * The request rates that upstreams in need name in their answers, for the fleet as a whole. Answers a load in which some
 * or all upstreams of a service take a part of what they took before, for some seconds.
 */
export class NamedLimits {
    private readonly limits = new Map<string, NamedLimit>();

    /**
     * Records what the answer to a request says; `perSecond` is undefined if it names no limit. Returns whether that is
     * news for other hosts.
     */
    observe(
        incarnation: string,
        perSecond: number | undefined,
        sentAt: decision.Milliseconds,
        now: decision.Milliseconds,
    ): boolean {
        const known = this.valid(incarnation, now);
        if (perSecond === undefined) {
            // Answers may overtake each other: one to an earlier request says nothing about the limit's end.
            return known !== undefined && sentAt >= known.namedAt && this.limits.delete(incarnation);
        }
        this.adopt(incarnation, perSecond, now);
        return known === undefined || Math.abs(perSecond - known.perSecond) > NOTABLE_CHANGE * known.perSecond;
    }

    /** Takes over what another host has observed. */
    adopt(incarnation: string, perSecond: number | undefined, now: decision.Milliseconds): void {
        if (perSecond === undefined) {
            this.limits.delete(incarnation);
            return;
        }
        const spentUntil = this.valid(incarnation, now)?.spentUntil ?? -Infinity;
        this.limits.set(incarnation, {
            perSecond: Math.max(MIN_REQUESTS_PER_SECOND, perSecond),
            namedAt: now,
            spentUntil,
        });
    }

    /** Requests per second that an upstream takes from the fleet; undefined if it names no limit. */
    limitOf(incarnation: string, now: decision.Milliseconds): number | undefined {
        return this.valid(incarnation, now)?.perSecond;
    }

    /** Records that the limit is spent for some time. */
    recordSpent(incarnation: string, waitMs: decision.Milliseconds, now: decision.Milliseconds): void {
        const known = this.valid(incarnation, now);
        if (known) {
            this.limits.set(incarnation, { ...known, spentUntil: now + waitMs });
        }
    }

    /** Time until a request may be granted again; 0 if it may be now. */
    spentForMs(incarnation: string, now: decision.Milliseconds): decision.Milliseconds {
        return Math.max(0, (this.valid(incarnation, now)?.spentUntil ?? 0) - now);
    }

    /** Forgets an upstream that is gone. */
    forget(incarnation: string): void {
        this.limits.delete(incarnation);
    }

    private valid(incarnation: string, now: decision.Milliseconds): NamedLimit | undefined {
        const known = this.limits.get(incarnation);
        return known && now - known.namedAt < LIMIT_TTL_MS ? known : undefined;
    }
}

/**
 * The share of the limits of upstreams that one host uses while their owner does not respond. It spaces requests evenly,
 * for with many hosts a share is far less than one request in any window.
 */
export class LimitShare {
    private readonly nextGrantAt = new Map<string, decision.Milliseconds>();

    /** `phase` draws from 0 to 1 the part of an interval by which the grants of hosts that ask together are spread. */
    constructor(private readonly phase: () => number = () => 0) {}

    /** Asks for one request to an upstream. The first is granted after a whole interval: others may just have been. */
    charge(
        incarnation: string,
        perSecond: number,
        hostCount: number,
        now: decision.Milliseconds,
    ): quotas.QuotaDecision {
        const intervalMs = 1_000 * Math.max(1, hostCount) / (perSecond * FALLBACK_SHARE);
        const known = this.nextGrantAt.get(incarnation) ?? now + intervalMs * (1 + this.phase());
        const nextAt = Math.min(known, now + intervalMs * 2);
        const granted = now >= nextAt;
        newest.setNewest(this.nextGrantAt, incarnation, granted ? now + intervalMs : nextAt, MAX_SHARES);
        return granted ? { granted } : { granted, waitMs: nextAt - now };
    }
}
