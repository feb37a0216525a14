import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";

/** The rate and burst of a workspace over all hosts, or of one of its slices. */
export interface RateLimit {
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

/** The rate limit that a configuration revision sets for a workspace. */
export interface RevisionRateLimit {
    readonly revision: number;
    readonly rateLimit: RateLimit;
}

/** The rate limit of a workspace that may spend nothing. */
export const ZERO_RATE_LIMIT: RateLimit = { tokensPerSecond: 0, burstTokens: 0 };

/** The largest relative error of a host's clock rate, in either direction. */
export const MAX_CLOCK_DRIFT = 0.01;

/** Slows down refills, so that a host whose clock runs fast never adds more than the rate in true time. */
export const REFILL_RATE_FACTOR = 1 - MAX_CLOCK_DRIFT;

/**
 * A duration multiplied by this ends before the full duration ends on any other clock: (1 - drift) / (1 + drift),
 * rounded down.
 */
export const SHORTER_DURATION_FACTOR = 0.98;

/** A duration multiplied by this ends after the full duration has ended on every other clock. */
export const LONGER_DURATION_FACTOR = 1.03;

/** The smaller rate and the smaller burst of two rate limits. */
export function stricter(left: RateLimit, right: RateLimit): RateLimit {
    return {
        tokensPerSecond: Math.min(left.tokensPerSecond, right.tokensPerSecond),
        burstTokens: Math.min(left.burstTokens, right.burstTokens),
    };
}

export function isSameRateLimit(left: RateLimit, right: RateLimit): boolean {
    return left.tokensPerSecond === right.tokensPerSecond && left.burstTokens === right.burstTokens;
}

/** The rate limit of each slice. All slices together never exceed the workspace's rate limit. */
export function sliceShare(workspaceLimit: RateLimit): RateLimit {
    return {
        tokensPerSecond: workspaceLimit.tokensPerSecond / membership.SLICE_COUNT,
        burstTokens: workspaceLimit.burstTokens / membership.SLICE_COUNT,
    };
}

/**
 * The smallest rate and the smallest burst in a history. Safe while owners of other slices may still apply any of its
 * revisions.
 */
export function strictest(history: readonly RevisionRateLimit[]): RateLimit {
    return history.map((entry) => entry.rateLimit).reduce(stricter, history[0]?.rateLimit ?? ZERO_RATE_LIMIT);
}

/** Adds a newer revision's rate limit, unless it equals the latest one. */
export function addRevision(
    history: readonly RevisionRateLimit[],
    next: RevisionRateLimit,
): readonly RevisionRateLimit[] {
    const latest = history.at(-1);
    return latest && isSameRateLimit(latest.rateLimit, next.rateLimit) ? history : [...history, next];
}

/** Drops the rate limits that were replaced by the given revision or an earlier one. */
export function dropRevisionsBefore(
    history: readonly RevisionRateLimit[],
    revision: number,
): readonly RevisionRateLimit[] {
    const currentIndex = history.findLastIndex((entry) => entry.revision <= revision);
    decision.invariant(currentIndex >= 0, "the rate limit of a revision that is in force is unknown");
    return history.slice(currentIndex);
}
