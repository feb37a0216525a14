import * as decision from "@citronlead/decision";

/** How long a lease of the key-value service lives without renewal, in milliseconds. */
export const SERVICE_LEASE_MS = 10 * decision.SECOND_MS;

/** How often a host renews its lease, in milliseconds. */
export const LEASE_RENEWAL_MS = SERVICE_LEASE_MS / 3;

/** How long a successor's promise lives, in milliseconds. */
export const PROMISE_MS = 10 * decision.SECOND_MS;

/** How often a host asks for its successor's promise, in milliseconds. */
export const PROMISE_RENEWAL_MS = PROMISE_MS / 3;

/** How soon a refused request for a promise is repeated, in milliseconds. */
export const PROMISE_RETRY_MS = 500;

/** The share of a duration by which two monotonic clocks may differ. A holder gives up that much of its time. */
export const CLOCK_MARGIN = 0.03;

/** The longest that promises carry a host which cannot renew its lease, in milliseconds. */
export const LONGEST_OUTAGE_MS = 7_200 * decision.SECOND_MS;

/** How long a host must be seen without its lease before anyone asks for its takeover, in milliseconds. */
export const TAKEOVER_GRACE_MS = 1 * decision.SECOND_MS;

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
