import type * as decision from "@citronlead/decision";
import * as freeCapacities from "./freecapacity.js";
import * as rateLimits from "./ratelimit.js";

/** Tokens lent to another slice. They take up capacity of the bucket as long as they may still be spent there. */
export interface OutstandingLoan {
    readonly transferId: string;
    readonly part: number;
    readonly tokens: number;
    /** When the tokens are spent, credited or expired for certain, on the lender's clock. */
    readonly expiresAt: decision.Milliseconds;
}

/** A token bucket. Its level falls below zero when a model engine used more than was charged. */
export interface Bucket {
    /** Tokens at the time of the latest refill. */
    readonly level: number;
    readonly refilledAt: decision.Milliseconds;
    readonly rateLimit: rateLimits.RateLimit;
    readonly loans: readonly OutstandingLoan[];
    /** Counts the changes of the bucket, to tell which came after a charge. */
    readonly version: number;
    readonly freeCapacity: freeCapacities.FreeCapacityHistory;
}

export function emptyBucket(share: rateLimits.RateLimit, now: decision.Milliseconds): Bucket {
    return { level: 0, refilledAt: now, rateLimit: share, loans: [], version: 0, freeCapacity: [] };
}

/** Refill rate in tokens per millisecond. Stays within the rate limit even if this host's clock runs fast. */
export function refillPerMs(bucket: Bucket): number {
    return bucket.rateLimit.tokensPerSecond * rateLimits.REFILL_RATE_FACTOR / 1_000;
}

/** Tokens that are lent to other slices and may still be spent there. */
export function lentTokens(bucket: Bucket): number {
    return bucket.loans.reduce((sum, loan) => sum + loan.tokens, 0);
}

/** The largest level that the bucket may reach now, in tokens. */
export function capacity(bucket: Bucket): number {
    return Math.max(0, bucket.rateLimit.burstTokens - lentTokens(bucket));
}

/** Refills up to a time, in steps, because each loan that expires on the way enlarges the capacity. */
export function refill(bucket: Bucket, now: decision.Milliseconds): Bucket {
    const expired = bucket.loans.filter((loan) => loan.expiresAt <= now).sort((left, right) =>
        left.expiresAt - right.expiresAt
    );
    let current = bucket;
    for (const loan of expired) {
        current = refillTo(current, loan.expiresAt);
        current = { ...current, loans: current.loans.filter((other) => other !== loan) };
    }
    return refillTo(current, now);
}

function refillTo(bucket: Bucket, now: decision.Milliseconds): Bucket {
    const elapsed = Math.max(0, now - bucket.refilledAt);
    const filled = credit(bucket, elapsed * refillPerMs(bucket));
    return { ...filled, refilledAt: Math.max(now, bucket.refilledAt) };
}

/** Adds tokens; what exceeds the capacity is lost. */
export function credit(bucket: Bucket, tokens: number): Bucket {
    return withFreeCapacityRecorded({ ...bucket, level: Math.min(bucket.level + tokens, capacity(bucket)) });
}

/** Records the current free capacity, which limits later refunds of earlier charges. */
function withFreeCapacityRecorded(bucket: Bucket): Bucket {
    const version = bucket.version + 1;
    const freeTokens = Math.max(0, capacity(bucket) - bucket.level);
    return {
        ...bucket,
        version,
        freeCapacity: freeCapacities.recordFreeCapacity(bucket.freeCapacity, version, freeTokens),
    };
}

/** Takes tokens out. Callers check the level first, except when they record a debt. */
export function debit(bucket: Bucket, tokens: number): Bucket {
    return withFreeCapacityRecorded({ ...bucket, level: bucket.level - tokens });
}

/**
 * How many unused tokens of a charge may be refunded. Had the bucket kept them, what exceeds its least free capacity
 * since the charge would have overflowed.
 */
export function refundable(bucket: Bucket, unusedTokens: number, chargedAtVersion: number): number {
    return Math.max(0, Math.min(unusedTokens, freeCapacities.minimumSince(bucket.freeCapacity, chargedAtVersion)));
}

/** Refunds tokens of a charge as if they had never been debited. */
export function refund(bucket: Bucket, tokens: number, chargedAtVersion: number): Bucket {
    const freeCapacity = freeCapacities.withTokensAddedSince(bucket.freeCapacity, chargedAtVersion, tokens);
    return withFreeCapacityRecorded({ ...bucket, level: bucket.level + tokens, freeCapacity });
}

/** Debits tokens that go to another slice. They take up capacity until the loan expires or is released. */
export function lend(bucket: Bucket, loan: OutstandingLoan): Bucket {
    return withFreeCapacityRecorded({ ...bucket, level: bucket.level - loan.tokens, loans: [...bucket.loans, loan] });
}

/** Releases the loan of one part of a transfer, or of all its parts. The bucket must have been refilled up to now. */
export function releaseLoans(bucket: Bucket, transferId: string, part?: number): Bucket {
    const loans = bucket.loans.filter((loan) =>
        loan.transferId !== transferId || (part !== undefined && loan.part !== part)
    );
    return withFreeCapacityRecorded({ ...bucket, loans });
}

/** Applies another rate limit. Tokens above a smaller burst are lost. The bucket must have been refilled up to now. */
export function changeRateLimit(bucket: Bucket, share: rateLimits.RateLimit): Bucket {
    return credit({ ...bucket, rateLimit: share }, 0);
}
