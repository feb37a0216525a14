import type * as decision from "@citronlead/decision";
import type * as actions from "./actions.js";
import * as buckets from "./bucket.js";
import type * as charges from "./charges.js";
import type * as rateLimits from "./ratelimit.js";
import type * as sharded from "./shardedmap.js";

/** One part of a transfer that another slice sent for a waiting charge. */
export interface ReceivedPart {
    readonly part: number;
    /** 0 if the part has expired or was credited to the level on arrival. */
    readonly tokens: number;
    /** Until when the tokens may be spent, on this owner's clock. */
    readonly validUntil: decision.Milliseconds;
}

/** A level request sent to another slice on behalf of one waiting charge. */
export interface BorrowRequest {
    readonly transferId: string;
    readonly lenderSlice: number;
    readonly sentAt: decision.Milliseconds;
    /** Also true once the answer is overdue. */
    readonly answered: boolean;
    /** Tokens that the lender promised to send later, as part 1. */
    readonly promised: number;
    readonly receivedParts: readonly ReceivedPart[];
}

export enum QueueEntryKind {
    Charge = "charge",
    /** Tokens that this slice promised to lend to another. */
    PromisedLoan = "loan",
}

/** A charge or a promised loan that waits for tokens in the queue of a slice. */
export interface QueueEntry {
    readonly kind: QueueEntryKind;
    /** The charge's or the transfer's identifier. */
    readonly id: string;
    readonly tokens: number;
    /** When the entry expires, on this owner's clock. */
    readonly deadline: decision.Milliseconds;
    /** Where the reply or the transfer goes. */
    readonly replyTo: actions.Destination;
    /** For a charge: its open requests to other slices for tokens. */
    readonly requests: readonly BorrowRequest[];
    /** When borrowing starts again after the other slices could not lend enough. Until then no requests are sent. */
    readonly borrowRetryAt?: decision.Milliseconds;
    /** When a charge that still waits asks the other slices again, whatever they answered before. */
    readonly nextBorrowAt?: decision.Milliseconds;
    /** For a loan: how long the borrower may spend it, counted from when it sent the request. */
    readonly validMs: decision.Milliseconds;
    /** For a loan: when the request for it arrived, on this owner's clock. */
    readonly receivedAt: decision.Milliseconds;
    /** For a loan: the slice that borrows. */
    readonly toSlice: number;
}

/** A slice that is not asked for a while because it could not lend anything or did not answer. */
export interface SkippedSlice {
    readonly slice: number;
    readonly skippedUntil: decision.Milliseconds;
}

/** A slice of one workspace's token bucket, as its owner keeps it. */
export interface SliceState {
    readonly workspace: string;
    readonly index: number;
    readonly bucket: buckets.Bucket;
    /** Rate limits of the revisions that some owner may still apply, oldest first. */
    readonly rateLimitHistory: readonly rateLimits.RevisionRateLimit[];
    /** Earliest deadline first. */
    readonly queue: readonly QueueEntry[];
    readonly skippedSlices: readonly SkippedSlice[];
    readonly chargeRecords: sharded.ShardedMap<charges.ChargeRecord>;
    /** When this slice needs its next wake-up. */
    readonly wakeAt: decision.Milliseconds | undefined;
}

/** Smaller amounts are rounding errors and count as none. */
export const NEGLIGIBLE_TOKENS = 1e-6;

/** Tokens that a waiting charge has borrowed from other slices and may still spend. */
export function borrowedTokens(entry: QueueEntry, now: decision.Milliseconds): number {
    let sum = 0;
    for (const request of entry.requests) {
        for (const received of request.receivedParts) {
            sum += now < received.validUntil ? received.tokens : 0;
        }
    }
    return sum;
}

/** Tokens that an entry needs from its own slice to be served now. */
export function missingNow(entry: QueueEntry, now: decision.Milliseconds): number {
    return Math.max(0, entry.tokens - borrowedTokens(entry, now));
}

/** Tokens that an entry needs from its own slice by its deadline if the other slices keep their promises. */
export function missingByDeadline(entry: QueueEntry, now: decision.Milliseconds): number {
    let missing = missingNow(entry, now);
    for (const request of entry.requests) {
        missing -= request.promised;
    }
    return Math.max(0, missing);
}

/**
 * The most tokens that may be taken by a deadline without causing a waiting entry to miss its own. Negative when some
 * entry cannot be served in time. The bucket must have been refilled up to now.
 */
export function spareTokens(slice: SliceState, deadline: decision.Milliseconds, now: decision.Milliseconds): number {
    const perMs = buckets.refillPerMs(slice.bucket);
    const supplyBy = (time: decision.Milliseconds) => slice.bucket.level + perMs * Math.max(0, time - now);
    let demand = 0;
    let least = Infinity;
    let counted = false;
    for (const waiting of slice.queue) {
        if (!counted && waiting.deadline > deadline) {
            least = supplyBy(deadline) - demand;
            counted = true;
        }
        demand += missingByDeadline(waiting, now);
        if (waiting.deadline > deadline) {
            least = Math.min(least, supplyBy(waiting.deadline) - demand);
        }
    }
    return counted ? least : supplyBy(deadline) - demand;
}

/** Tokens that an entry needs by its deadline beyond what its own slice can supply. */
export function shortfall(slice: SliceState, entry: QueueEntry, now: decision.Milliseconds): number {
    const missing = Math.max(
        -spareTokens(slice, entry.deadline, now),
        missingByDeadline(entry, now) - buckets.capacity(slice.bucket),
    );
    return missing > NEGLIGIBLE_TOKENS ? missing : 0;
}

/** Inserts an entry behind those with the same or an earlier deadline. */
export function enqueue(queue: readonly QueueEntry[], entry: QueueEntry): readonly QueueEntry[] {
    const index = queue.findIndex((other) => other.deadline > entry.deadline);
    return index < 0 ? [...queue, entry] : queue.toSpliced(index, 0, entry);
}

/** Replaces the entry with the given identifier, or removes it if no replacement is given. */
export function replaceEntry(queue: readonly QueueEntry[], id: string, next?: QueueEntry): readonly QueueEntry[] {
    const index = queue.findIndex((entry) => entry.id === id);
    if (index < 0) {
        return queue;
    }
    return next ? queue.with(index, next) : queue.toSpliced(index, 1);
}
