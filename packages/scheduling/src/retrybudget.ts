/** How many retries may be made: a share of the recent successes, saved up to a limit. */
export interface RetryBudget {
    readonly retries: number;
}

const RETRIES_PER_SUCCESS = 0.1;
const SAVED_RETRIES = 80;

/** The budget before the first request: full, so that a loss right at the start is made good. */
export const fullBudget: RetryBudget = { retries: SAVED_RETRIES };

/** Adds the share of one success. */
export function addSuccess(budget: RetryBudget): RetryBudget {
    return { retries: Math.min(SAVED_RETRIES, budget.retries + RETRIES_PER_SUCCESS) };
}

/** Takes one retry, or returns undefined when the budget is spent. */
export function takeRetry(budget: RetryBudget): RetryBudget | undefined {
    return budget.retries >= 1 ? { retries: budget.retries - 1 } : undefined;
}
