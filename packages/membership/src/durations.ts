import * as decision from "@citronlead/decision";

/** Durations of leases, and the delay before a takeover. */
export interface Timing {
    /** Time to live of a host lease at the key-value service, in milliseconds. */
    readonly leaseMs: decision.Milliseconds;
    /** Duration of a successor lease, in milliseconds. */
    readonly promiseMs: decision.Milliseconds;
    /** How long a host must have been observed without its host lease before a takeover, in milliseconds. */
    readonly graceMs: decision.Milliseconds;
}

/** The default timing. Hosts renew both kinds of lease every third of their duration. */
export const DEFAULT_TIMING: Timing = {
    leaseMs: 10 * decision.SECOND_MS,
    promiseMs: 10 * decision.SECOND_MS,
    graceMs: 1 * decision.SECOND_MS,
};

/** Renewals within the duration of a lease of either kind. */
export const RENEWALS_PER_DURATION = 3;

/** Delay before a refused successor lease request or an unanswered consent request is repeated, in milliseconds. */
export const SUCCESSOR_RETRY_MS = 500;

/** The share of a duration by which two monotonic clocks may differ. Holders shorten their leases by it. */
export const CLOCK_DRIFT_MARGIN = 0.03;

/** How long successor leases may extend the right to act of a host after its host lease ended, in milliseconds. */
export const MAX_OUTAGE_MS = 4_500 * decision.SECOND_MS;

/** Delay before a failed or unanswered call to the key-value service is repeated, in milliseconds. */
export const CALL_RETRY_MS = 300;

/** The most partitions handed over with one write. */
export const HAND_OVER_BATCH_SIZE = 32;

/** Pause between two hand-over batches, in milliseconds. */
export const HAND_OVER_PAUSE_MS = 500;

/** How long a holder may rely on a lease whose duration is measured by another clock. */
export function subtractClockDrift(duration: decision.Milliseconds): decision.Milliseconds {
    return duration * (1 - CLOCK_DRIFT_MARGIN);
}

/** How long to wait on this clock until a duration has passed on every other clock too. */
export function addClockDrift(duration: decision.Milliseconds): decision.Milliseconds {
    return duration * (1 + CLOCK_DRIFT_MARGIN);
}
