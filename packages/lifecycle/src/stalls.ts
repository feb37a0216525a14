import * as decision from "@citronlead/decision";
import type * as scopes from "./scope.js";
import * as timers from "./timers.js";

const CHECK_PERIOD_MS = 50;
/** Delay of a check beyond which the process counts as having stood still; garbage collection takes far less. */
const MIN_STALL_MS = 400;
/** Time after a stall in which what was queued meanwhile is read. */
const BACKLOG_MS = 250;

/** Detects that the process stood still, stopped or without processor time: what it reads then may be old. */
export class StallDetector {
    private checkedAt: decision.Milliseconds;
    private backlogUntil: decision.Milliseconds = -Infinity;

    /** `onStall` is called after a stall with its length. */
    constructor(
        scope: scopes.Scope,
        private readonly clock: decision.Clock,
        private readonly onStall: (lengthMs: decision.Milliseconds) => void,
    ) {
        this.checkedAt = clock();
        timers.every(scope, CHECK_PERIOD_MS, () => this.check());
    }

    /** Whether what is read now may have waited while the process stood still. */
    get readsBacklog(): boolean {
        this.check();
        return this.clock() < this.backlogUntil;
    }

    private check(): void {
        const now = this.clock();
        const lengthMs = now - this.checkedAt - CHECK_PERIOD_MS;
        this.checkedAt = now;
        if (lengthMs >= MIN_STALL_MS) {
            this.backlogUntil = now + BACKLOG_MS;
            this.onStall(lengthMs);
        }
    }
}
