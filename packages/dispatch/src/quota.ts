import type * as decision from "@citronlead/decision";
import * as newest from "./newest.js";

/** A workspace's limit across all hosts, in the workspace's rate unit. */
export interface QuotaLimit {
    readonly ratePerSecond: number;
    readonly burst: number;
    /** Configuration version that defines the limit. Hosts receive a new version at different times. */
    readonly version: number;
    /** Units that may be granted at once, while all others are spaced evenly; undefined to bound whole windows only. */
    readonly atOnce?: number | undefined;
}

/** The result of charging a request to a workspace. */
export type QuotaDecision =
    | {
        readonly granted: true;
        /** Where the charge is counted, for a refund; undefined if the workspace has no limit. */
        readonly bucket?: number;
    }
    | {
        readonly granted: false;
        /** Time until the charge would be granted. */
        readonly waitMs: decision.Milliseconds;
    };

const GRANTED: QuotaDecision = { granted: true };

/** Maximum number of windows; the one charged longest ago is evicted first, and starts anew if it is charged again. */
const MAX_WINDOWS = 5_000;
/** Number of buckets that a window is divided into; charges expire one bucket at a time. */
const BUCKETS_PER_WINDOW = 40;

/**
 * The charges of the last window, counted in buckets of equal duration. A new window starts as if the full rate had
 * been used: the grants of a previous owner are unknown, so only the burst and what the rate adds may be granted at
 * first.
 */
class SlidingWindow {
    private readonly buckets: number[];
    private currentBucket: number;
    private chargedUnits: number;
    /** When all that was granted would have been spaced evenly. */
    private spacedUntil: decision.Milliseconds;

    constructor(
        private limit: QuotaLimit,
        private readonly windowMs: decision.Milliseconds,
        now: decision.Milliseconds,
    ) {
        const unitsPerBucket = limit.ratePerSecond * windowMs / 1_000 / BUCKETS_PER_WINDOW;
        this.buckets = new Array<number>(BUCKETS_PER_WINDOW).fill(unitsPerBucket);
        this.chargedUnits = unitsPerBucket * BUCKETS_PER_WINDOW;
        this.currentBucket = this.bucketIndexAt(now);
        this.spacedUntil = now + this.spacingMs(limit.atOnce ?? 0);
    }

    charge(limit: QuotaLimit, cost: number, now: decision.Milliseconds): QuotaDecision {
        this.expireBuckets(now);
        this.updateLimit(limit);
        const spacingWaitMs = limit.atOnce === undefined
            ? 0
            : this.spacedUntil - now - this.spacingMs(Math.max(0, limit.atOnce - cost));
        if (spacingWaitMs > 0) {
            return { granted: false, waitMs: spacingWaitMs };
        }
        const capacity = this.limit.ratePerSecond * this.windowMs / 1_000 + this.limit.burst;
        // A request larger than the whole limit is granted if the window is unused; otherwise it could never run.
        const needed = Math.min(cost, capacity);
        if (this.chargedUnits + needed <= capacity) {
            this.buckets[this.currentBucket % BUCKETS_PER_WINDOW] =
                (this.buckets[this.currentBucket % BUCKETS_PER_WINDOW] as number) + cost;
            this.chargedUnits += cost;
            this.spacedUntil = Math.max(now, this.spacedUntil) + this.spacingMs(cost);
            return { granted: true, bucket: this.currentBucket };
        }
        return { granted: false, waitMs: this.timeUntilExpired(this.chargedUnits + needed - capacity) };
    }

    /** Takes a charge back from its bucket, unless that has expired. */
    refund(bucket: number, cost: number, now: decision.Milliseconds): void {
        this.expireBuckets(now);
        if (bucket > this.currentBucket || bucket <= this.currentBucket - BUCKETS_PER_WINDOW) {
            return;
        }
        const index = bucket % BUCKETS_PER_WINDOW;
        const units = Math.min(cost, this.buckets[index] as number);
        this.buckets[index] = (this.buckets[index] as number) - units;
        this.chargedUnits -= units;
        this.spacedUntil -= this.spacingMs(units);
    }

