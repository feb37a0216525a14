import type * as decision from "@citronlead/decision";
import type * as actions from "./actions.js";
import * as buckets from "./bucket.js";
import type * as charges from "./charges.js";
import type * as sharded from "./sharded.js";
import type * as terms from "./terms.js";

/** Tokens that another slice gave for one waiting charge. */
export interface GatheredTokens {
    readonly part: number;
    readonly tokens: number;
    /** Until when they may be spent, on this owner's clock. */
    readonly validUntil: decision.Milliseconds;
}

/** A request to another slice on behalf of one waiting charge. */
export interface OpenAsk {
    readonly transferId: string;
    readonly slice: number;
    readonly askedAt: decision.Milliseconds;
    readonly answered: boolean;
    /** What is still to come as part 1, in tokens. */
    readonly promised: number;
    readonly gathered: readonly GatheredTokens[];
}

/** What waits in the queue of a slice. */
export enum WaitingKind {
    Charge = "charge",
    /** Tokens that were promised to another slice. */
    Loan = "loan",
}

/** A charge or a promised loan that waits for tokens. */
export interface Waiting {
    readonly kind: WaitingKind;
    /** The charge's or the transfer's identifier. */
    readonly id: string;
    readonly tokens: number;
    /** When it is given up, on this owner's clock. */
    readonly deadline: decision.Milliseconds;
    /** Where the reply or the transfer goes. */
    readonly replyTo: actions.Destination;
    readonly asks: readonly OpenAsk[];
    /** When the other slices are asked again, if they could not give enough. */
    readonly askAgainAt?: decision.Milliseconds;
    /** When a charge that still waits asks the other slices once more. */
    readonly lastAskAt?: decision.Milliseconds;
    /** For a loan, how long the receiver may use it, counted from when it asked. */
    readonly validMs: decision.Milliseconds;
    /** For a loan, when it was asked for, on this owner's clock. */
    readonly arrivedAt: decision.Milliseconds;
    readonly toSlice: number;
}

/** A slice that had nothing to give. */
export interface DrySlice {
    readonly slice: number;
    readonly until: decision.Milliseconds;
}

/** One workspace's slice at its owner. */
export interface SliceState {
    readonly workspace: string;
    readonly index: number;
    readonly bucket: buckets.Bucket;
    /** Terms of the revisions that some owner may still act under, oldest first. */
    readonly history: readonly terms.RevisionTerms[];
    /** Earliest deadline first. */
    readonly queue: readonly Waiting[];
    /** Slices that had nothing to give, and until when they are not asked again. */
    readonly dry: readonly DrySlice[];
    readonly records: sharded.ShardedMap<charges.ChargeRecord>;
    /** When this slice needs an event next. */
    readonly wakeAt: decision.Milliseconds | undefined;
}

/** Tokens below this amount count as none, in tokens. */
export const NEGLIGIBLE_TOKENS = 1e-6;

/** What a waiting charge has gathered from other slices and may still spend, in tokens. */
export function gatheredTokens(waiting: Waiting, now: decision.Milliseconds): number {
    let sum = 0;
    for (const ask of waiting.asks) {
        for (const gathered of ask.gathered) {
            sum += now < gathered.validUntil ? gathered.tokens : 0;
        }
    }
    return sum;
}

/** What a waiting entry needs from its own slice now, in tokens. */
export function missingNow(waiting: Waiting, now: decision.Milliseconds): number {
    return Math.max(0, waiting.tokens - gatheredTokens(waiting, now));
}

/** What a waiting entry needs from its own slice by its deadline, if all promises are kept, in tokens. */
export function missingByDeadline(waiting: Waiting, now: decision.Milliseconds): number {
    let missing = missingNow(waiting, now);
    for (const ask of waiting.asks) {
        missing -= ask.promised;
    }
    return Math.max(0, missing);
}

/**
 * The most that may be taken by a deadline so that no waiting entry misses its own, in tokens. Negative when some entry
 * cannot be served in time. The bucket must have been refilled up to now.
 */
export function headroom(slice: SliceState, deadline: decision.Milliseconds, now: decision.Milliseconds): number {
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

/** What a waiting entry lacks by its deadline beyond what its own slice can give, in tokens. */
export function shortfall(slice: SliceState, waiting: Waiting, now: decision.Milliseconds): number {
    const lacking = Math.max(
        -headroom(slice, waiting.deadline, now),
        missingByDeadline(waiting, now) - buckets.capacity(slice.bucket),
    );
    return lacking > NEGLIGIBLE_TOKENS ? lacking : 0;
}

/** Puts an entry into the queue behind those with the same or an earlier deadline. */
export function enqueue(queue: readonly Waiting[], entry: Waiting): readonly Waiting[] {
    const index = queue.findIndex((other) => other.deadline > entry.deadline);
    return index < 0 ? [...queue, entry] : queue.toSpliced(index, 0, entry);
}

/** Replaces the entry of the same identifier, or removes it if there is no next one. */
export function replaceWaiting(queue: readonly Waiting[], id: string, next?: Waiting): readonly Waiting[] {
    const index = queue.findIndex((waiting) => waiting.id === id);
    if (index < 0) {
        return queue;
    }
    return next ? queue.with(index, next) : queue.toSpliced(index, 1);
}
