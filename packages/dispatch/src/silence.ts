import type * as decision from "@citronlead/decision";
import type * as routing from "@citronlead/routing";

/** Shortest silence after which callers abandon a stream. */
const MIN_PATIENCE_MS = 2_000;
/** Number of latency targets without an event after which callers abandon a stream. */
const PATIENCE_LATENCY_TARGETS = 4;
/** Number of event gap targets without an event after which callers abandon a stream. */
const PATIENCE_GAP_TARGETS = 8;
/** Silence after which a stream goes on at another upstream: before callers abandon it. */
const TAKEOVER_MS = 1_900;
/** Share of the callers' patience after which a silent upstream is suspected to be gone. */
const SUSPECTED_SHARE = 0.92;
/** Time beyond it, so that it is the caller who ends a stream on which nothing else can go on. */
const ABANDONED_MARGIN_MS = 250;

/** What an upstream's silence leads to, by how long it lasts. */
export interface SilenceTimes {
    /** Another upstream takes over, if one can. */
    readonly takeoverMs: decision.Milliseconds;
    /** The upstream is suspected to be gone; its answer is still waited for. */
    readonly suspectedMs: decision.Milliseconds;
    /** The answer is given up: its caller has left. */
    readonly abandonedMs: decision.Milliseconds;
}

/** The times that apply to the streams of a route. */
export function silenceTimes(
    { latencyTargetMs, eventGapTargetMs = 0 }: Pick<routing.Route, "latencyTargetMs" | "eventGapTargetMs">,
): SilenceTimes {
    const patienceMs = Math.max(
        MIN_PATIENCE_MS,
        PATIENCE_LATENCY_TARGETS * latencyTargetMs,
        PATIENCE_GAP_TARGETS * eventGapTargetMs,
    );
    return {
        takeoverMs: TAKEOVER_MS,
        suspectedMs: Math.max(TAKEOVER_MS, patienceMs * SUSPECTED_SHARE),
        abandonedMs: patienceMs + ABANDONED_MARGIN_MS,
    };
}
