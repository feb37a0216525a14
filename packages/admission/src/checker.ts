import * as decision from "@citronlead/decision";
import * as rateLimits from "./ratelimit.js";

/** A grant or a refund of tokens to a workspace. */
export interface GrantChange {
    readonly workspace: string;
    /** In true time, not on a host's clock. */
    readonly at: decision.Milliseconds;
    readonly chargeId: string;
    /** Positive for a grant, negative for a refund. */
    readonly tokens: number;
}

interface VirtualBucket {
    level: number;
    refilledAt: decision.Milliseconds;
    rateLimit: rateLimits.RateLimit;
}

/** Allows for the accumulated rounding errors of a run, in tokens per token of burst. */
const TOLERANCE_PER_BURST_TOKEN = 1e-6;

/**
 * Checks that no workspace gets more than its rate and burst over all hosts together. Keeps one virtual token bucket
 * for each workspace, which starts full by default. The tokens spent in every time window are at most burst + rate *
 * length if and only if the level of this bucket never falls below zero. When the rate limit changes, the level is
 * capped at the new burst.
 */
export class RateLimitChecker {
    private readonly buckets = new Map<string, VirtualBucket>();
    /** The lowest level that any workspace's virtual bucket reached, relative to its burst. */
    lowestLevelRatio = 1;

    /**
     * Sets the rate limit of a workspace from a time on. A run in which every slice starts empty may start the virtual
     * bucket at 0, which detects smaller violations.
     */
    setRateLimit(
        workspace: string,
        next: rateLimits.RateLimit,
        at: decision.Milliseconds,
        startLevel = next.burstTokens,
    ): void {
        const bucket = this.buckets.get(workspace);
        if (!bucket) {
            this.buckets.set(workspace, { level: startLevel, refilledAt: at, rateLimit: next });
            return;
        }
        this.refill(bucket, at);
        bucket.rateLimit = next;
        bucket.level = Math.min(bucket.level, next.burstTokens);
    }

    /**
     * Applies a grant or a refund. Throws a BrokenInvariantError if the tokens spent in some time window exceed the
     * limit.
     */
    apply(change: GrantChange): void {
        const bucket = this.buckets.get(change.workspace);
        decision.invariant(bucket !== undefined, `no rate limit is set for workspace ${change.workspace}`);
        this.refill(bucket, change.at);
        bucket.level = Math.min(bucket.level - change.tokens, bucket.rateLimit.burstTokens);
        this.lowestLevelRatio = Math.min(
            this.lowestLevelRatio,
            bucket.level / Math.max(1, bucket.rateLimit.burstTokens),
        );
        const minimumLevel = -TOLERANCE_PER_BURST_TOKEN * Math.max(1, bucket.rateLimit.burstTokens);
        decision.invariant(
            bucket.level >= minimumLevel,
            () =>
                `workspace ${change.workspace} got ${-bucket
                    .level} tokens beyond its rate and burst at ${change.at}`,
        );
    }

    private refill(bucket: VirtualBucket, at: decision.Milliseconds): void {
        const refilled = bucket.level
            + Math.max(0, at - bucket.refilledAt) * bucket.rateLimit.tokensPerSecond / decision.SECOND_MS;
        bucket.level = Math.min(bucket.rateLimit.burstTokens, refilled);
        bucket.refilledAt = Math.max(at, bucket.refilledAt);
    }
}
