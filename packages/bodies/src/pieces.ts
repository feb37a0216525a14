import type * as decision from "@citronlead/decision";

/** How many pieces a stream may have. */
export interface PieceRate {
    /** Number of pieces that may arrive at once, as after a pause of the reader. */
    readonly burst: number;
    /** Number of pieces per second in the long run. */
    readonly perSecond: number;
}

/** The pieces of one stream: one without end would take all of the reader's time. */
export class PieceBudget {
    private available: number;

    constructor(private readonly rate: PieceRate, private refilledAt: decision.Milliseconds) {
        this.available = rate.burst;
    }

    /** Counts a piece. Returns false if the stream has more than it may. */
    tryTake(now: decision.Milliseconds): boolean {
        const { burst, perSecond } = this.rate;
        this.available = Math.min(burst, this.available + (now - this.refilledAt) / 1_000 * perSecond);
        this.refilledAt = now;
        if (this.available < 1) {
            return false;
        }
        this.available--;
        return true;
    }
}
