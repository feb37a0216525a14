import * as time from "./time.js";

/** How often something may happen. */
export interface TokenRate {
    /** Number of times in a burst. */
    readonly burst: number;
    /** Number of times per second in the long run. */
    readonly perSecond: number;
}

/** Bounds how often something happens, such as a log line or a piece of a stream. */
export class TokenBucket {
    private available: number;

    constructor(private readonly rate: TokenRate, private refilledAt: time.Milliseconds) {
        this.available = rate.burst;
    }

    /** Takes one token. Returns false if there is none. */
    tryTake(now: time.Milliseconds): boolean {
        const { burst, perSecond } = this.rate;
        this.available = Math.min(burst, this.available + (now - this.refilledAt) / time.SECOND_MS * perSecond);
        this.refilledAt = now;
        if (this.available < 1) {
            return false;
        }
        this.available--;
        return true;
    }
}
