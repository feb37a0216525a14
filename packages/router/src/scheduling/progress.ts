import type * as decision from "@citronlead/decision";

/** Measurements of a placed request while it runs. */
export interface PlacementProgress {
    readonly prefillMs?: decision.Milliseconds;
    /** False if the prefill is still running and overdue. `prefillMs` is then the time it has taken so far. */
    readonly prefillDone?: boolean;
    readonly cachedTokens?: number;
    readonly transferMs?: decision.Milliseconds;
    readonly tokenMs?: decision.Milliseconds;
}

/** How long the owner expects the steps of a placed request to take. */
export interface ExpectedTimes {
    readonly prefillMs: decision.Milliseconds;
    readonly transferMs: decision.Milliseconds;
}

const DEVIATION_FACTOR = 1.5;
const DEVIATION_MARGIN_MS = 20;
const SAMPLE_PERIOD = 8;

/**
 * Selects the progress to report to the owner: what deviates from its expectations, and a sample of the rest. A message
 * costs more than an expected measurement is worth.
 */
export class ProgressFilter {
    private count = 0;
    private lastTokenMs: decision.Milliseconds = 0;

    /** Whether to send a progress report to the owner. */
    shouldSend(seen: PlacementProgress, expected: ExpectedTimes): boolean {
        this.count++;
        return this.count % SAMPLE_PERIOD === 1
            || seen.prefillDone === false
            || exceedsMargin(seen.prefillMs, expected.prefillMs)
            || deviates(seen.transferMs, expected.transferMs)
            || this.tokenTimeChanged(seen.tokenMs);
    }

    private tokenTimeChanged(tokenMs: decision.Milliseconds | undefined): boolean {
        if (tokenMs === undefined || !deviates(tokenMs, this.lastTokenMs)) {
            return false;
        }
        this.lastTokenMs = tokenMs;
        return true;
    }
}

/** Whether a prefill ended so early that its engine is idle, or so late that the owner wrongly takes it to be idle. */
function exceedsMargin(seen: decision.Milliseconds | undefined, expected: decision.Milliseconds): boolean {
    return seen !== undefined && Math.abs(seen - expected) > DEVIATION_MARGIN_MS;
}

function deviates(seen: decision.Milliseconds | undefined, expected: decision.Milliseconds): boolean {
    return seen !== undefined
        && (seen > expected * DEVIATION_FACTOR + DEVIATION_MARGIN_MS
            || seen < expected / DEVIATION_FACTOR - DEVIATION_MARGIN_MS);
}
