import type * as decision from "@citronlead/decision";

/** An engine of a service, as far as its stage may be changed. */
export interface StagedEngine {
    readonly incarnation: string;
    readonly isPrefill: boolean;
    /** Whether the engine's stage is not being changed. */
    readonly isSettled: boolean;
    /** Whether the engine may be ordered to change. */
    readonly mayChange: boolean;
}

/** Capacity of one decode engine. */
export interface DecodeCapacity {
    readonly slots: number;
    readonly memoryTokens: number;
}

/**
 * Share of their time that prefill engines may be busy while all decode engines are full: prompts arrive unevenly, and
 * an engine may be lost.
 */
const MAX_PREFILL_USE = 0.5;
/** Number of prefill engines that are left at least, so that one may be lost. */
const MIN_PREFILL_ENGINES = 2;
/** Number of runs and of prefills that have to be observed before a change. */
const MIN_OBSERVATIONS = 4;
/** Window for refused reservations. */
const PRESSURE_WINDOW_MS = 5_000;
/** Number of refused reservations within the window at which decode memory counts as short: one request that waits. */
const MIN_REFUSALS = 3;
const SMOOTHING_FACTOR = 0.05;
/** Growth of the fastest prefill time per observation, so that it follows engines that have become slower. */
const FASTEST_GROWTH = 1.005;

/** A moving average that starts with the first value. */
class Average {
    private mean = 0;
    count = 0;

    get value(): number {
        return this.mean;
    }

    observe(value: number): void {
        this.count++;
        this.mean += (value - this.mean) * Math.max(SMOOTHING_FACTOR, 1 / this.count);
    }
}

/**
 * Finds prefill engines that would serve more as decode engines. Answers load whose requests decode for long: its decode
 * engines are full while the prefill engines are mostly idle, and a change of stage takes seconds.
 */
export class StageBalance {
    private readonly promptTokens = new Average();
    /** Time of a prefill without queueing, per prompt token. */
    private fastestMsPerToken = Infinity;
    private readonly runMs = new Average();
    private readonly reservedTokens = new Average();
    private refusals: decision.Milliseconds[] = [];

    /** Records how long a prefill of so many tokens took, with its queueing. */
    observePrefill(tokens: number, durationMs: decision.Milliseconds): void {
        this.promptTokens.observe(tokens);
        this.fastestMsPerToken = Math.min(
            this.fastestMsPerToken * FASTEST_GROWTH,
            durationMs / Math.max(1, tokens),
        );
    }

    /** Records how long a complete run decoded, and what it had reserved. */
    observeRun(durationMs: decision.Milliseconds, reservedTokens: number): void {
        this.runMs.observe(durationMs);
        this.reservedTokens.observe(reservedTokens);
    }

    /** Records that an engine refused a reservation for lack of capacity. */
    observeRefusal(now: decision.Milliseconds): void {
        this.refusals = this.refusals.filter((at) => at > now - PRESSURE_WINDOW_MS);
        if (this.refusals.length < MIN_REFUSALS) {
            this.refusals.push(now);
        }
    }

    /** The prefill engine that should decode instead; undefined if none, or while too little is known. */
    engineToChange(
        engines: readonly StagedEngine[],
        capacity: DecodeCapacity,
        now: decision.Milliseconds,
    ): StagedEngine | undefined {
        const isShort = this.refusals.filter((at) => at > now - PRESSURE_WINDOW_MS).length >= MIN_REFUSALS;
        if (!isShort || Math.min(this.promptTokens.count, this.runMs.count) < MIN_OBSERVATIONS) {
            return undefined;
        }
        // One change at a time: the next is decided when its effect shows.
        if (engines.some(({ isSettled }) => !isSettled)) {
            return undefined;
        }
        const prefillEngines = engines.filter(({ isPrefill }) => isPrefill);
        const decodeCount = engines.length - prefillEngines.length + 1;
        const remaining = prefillEngines.length - 1;
        const concurrentRuns = Math.min(capacity.slots, capacity.memoryTokens / Math.max(1, this.reservedTokens.value));
        const prefillMs = this.promptTokens.value * this.fastestMsPerToken;
        const busyEngines = decodeCount * concurrentRuns * prefillMs / Math.max(1, this.runMs.value);
        const suffices = remaining >= MIN_PREFILL_ENGINES && busyEngines <= remaining * MAX_PREFILL_USE;
        return suffices ? prefillEngines.find(({ mayChange }) => mayChange) : undefined;
    }
}
