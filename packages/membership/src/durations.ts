import * as decision from "@citronlead/decision";

/** How long leases and promises live. */
export interface Timing {
    /** A lease of the key-value service without renewal, in milliseconds. */
    readonly leaseMs: decision.Milliseconds;
    /** A successor's promise, in milliseconds. */
    readonly promiseMs: decision.Milliseconds;
    /** How long a host must be seen without its lease before anyone asks for its takeover, in milliseconds. */
    readonly graceMs: decision.Milliseconds;
}

/** The timing of a fleet: each host renews its lease and its promise every third of their lives. */
export const DEFAULT_TIMING: Timing = {
    leaseMs: 10 * decision.SECOND_MS,
    promiseMs: 10 * decision.SECOND_MS,
    graceMs: 1 * decision.SECOND_MS,
};

/** How many renewals fit into the life of a lease or a promise. */
export const RENEWALS = 3;

/** How soon a refused request for a promise is repeated, in milliseconds. */
export const PROMISE_RETRY_MS = 500;

/** The share of a duration by which two monotonic clocks may differ. A holder gives up that much of its time. */
export const CLOCK_MARGIN = 0.03;

/** The longest that promises carry a host which cannot renew its lease, in milliseconds. */
export const LONGEST_OUTAGE_MS = 4_500 * decision.SECOND_MS;

/** How soon a failed or unanswered call to the key-value service is repeated, in milliseconds. */
export const CALL_RETRY_MS = 300;

/** How many partitions are handed over with one write. */
export const HAND_OVER_BATCH = 32;

/** The pause between two hand-overs, in milliseconds. */
export const HAND_OVER_PAUSE_MS = 500;

/** The time that a holder may count on, from a duration that another clock measures. */
export function holderTime(duration: decision.Milliseconds): decision.Milliseconds {
    return duration * (1 - CLOCK_MARGIN);
}

/** The time that must pass here before a duration has certainly passed on every clock. */
export function certainTime(duration: decision.Milliseconds): decision.Milliseconds {
    return duration * (1 + CLOCK_MARGIN);
}
