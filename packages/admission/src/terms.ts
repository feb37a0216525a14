import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";

/** A workspace's rate and burst over all hosts, or what one slice has of them. */
export interface Terms {
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
}

/** The terms that a configuration revision gives a workspace. */
export interface RevisionTerms {
    readonly revision: number;
    readonly terms: Terms;
}

/** The terms of a workspace that may spend nothing. */
export const NO_TERMS: Terms = { tokensPerSecond: 0, burstTokens: 0 };

/** The fraction by which the clock of a host may run too fast or too slow. */
export const CLOCK_RATE_ERROR = 0.01;

/** What refills a bucket on a clock that may run fast, so that true time never adds more than the rate. */
export const REFILL_SAFETY = 1 - CLOCK_RATE_ERROR;

/** A duration stated by one clock that has surely passed on no other: (1 - error) / (1 + error), rounded down. */
export const SHORTER_ON_ANY_CLOCK = 0.98;

/** A duration stated by one clock that has surely passed on every other. */
export const LONGER_ON_ANY_CLOCK = 1.03;

/** The terms that are within both, in rate and in burst. */
export function least(left: Terms, right: Terms): Terms {
    return {
        tokensPerSecond: Math.min(left.tokensPerSecond, right.tokensPerSecond),
        burstTokens: Math.min(left.burstTokens, right.burstTokens),
    };
}

/** Whether both are the same. */
export function same(left: Terms, right: Terms): boolean {
    return left.tokensPerSecond === right.tokensPerSecond && left.burstTokens === right.burstTokens;
}

/** What each slice has of a workspace's terms. The slices sum to no more than the whole. */
export function shareOf(whole: Terms): Terms {
    return {
        tokensPerSecond: whole.tokensPerSecond / membership.SLICE_COUNT,
        burstTokens: whole.burstTokens / membership.SLICE_COUNT,
    };
}

/** The terms within all revisions that some owner of the workspace's slices may still act under. */
export function withinAll(history: readonly RevisionTerms[]): Terms {
    return history.map((entry) => entry.terms).reduce(least, history[0]?.terms ?? NO_TERMS);
}

/** Adds a newer revision's terms; nothing changes if they are the same as the latest. */
export function addRevision(history: readonly RevisionTerms[], next: RevisionTerms): readonly RevisionTerms[] {
    const latest = history.at(-1);
    return latest && same(latest.terms, next.terms) ? history : [...history, next];
}

/** Drops the terms that no revision from the given one on uses. */
export function dropBefore(history: readonly RevisionTerms[], revision: number): readonly RevisionTerms[] {
    const inForce = history.findLastIndex((entry) => entry.revision <= revision);
    decision.invariant(inForce >= 0, "the terms of a revision that is acted under are known");
    return history.slice(inForce);
}
