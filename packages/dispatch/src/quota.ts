import type * as decision from "@citronlead/decision";

/** A workspace's limit over all hosts together, in its unit. */
export interface QuotaLimit {
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** The answer to a charge. */
export type QuotaAnswer =
    | { readonly granted: true; }
    | {
        readonly granted: false; /** Time until the charge would be granted. */
        readonly waitMs: decision.Milliseconds;
    };

const GRANTED: QuotaAnswer = { granted: true };

/** A token bucket; it is debited before the request that it pays for runs. */
class Bucket {
    private level: number;

    constructor(private limit: QuotaLimit, private at: decision.Milliseconds) {
        this.level = limit.burst;
    }

    charge(limit: QuotaLimit, cost: number, now: decision.Milliseconds): QuotaAnswer {
        const refill = Math.max(0, now - this.at) / 1_000 * Math.min(limit.ratePerSecond, this.limit.ratePerSecond);
        this.level = Math.min(limit.burst, this.level + refill);
        this.limit = limit;
        this.at = now;
        // A request larger than the whole burst is granted from a full bucket: it could never run otherwise.
        if (this.level >= Math.min(cost, limit.burst)) {
            this.level -= cost;
            return GRANTED;
        }
        return { granted: false, waitMs: (Math.min(cost, limit.burst) - this.level) / limit.ratePerSecond * 1_000 };
    }
}

/** Buckets by workspace: of the whole fleet at the workspace's owner, or of this host's part when the owner is silent. */
export class QuotaBuckets {
    private readonly buckets = new Map<string, Bucket>();

    /** Charges a workspace. A limit that changed applies from this charge on. */
    charge(workspace: string, limit: QuotaLimit, cost: number, now: decision.Milliseconds): QuotaAnswer {
        if (limit.ratePerSecond <= 0) {
            return GRANTED;
        }
        const bucket = this.buckets.get(workspace) ?? new Bucket(limit, now);
        this.buckets.set(workspace, bucket);
        return bucket.charge(limit, cost, now);
    }
}

/** Share of a workspace's rate that hosts use while its owner is silent: owners may still grant to other hosts. */
const CUT_OFF_SHARE = 0.8;

/** What one host may grant by itself while the owner of the workspace is silent. */
export function cutOffLimit(limit: QuotaLimit, tolerance: number, hosts: number): QuotaLimit {
    const count = Math.max(1, hosts);
    return {
        ratePerSecond: limit.ratePerSecond * CUT_OFF_SHARE / count,
        burst: (limit.burst + tolerance / 2) / count,
    };
}
