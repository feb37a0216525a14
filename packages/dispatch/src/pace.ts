import * as decision from "@citronlead/decision";

/** How long answers of one kind are read. */
export interface PaceOptions {
    /** Bytes of each answer that are not paced: more than an ordinary answer has. */
    readonly unpacedBytes: number;
    /** Rate of all the others together, in bytes. */
    readonly rate: decision.TokenRate;
}

const MEGABYTE = 1_048_576;
/** Bodies that are passed on as they are: a part of what the processor and the link of a small host can relay. */
export const LONG_BODIES: PaceOptions = {
    unpacedBytes: 131_072,
    rate: { burst: 4 * MEGABYTE, perSecond: 16 * MEGABYTE },
};
/** Streams, whose events are parsed: far more than engines write. */
export const LONG_STREAMS: PaceOptions = {
    unpacedBytes: 32_768,
    rate: { burst: MEGABYTE, perSecond: 4 * MEGABYTE },
};

/**
 * Bounds the rate at which all long answers together are read. Answers the load of upstreams that send without end: however
 * many they are, the processor has time for all other requests.
 */
export class Pace {
    private availableBytes: number;

    constructor(private readonly options: PaceOptions, private refilledAt: decision.Milliseconds) {
        this.availableBytes = options.rate.burst;
    }

    /** Bytes of each answer that are not counted. */
    get unpacedBytes(): number {
        return this.options.unpacedBytes;
    }

    /** Counts bytes that were read. Returns how long to wait before more are. */
    waitAfter(bytes: number, now: decision.Milliseconds): decision.Milliseconds {
        const { burst, perSecond } = this.options.rate;
        const refill = (now - this.refilledAt) / decision.SECOND_MS * perSecond;
        this.availableBytes = Math.min(burst, this.availableBytes + refill) - bytes;
        this.refilledAt = now;
        return Math.max(0, -this.availableBytes / perSecond * decision.SECOND_MS);
    }
}
