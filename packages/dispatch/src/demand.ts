import type * as decision from "@citronlead/decision";

/** Period over which demand and freed room are taken. */
export const RATE_PERIOD_MS = 1_000;
/** Weight of the newest request in the mean amount. */
const SMOOTHING_FACTOR = 0.05;

/** The amounts that requests ask for: their sum, in which each falls to a third within a period, and their mean. */
export class Demand {
    private sum = 0;
    private at: decision.Milliseconds = 0;
    /** Mean of the amounts. */
    mean = 0;

    /** Adds the amount of a request. */
    add(amount: number, now: decision.Milliseconds): void {
        this.sum = this.perMs(now) * RATE_PERIOD_MS + amount;
        this.at = now;
        this.mean = this.mean === 0 ? amount : this.mean + (amount - this.mean) * SMOOTHING_FACTOR;
    }

    /** Amount per millisecond that requests asked for lately. */
    perMs(now: decision.Milliseconds): number {
        return this.sum * Math.exp((this.at - now) / RATE_PERIOD_MS) / RATE_PERIOD_MS;
    }
}
