import type * as decision from "@citronlead/decision";

/**
 * Time that the load balancer needs to take a host out of rotation: two readiness probes one second apart, and one more
 * as a margin.
 */
const BALANCER_REMOVAL_MS = 2_600;
const MAX_REMOVAL_SHARE = 1 / 3;
/** Share of the stop period after which the process ends even if requests are in flight. */
const STOP_DEADLINE_SHARE = 0.93;
/** Time before the end in which the requests without a response get one. */
const LAST_ANSWERS_MS = 150;
const MAX_LAST_ANSWERS_SHARE = 0.05;
/** Time for which a connection has to be idle before it is closed: the next request of a busy caller arrives within it. */
const IDLE_MS = 500;
const MAX_IDLE_SHARE = 1 / 6;

/** The course of a host's stop. */
export interface StopPlan {
    readonly startedAt: decision.Milliseconds;
    /** When the load balancer sends no more connections. */
    readonly removedAt: decision.Milliseconds;
    /** When each request without a response gets its final one. */
    readonly lastAnswersAt: decision.Milliseconds;
    /** When all that is in flight is cut. */
    readonly cutAt: decision.Milliseconds;
    /** Time for which a connection has to be idle before it is closed. */
    readonly idleMs: decision.Milliseconds;
}

/** Plans a stop that begins now; the process is killed after the stop period. */
export function planStop(now: decision.Milliseconds, stopPeriodMs: decision.Milliseconds): StopPlan {
    const cutAt = now + stopPeriodMs * STOP_DEADLINE_SHARE;
    return {
        startedAt: now,
        removedAt: now + Math.min(BALANCER_REMOVAL_MS, stopPeriodMs * MAX_REMOVAL_SHARE),
        lastAnswersAt: cutAt - Math.min(LAST_ANSWERS_MS, stopPeriodMs * MAX_LAST_ANSWERS_SHARE),
        cutAt,
        idleMs: Math.min(IDLE_MS, stopPeriodMs * MAX_IDLE_SHARE),
    };
}

/** What a stopping host does with a request of which nothing has begun. */
export enum StopDecision {
    /** Begins it: it ends in time whatever happens. */
    BeginAsBounded = "longestFits",
    /** Begins it: it will probably end in time. */
    BeginAsForecast = "likelyFits",
    /** Refuses it, so that its caller asks another host. */
    Refuse = "noTime",
}

/** How long a request may take. */
export interface RequestDuration {
    /** The most that its deadline allows. */
    readonly longestMs: decision.Milliseconds;
    /** A time that few such requests exceed; undefined if it is not known. */
    readonly likelyMs: decision.Milliseconds | undefined;
}

/**
 * Decides whether a stopping host begins a request. While the load balancer still sends it connections, a forecast is enough: a
 * caller that is refused may come back to the same host.
 */
export function decideWhileStopping(
    { lastAnswersAt, removedAt }: StopPlan,
    { longestMs, likelyMs = longestMs }: RequestDuration,
    now: decision.Milliseconds,
): StopDecision {
    const timeLeftMs = lastAnswersAt - now;
    if (longestMs <= timeLeftMs) {
        return StopDecision.BeginAsBounded;
    }
    return now < removedAt && likelyMs <= timeLeftMs ? StopDecision.BeginAsForecast : StopDecision.Refuse;
}

/** Number of the latest durations that a forecast is made from, and the fewest. */
const MAX_DURATIONS = 100;
const MIN_DURATIONS = 20;
/** Maximum number of kinds of request; beyond it the one that is known for longest is forgotten. */
const MAX_KINDS = 1_000;

/**
 * Forecasts how long requests of a kind take, from the latest ones. Follows the longest: a request that is cut costs its caller
 * all of it, and one that is refused a moment.
 */
export class DurationForecast {
    private readonly latest = new Map<string, decision.Milliseconds[]>();

    /** Records how long a request took. */
    observe(kind: string, tookMs: decision.Milliseconds): void {
        const durations = this.latest.get(kind) ?? [];
        durations.push(tookMs);
        if (durations.length > MAX_DURATIONS) {
            durations.shift();
        }
        this.latest.set(kind, durations);
        if (this.latest.size > MAX_KINDS) {
            this.latest.delete([...this.latest.keys()][0] as string);
        }
    }

    /** The longest that any of the latest requests of the kind took; undefined while too few are known. */
    high(kind: string): decision.Milliseconds | undefined {
        const durations = this.latest.get(kind) ?? [];
        return durations.length < MIN_DURATIONS ? undefined : Math.max(...durations);
    }
}
