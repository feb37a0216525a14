import type * as decision from "@citronlead/decision";
import * as headrooms from "./headroom.js";
import * as terms from "./terms.js";

/** Room that a bucket keeps free because tokens debited from it may still be spent elsewhere. */
export interface HeldRoom {
    readonly transferId: string;
    readonly part: number;
    readonly tokens: number;
    /** When the tokens are surely spent, credited or void, on the holder's clock. */
    readonly until: decision.Milliseconds;
}

/** A token bucket. Its level falls below zero when an engine used more than was charged. */
export interface Bucket {
    /** Tokens at the time of the latest refill. */
    readonly level: number;
    readonly refilledAt: decision.Milliseconds;
    readonly terms: terms.Terms;
    readonly held: readonly HeldRoom[];
    /** Counts the changes of the bucket, to tell what came before a charge from what came after it. */
    readonly step: number;
    readonly headroom: headrooms.HeadroomHistory;
}

/** Makes an empty bucket. */
export function emptyBucket(share: terms.Terms, now: decision.Milliseconds): Bucket {
    return { level: 0, refilledAt: now, terms: share, held: [], step: 0, headroom: [] };
}

/** Tokens a millisecond that certainly stay within the rate. */
export function refillPerMs(bucket: Bucket): number {
    return bucket.terms.tokensPerSecond * terms.REFILL_SAFETY / 1_000;
}

/** Tokens debited from the bucket that may still be spent elsewhere. */
export function heldTokens(bucket: Bucket): number {
    return bucket.held.reduce((sum, room) => sum + room.tokens, 0);
}

/** The most that the bucket may hold now. */
export function capacity(bucket: Bucket): number {
    return Math.max(0, bucket.terms.burstTokens - heldTokens(bucket));
}

/** Refills up to a time, step by step as held room becomes free. */
export function refill(bucket: Bucket, now: decision.Milliseconds): Bucket {
    const ended = bucket.held.filter((room) => room.until <= now).sort((left, right) => left.until - right.until);
    let current = bucket;
    for (const room of ended) {
        current = fillUp(current, room.until);
        current = { ...current, held: current.held.filter((other) => other !== room) };
    }
    return fillUp(current, now);
}

function fillUp(bucket: Bucket, now: decision.Milliseconds): Bucket {
    const elapsed = Math.max(0, now - bucket.refilledAt);
    const filled = credit(bucket, elapsed * refillPerMs(bucket));
    return { ...filled, refilledAt: Math.max(now, bucket.refilledAt) };
}

/** Adds tokens; what exceeds the capacity is lost. */
export function credit(bucket: Bucket, tokens: number): Bucket {
    return noted({ ...bucket, level: Math.min(bucket.level + tokens, capacity(bucket)) });
}

/** Notes the room that the bucket has now, for refunds of the charges made so far. */
function noted(bucket: Bucket): Bucket {
    const step = bucket.step + 1;
    const room = Math.max(0, capacity(bucket) - bucket.level);
    return { ...bucket, step, headroom: headrooms.noteRoom(bucket.headroom, step, room) };
}

/** Takes tokens out. The caller has checked the level, unless it books a debt. */
export function debit(bucket: Bucket, tokens: number): Bucket {
    return noted({ ...bucket, level: bucket.level - tokens });
}

/** What is left of unused tokens of a charge: the bucket might have run over with them since the charge, in tokens. */
export function refundable(bucket: Bucket, unusedTokens: number, chargedAtStep: number): number {
    return Math.max(0, Math.min(unusedTokens, headrooms.leastRoomSince(bucket.headroom, chargedAtStep)));
}

/** Gives tokens of a charge back, as if it had never taken them. */
export function refund(bucket: Bucket, tokens: number, chargedAtStep: number): Bucket {
    const headroom = headrooms.withTokensSince(bucket.headroom, chargedAtStep, tokens);
    return noted({ ...bucket, level: bucket.level + tokens, headroom });
}

/** Debits tokens that go to another slice, and keeps their room free until the given time. */
export function lend(bucket: Bucket, room: HeldRoom): Bucket {
    return noted({ ...bucket, level: bucket.level - room.tokens, held: [...bucket.held, room] });
}

/** Frees the room of one part of a transfer, or of all parts. The bucket must have been refilled up to now. */
export function release(bucket: Bucket, transferId: string, part?: number): Bucket {
    const held = bucket.held.filter((room) =>
        room.transferId !== transferId || (part !== undefined && room.part !== part)
    );
    return noted({ ...bucket, held });
}

/** Applies other terms. What exceeds a smaller burst is lost. The bucket must have been refilled up to now. */
export function changeTerms(bucket: Bucket, share: terms.Terms): Bucket {
    return credit({ ...bucket, terms: share }, 0);
}
