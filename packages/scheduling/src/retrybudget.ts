/** A budget that limits retries to a share of recent successes. Unused retries accumulate up to a limit. */
export interface RetryBudget {
    /** Retries that may be made now; may be fractional. */
    readonly available: number;
}

const RETRIES_PER_SUCCESS = 0.1;
const MAX_SAVED_RETRIES = 80;

/** The initial budget. It is full, so that requests that fail right after the start can be retried. */
export const fullBudget: RetryBudget = { available: MAX_SAVED_RETRIES };

/** Credits one success. */
export function addSuccess(budget: RetryBudget): RetryBudget {
    return { available: Math.min(MAX_SAVED_RETRIES, budget.available + RETRIES_PER_SUCCESS) };
}

/** Spends one retry. Returns undefined if the budget is exhausted. */
export function spendRetry(budget: RetryBudget): RetryBudget | undefined {
    return budget.available >= 1 ? { available: budget.available - 1 } : undefined;
}
