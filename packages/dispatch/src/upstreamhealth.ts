import type * as decision from "@citronlead/decision";

/** How a send to an upstream ended, as far as its health goes. */
export enum SendResult {
    /** A whole answer. */
    Answered = "answered",
    /** The upstream answered that it failed, or its answer was broken. */
    Failed = "failed",
    /** Turned away for lack of room. */
    Full = "full",
    /** No connection, a reset, or no answer in the time that it should have taken. */
    Unreachable = "unreachable",
}

/** Pause after the first unreachable result; doubles with each further one. */
const FIRST_SUSPENSION_MS = 500;
/** Crashed upstreams are back within seconds, so longer pauses would waste them. */
const LONGEST_SUSPENSION_MS = 4_000;
/** Answers that an upstream is credited with before it has given any, so that one failure does not decide. */
const CREDITED_ANSWERS = 5;
/** Half-life of results in the failure share; an upstream that loses part of its answers does so for ten seconds and more. */
const RESULT_HALF_LIFE_MS = 10_000;
/** Weight of the newest duration in the mean. */
const DURATION_WEIGHT = 0.2;
/** How long after a refusal for lack of room other upstreams go first. */
const FULL_PAUSE_MS = 150;

/** What is known of one incarnation of an upstream from this host's own sends. */
export class UpstreamHealth {
    /** Results and the failures among them, both faded by age. */
    private results = 0;
    private failures = 0;
    private fadedAt = 0;
    private unreachableInRow = 0;
    private suspendedUntil: decision.Milliseconds = -Infinity;
    private fullUntil: decision.Milliseconds = -Infinity;
    private slowness = 1;
    /** Sends under way. */
    inFlight = 0;

    /** Takes the result of a send in. */
    record(result: SendResult, now: decision.Milliseconds): void {
        const failed = result === SendResult.Failed || result === SendResult.Unreachable;
        if (result !== SendResult.Full) {
            const left = this.faded(now);
            this.results = this.results * left + 1;
            this.failures = this.failures * left + (failed ? 1 : 0);
            this.fadedAt = now;
        }
        if (result === SendResult.Unreachable) {
            const pause = FIRST_SUSPENSION_MS * 2 ** this.unreachableInRow;
            this.suspendedUntil = now + Math.min(LONGEST_SUSPENSION_MS, pause);
            this.unreachableInRow++;
        }
        else if (result === SendResult.Full) {
            this.fullUntil = now + FULL_PAUSE_MS;
        }
        else {
            this.unreachableInRow = 0;
            this.suspendedUntil = -Infinity;
        }
    }

    /** Takes in how long a send took, relative to what it should take: 1 as expected. */
    recordSlowness(ratio: number): void {
        this.slowness = this.slowness * (1 - DURATION_WEIGHT) + Math.min(20, ratio) * DURATION_WEIGHT;
    }

    /** Time taken relative to what is expected, averaged. */
    get slownessRatio(): number {
        return this.slowness;
    }

    /** Share of recent sends that failed, from 0 to 1. */
    failureShare(now: decision.Milliseconds): number {
        const left = this.faded(now);
        return this.failures * left / (this.results * left + CREDITED_ANSWERS);
    }

    /** Whether the upstream gets no work but the first send after its pause. */
    suspended(now: decision.Milliseconds): boolean {
        return now < this.suspendedUntil || (this.unreachableInRow > 0 && this.inFlight > 0);
    }

    /** Whether it had no room just now. */
    full(now: decision.Milliseconds): boolean {
        return now < this.fullUntil;
    }

    private faded(now: decision.Milliseconds): number {
        return 0.5 ** ((now - this.fadedAt) / RESULT_HALF_LIFE_MS);
    }
}