    private spacingMs(units: number): decision.Milliseconds {
        return units * 1_000 / this.limit.ratePerSecond;
    }

    /**
     * Applies the limit of the newest configuration version; older versions are ignored. When the rate is lowered,
     * earlier charges are scaled down in proportion; otherwise nothing would be granted for a whole window.
     */
    private updateLimit(limit: QuotaLimit): void {
        if (limit.version < this.limit.version) {
            return;
        }
        if (limit.version > this.limit.version && limit.ratePerSecond < this.limit.ratePerSecond) {
            const ratio = limit.ratePerSecond / this.limit.ratePerSecond;
            this.buckets.forEach((units, index) => this.buckets[index] = units * ratio);
            this.chargedUnits *= ratio;
        }
        this.limit = limit;
    }

    private bucketIndexAt(now: decision.Milliseconds): number {
        return Math.floor(now / (this.windowMs / BUCKETS_PER_WINDOW));
    }

    private expireBuckets(now: decision.Milliseconds): void {
        const bucket = this.bucketIndexAt(now);
        for (let next = Math.max(this.currentBucket + 1, bucket - BUCKETS_PER_WINDOW + 1); next <= bucket; next++) {
            this.chargedUnits -= this.buckets[next % BUCKETS_PER_WINDOW] as number;
            this.buckets[next % BUCKETS_PER_WINDOW] = 0;
        }
        this.currentBucket = Math.max(this.currentBucket, bucket);
    }

    /** Time until charges of at least the given number of units have left the window. */
    private timeUntilExpired(units: number): decision.Milliseconds {
        let remaining = units;
        for (let age = 1; age <= BUCKETS_PER_WINDOW; age++) {
            remaining -= this.buckets[(this.currentBucket + age) % BUCKETS_PER_WINDOW] as number;
            if (remaining <= 0) {
                return age * this.windowMs / BUCKETS_PER_WINDOW;
            }
        }
        return this.windowMs;
    }
}

/**
 * Sliding-window quota of each workspace, or of each upstream that names a limit. A workspace's owner applies the limit of the whole fleet; another host
 * applies its share of the limit while the owner does not respond.
 */
export class QuotaLimiter {
    private readonly windows = new Map<string, SlidingWindow>();

    constructor(private readonly windowMs: decision.Milliseconds) {}

    /**
     * Charges a workspace. Each window grants at most the rate times the window plus the burst. A limit of a newer
     * version applies from this charge on.
     */
    charge(workspace: string, limit: QuotaLimit, cost: number, now: decision.Milliseconds): QuotaDecision {
        if (limit.ratePerSecond <= 0) {
            return GRANTED;
        }
        const window = this.windows.get(workspace) ?? new SlidingWindow(limit, this.windowMs, now);
        newest.setNewest(this.windows, workspace, window, MAX_WINDOWS);
        return window.charge(limit, cost, now);
    }

    /**
     * Takes back a charge of a request that no upstream got. Answers bursts in which requests are refused for lack of
     * capacity: what did not run does not count against the workspace's limit.
     */
    refund(workspace: string, bucket: number, cost: number, now: decision.Milliseconds): void {
        this.windows.get(workspace)?.refund(bucket, cost, now);
    }
}

/**
 * Share of a workspace's rate that hosts grant while its owner does not respond; the owner may still serve other hosts.
 */
const FALLBACK_SHARE = 0.8;

/** The limit that one host applies by itself while the owner of the workspace does not respond. */
export function fallbackLimit(limit: QuotaLimit, tolerance: number, hostCount: number): QuotaLimit {
    const count = Math.max(1, hostCount);
    return {
        version: limit.version,
        ratePerSecond: limit.ratePerSecond * FALLBACK_SHARE / count,
        burst: (limit.burst + tolerance / 2) / count,
    };
}
