import type * as decision from "@citronlead/decision";

/** What is seen of a placed request on its way. */
export interface PlacementProgress {
    readonly prefillMs?: decision.Milliseconds;
    /** False while the prefill is not done but takes longer than thought. */
    readonly prefillDone?: boolean;
    readonly cachedTokens?: number;
    readonly transferMs?: decision.Milliseconds;
    readonly tokenMs?: decision.Milliseconds;
}

/** What the owner thought of a placed request. */
export interface Expectation {
    readonly prefillMs: decision.Milliseconds;
    readonly transferMs: decision.Milliseconds;
}

const TELLING_FACTOR = 1.5;
const TELLING_MARGIN_MS = 20;
const SAMPLE_PERIOD = 8;

/** Tells the owner only what it could not think itself, and a sample of the rest: messages cost more than figures. */
export class ProgressFilter {
    private count = 0;
    private lastTokenMs: decision.Milliseconds = 0;

    /** Whether a piece of progress is worth a message. */
    isTelling(seen: PlacementProgress, expected: Expectation): boolean {
        this.count++;
        return this.count % SAMPLE_PERIOD === 1
            || seen.prefillDone === false
            || isOff(seen.prefillMs, expected.prefillMs)
            || differs(seen.transferMs, expected.transferMs)
            || this.paceDiffers(seen.tokenMs);
    }

    private paceDiffers(tokenMs: decision.Milliseconds | undefined): boolean {
        if (tokenMs === undefined || !differs(tokenMs, this.lastTokenMs)) {
            return false;
        }
        this.lastTokenMs = tokenMs;
        return true;
    }
}

/** Whether a prefill ended so far from its time that its engine stands idle, or is thought to. */
function isOff(seen: decision.Milliseconds | undefined, expected: decision.Milliseconds): boolean {
    return seen !== undefined && Math.abs(seen - expected) > TELLING_MARGIN_MS;
}

function differs(seen: decision.Milliseconds | undefined, expected: decision.Milliseconds): boolean {
    return seen !== undefined
        && (seen > expected * TELLING_FACTOR + TELLING_MARGIN_MS
            || seen < expected / TELLING_FACTOR - TELLING_MARGIN_MS);
}
