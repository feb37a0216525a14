import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import type * as lifecycle from "@citronlead/lifecycle";

/** Time between two records of the polls of the event loop. */
const RECORD_PERIOD_MS = 15;

/** Records when the event loop polls, while there are calls whose answers may end with their connection. */
export class PollRecorder {
    private users = 0;
    private timer: NodeJS.Timeout | undefined;
    private polls: dispatch.PollTimes;

    constructor(private readonly scope: lifecycle.Scope, private readonly clock: decision.Clock) {
        this.polls = new dispatch.PollTimes(clock());
        scope.defer(() => clearTimeout(this.timer));
    }

    /** Records from now on; what a user finds after this is not older than its call. */
    start(): void {
        this.users++;
        if (this.users === 1) {
            this.polls = new dispatch.PollTimes(this.clock());
            this.schedule();
        }
    }

    /** Ends one user's use. */
    stop(): void {
        this.users--;
        if (this.users === 0) {
            clearTimeout(this.timer);
        }
    }

    /** An end that is found now, by a call that has started the recorder, has come since then. */
    get polledAt(): decision.Milliseconds {
        return this.polls.polledAt;
    }

    private schedule(): void {
        this.timer = setTimeout(() => {
            const startedAt = this.clock();
            const { polls } = this;
            // Late timers run several times before the loop polls; immediates run after it has.
            setImmediate(() => {
                if (polls === this.polls && this.users > 0 && !this.scope.closed) {
                    polls.record(startedAt);
                    this.schedule();
                }
            });
        }, RECORD_PERIOD_MS);
    }
}
