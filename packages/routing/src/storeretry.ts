import type * as decision from "@citronlead/decision";

/** Inputs of the delay before a failed read of the store is repeated. */
export interface StoreRetry {
    /** Whether this host reads for its group. */
    readonly isReader: boolean;
    /** Number of reads that have failed in a row, at least 1. */
    readonly failures: number;
    readonly listingPeriodMs: decision.Milliseconds;
    /** From 0 to 1; spreads the hosts' calls. */
    readonly jitter: number;
}

/** Delay after the first failure at a reader: a departure is still noticed in time after one call that timed out. */
const READER_DELAY_MS = 250;
const MAX_READER_DELAY_MS = 1_000;
/** Maximum delay at a follower, in listing periods. */
const MAX_FOLLOWER_PERIODS = 4;

/**
 * Delay before a failed read is repeated. Answers outages of the store in a large fleet: calls of all hosts reveal no
 * more than those of the few readers, whose update wakes the followers once the store is back.
 */
export function storeRetryDelayMs({ isReader, failures, listingPeriodMs, jitter }: StoreRetry): decision.Milliseconds {
    const factor = 2 ** (failures - 1);
    return isReader
        ? Math.min(MAX_READER_DELAY_MS, READER_DELAY_MS * factor)
        : listingPeriodMs * Math.min(MAX_FOLLOWER_PERIODS, factor) * (0.75 + 0.5 * jitter);
}
