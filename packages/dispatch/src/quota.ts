import type * as decision from "@citronlead/decision";

/** A workspace's limit over all hosts together, in its unit. */
export interface QuotaLimit {
    readonly ratePerSecond: number;
    readonly burst: number;
    /** Configuration version that states the limit. Hosts learn a new one at different moments. */
    readonly version: number;
}

/** The answer to a charge. */
export type QuotaAnswer =
    | { readonly granted: true; }
    | {
        readonly granted: false; /** Time until the charge would be granted. */
        readonly waitMs: decision.Milliseconds;
    };

const GRANTED: QuotaAnswer = { granted: true };

/** Parts of the window by which charges are forgotten. */
const PARTS = 40;

/**
 * Charges of the last window in equal parts of time. It starts as if the rate had been used up to now: what another owner
 * granted before is not known, so only the burst and what the rate adds may be granted at first.
 */
class Ledger {
    private readonly parts: number[];
    private part: number;
    private sum: number;

    constructor(
        private limit: QuotaLimit,
        private readonly windowMs: decision.Milliseconds,
        now: decision.Milliseconds,
    ) {
        const each = limit.ratePerSecond * windowMs / 1_000 / PARTS;
        this.parts = new Array<number>(PARTS).fill(each);
        this.sum = each * PARTS;
        this.part = this.partAt(now);
    }

    charge(limit: QuotaLimit, cost: number, now: decision.Milliseconds): QuotaAnswer {
        this.forget(now);
        this.adapt(limit);
        const most = this.limit.ratePerSecond * this.windowMs / 1_000 + this.limit.burst;
        // A request larger than the whole limit is granted from an unused window: it could never run otherwise.
        const needed = Math.min(cost, most);
        if (this.sum + needed <= most) {
            this.parts[this.part % PARTS] = (this.parts[this.part % PARTS] as number) + cost;
            this.sum += cost;
            return GRANTED;
        }
        return { granted: false, waitMs: this.waitFor(this.sum + needed - most) };
    }

    /**
     * The limit of the newest version applies, whatever version a host charges under. Under a lower one, what the former
     * granted counts in proportion; else nothing would be granted for a window.
     */
    private adapt(limit: QuotaLimit): void {
        if (limit.version < this.limit.version) {
            return;
        }
        if (limit.version > this.limit.version && limit.ratePerSecond < this.limit.ratePerSecond) {
            const ratio = limit.ratePerSecond / this.limit.ratePerSecond;
            this.parts.forEach((part, index) => this.parts[index] = part * ratio);
            this.sum *= ratio;
        }
        this.limit = limit;
    }

    private partAt(now: decision.Milliseconds): number {
        return Math.floor(now / (this.windowMs / PARTS));
    }

    private forget(now: decision.Milliseconds): void {
        const part = this.partAt(now);
        for (let next = Math.max(this.part + 1, part - PARTS + 1); next <= part; next++) {
            this.sum -= this.parts[next % PARTS] as number;
            this.parts[next % PARTS] = 0;
        }
        this.part = Math.max(this.part, part);
    }

    /** Time until charges of the given sum have left the window. */
    private waitFor(sum: number): decision.Milliseconds {
        let left = sum;
        for (let age = 1; age <= PARTS; age++) {
            left -= this.parts[(this.part + age) % PARTS] as number;
            if (left <= 0) {
                return age * this.windowMs / PARTS;
            }
        }
        return this.windowMs;
    }
}

/** Ledgers by workspace: of the whole fleet at the workspace's owner, or of this host's part when the owner is silent. */
export class QuotaLedgers {
    private readonly ledgers = new Map<string, Ledger>();

    constructor(private readonly windowMs: decision.Milliseconds) {}

    /**
     * Charges a workspace: in each window, it is granted its rate times the window and its burst. A limit of a newer
     * version applies from this charge on.
     */
    charge(workspace: string, limit: QuotaLimit, cost: number, now: decision.Milliseconds): QuotaAnswer {
        if (limit.ratePerSecond <= 0) {
            return GRANTED;
        }
        const ledger = this.ledgers.get(workspace) ?? new Ledger(limit, this.windowMs, now);
        this.ledgers.set(workspace, ledger);
        return ledger.charge(limit, cost, now);
    }
}

/** Share of a workspace's rate that hosts use while its owner is silent: owners may still grant to other hosts. */
const CUT_OFF_SHARE = 0.8;

/** What one host may grant by itself while the owner of the workspace is silent. */
export function cutOffLimit(limit: QuotaLimit, tolerance: number, hosts: number): QuotaLimit {
    const count = Math.max(1, hosts);
    return {
        version: limit.version,
        ratePerSecond: limit.ratePerSecond * CUT_OFF_SHARE / count,
        burst: (limit.burst + tolerance / 2) / count,
    };
}
