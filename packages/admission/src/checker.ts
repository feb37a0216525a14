import * as decision from "@citronlead/decision";
import * as terms from "./terms.js";

/** A change of what a workspace was granted, in true time. */
export interface Spending {
    readonly workspace: string;
    readonly at: decision.Milliseconds;
    readonly chargeId: string;
    /** Positive for a grant, negative for a refund, in tokens. */
    readonly tokens: number;
}

interface VirtualBucket {
    level: number;
    at: decision.Milliseconds;
    terms: terms.Terms;
}

/** Rounding errors of a run's sums, in tokens for each token of burst. */
const TOLERANCE = 1e-6;

/**
 * Checks that no workspace gets more than its rate and burst over all hosts together. One virtual bucket for each
 * workspace starts full unless told otherwise; what is spent in any window is at most burst + rate * length if and only if its level never falls
 * below zero. When terms change, the smaller of its level and the new burst remains.
 */
export class WindowChecker {
    private readonly buckets = new Map<string, VirtualBucket>();
    /** The lowest level that any workspace's virtual bucket reached, relative to its burst. */
    lowest = 1;

    /**
     * Puts terms into force for a workspace from a time on. A run in which every slice starts empty may start the virtual
     * bucket at 0, which leaves less room for a fault to hide in.
     */
    setTerms(workspace: string, next: terms.Terms, at: decision.Milliseconds, startLevel = next.burstTokens): void {
        const bucket = this.buckets.get(workspace);
        if (!bucket) {
            this.buckets.set(workspace, { level: startLevel, at, terms: next });
            return;
        }
        this.fill(bucket, at);
        bucket.terms = next;
        bucket.level = Math.min(bucket.level, next.burstTokens);
    }

    /** Takes in a grant or a refund and throws a BrokenInvariantError if some window has more than it may. */
    take(spending: Spending): void {
        const bucket = this.buckets.get(spending.workspace);
        decision.invariant(bucket !== undefined, `no terms are in force for workspace ${spending.workspace}`);
        this.fill(bucket, spending.at);
        bucket.level = Math.min(bucket.level - spending.tokens, bucket.terms.burstTokens);
        this.lowest = Math.min(this.lowest, bucket.level / Math.max(1, bucket.terms.burstTokens));
        const allowed = -TOLERANCE * Math.max(1, bucket.terms.burstTokens);
        decision.invariant(
            bucket.level >= allowed,
            () =>
                `workspace ${spending.workspace} got ${-bucket
                    .level} tokens beyond its rate and burst at ${spending.at}`,
        );
    }

    private fill(bucket: VirtualBucket, at: decision.Milliseconds): void {
        const refilled = bucket.level + Math.max(0, at - bucket.at) * bucket.terms.tokensPerSecond / decision.SECOND_MS;
        bucket.level = Math.min(bucket.terms.burstTokens, refilled);
        bucket.at = Math.max(at, bucket.at);
    }
}
