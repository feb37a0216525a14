import type * as decision from "@citronlead/decision";
import * as observations from "./observations.js";

/** Result of a send to an upstream, as far as it concerns the health of the upstream. */
export enum SendResult {
    /** The upstream responded. */
    Responded = "answered",
    /** The upstream reported a failure, or its response was unusable. */
    Failed = "failed",
    /** Refused for lack of capacity. */
    Full = "full",
    /** No connection, a connection reset, or no response in time. */
    Unreachable = "unreachable",
    /** Nothing was sent, or another upstream answered, which says nothing of this one's health. */
    Excluded = "excluded",
}

/** Suspension after the first unreachable result; doubles with each consecutive one. */
const FIRST_SUSPENSION_MS = 500;
/** Crashed upstreams restart within seconds, so a longer suspension would leave them unused. */
const MAX_SUSPENSION_MS = 4_000;
/** Successful results assumed in addition to the observed ones, so that a single failure does not dominate the rate. */
const ASSUMED_SUCCESSES = 5;
/**
 * Half-life of results in the failure rate: an upstream that loses some responses does so for ten seconds or longer.
 */
const RESULT_HALF_LIFE_MS = 10_000;
/** Weight of the newest sample in the moving average of the slowness. */
const SLOWNESS_SMOOTHING_FACTOR = 0.2;
/** How long other upstreams are preferred after a refusal for lack of capacity. */
const FULL_BACKOFF_MS = 150;

/** Health of one upstream incarnation: by this host's own sends, and by what all hosts have seen. */
export class UpstreamHealth {
    /** Number of results and of failures among them, both with exponential decay. */
    private decayedResults = 0;
    private decayedFailures = 0;
    private decayedAt = 0;
    private consecutiveUnreachable = 0;
    private suspendedUntil: decision.Milliseconds = -Infinity;
    private fullUntil: decision.Milliseconds = -Infinity;
    private slowness = 1;
    /** Number of sends in flight. */
    inFlight = 0;

    /**
     * `beliefAt` says what the observations of all hosts amount to, `ratioAt` how long the upstream takes in relation to
     * others by the samples of all hosts.
     */
    constructor(
        private readonly beliefAt: (now: decision.Milliseconds) => observations.Belief = () =>
            observations.Belief.Sound,
        private readonly ratioAt: (now: decision.Milliseconds) => number | undefined = () => undefined,
    ) {}

    record(result: SendResult, now: decision.Milliseconds): void {
        if (result === SendResult.Excluded) {
            return;
        }
        const failed = result === SendResult.Failed || result === SendResult.Unreachable;
        if (result !== SendResult.Full) {
            const decay = this.decayFactor(now);
            this.decayedResults = this.decayedResults * decay + 1;
            this.decayedFailures = this.decayedFailures * decay + (failed ? 1 : 0);
            this.decayedAt = now;
        }
        if (result === SendResult.Unreachable) {
            const suspensionMs = FIRST_SUSPENSION_MS * 2 ** this.consecutiveUnreachable;
            this.suspendedUntil = now + Math.min(MAX_SUSPENSION_MS, suspensionMs);
            this.consecutiveUnreachable++;
        }
        else if (result === SendResult.Full) {
            this.fullUntil = now + FULL_BACKOFF_MS;
        }
        else {
            this.consecutiveUnreachable = 0;
            this.suspendedUntil = -Infinity;
        }
    }

    /** Lets sends to the upstream go on, one at a time until one gets a response. */
    endSuspension(): void {
        this.suspendedUntil = -Infinity;
    }

    /** Records the duration of a send relative to the expected duration; 1 is as expected. */
    recordSlowness(ratio: number): void {
        this.slowness = this.slowness * (1 - SLOWNESS_SMOOTHING_FACTOR)
            + Math.min(20, ratio) * SLOWNESS_SMOOTHING_FACTOR;
    }

    /** Moving average of the duration relative to the expected one. */
    get slownessRatio(): number {
        return this.slowness;
    }

    /** How long the upstream takes in relation to the others: by the samples of all hosts, or of this one before there are some. */
    expectedSlowness(now: decision.Milliseconds): number {
        return this.ratioAt(now) ?? this.slowness;
    }

    /** Share of recent sends that failed, from 0 to 1. Older results count less. */
    failureRate(now: decision.Milliseconds): number {
        const decay = this.decayFactor(now);
        return this.decayedFailures * decay / (this.decayedResults * decay + ASSUMED_SUCCESSES);
    }

    /** Whether the upstream is suspended. After the suspension it gets one send at a time until one gets a response. */
    isSuspended(now: decision.Milliseconds): boolean {
        return now < this.suspendedUntil || (this.consecutiveUnreachable > 0 && this.inFlight > 0);
    }

    /** Whether a host has reported a failure that others have not confirmed. */
    isSuspected(now: decision.Milliseconds): boolean {
        return this.beliefAt(now) === observations.Belief.Suspected;
    }

    /** Whether several hosts agree that the upstream is down. */
    isDown(now: decision.Milliseconds): boolean {
        return this.beliefAt(now) === observations.Belief.Down;
    }

    /** Whether the upstream recently refused a send for lack of capacity. */
    isFull(now: decision.Milliseconds): boolean {
        return now < this.fullUntil;
    }

    private decayFactor(now: decision.Milliseconds): number {
        return 0.5 ** ((now - this.decayedAt) / RESULT_HALF_LIFE_MS);
    }
}
