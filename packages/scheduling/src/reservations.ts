import type * as decision from "@citronlead/decision";
import * as engines from "./engines.js";
import * as fairQueue from "./fairqueue.js";
import * as messages from "./messages.js";
import * as orderedMap from "./orderedmap.js";
import * as prefixIndex from "./prefixindex.js";
import * as retryBudget from "./retrybudget.js";
import * as states from "./state.js";

type ProgressEvent = Extract<messages.Event, { kind: messages.EventKind.Progress; }>;
type EndEvent = Extract<messages.Event, { kind: messages.EventKind.End; }>;

/** Updates the measurements of a request's engines. */
export function applyProgress(state: states.State, event: ProgressEvent, now: decision.Milliseconds): states.State {
    const reservation = state.reservations.get(event.id);
    if (!reservation) {
        return state;
    }
    const afterPrefill = event.prefillMs === undefined
        ? state
        : recordPrefill(state, reservation, event, event.prefillMs, now);
    const afterTransfer = event.transferMs === undefined
        ? afterPrefill
        : recordTransfer(afterPrefill, reservation, event.transferMs);
    return event.tokenMs === undefined ? afterTransfer : recordTokenTime(afterTransfer, reservation, event.tokenMs);
}

/** Prefills and transfers of fewer tokens are not used: they measure the network latency rather than the engine. */
const MIN_SAMPLE_TOKENS = 256;

function recordPrefill(
    state: states.State,
    reservation: states.Reservation,
    event: ProgressEvent,
    elapsedMs: decision.Milliseconds,
    now: decision.Milliseconds,
): states.State {
    const engine = state.engines.get(reservation.prefill);
    if (!engine) {
        return state;
    }
    // An engine runs one prefill at a time: the wait for the one before it is not counted.
    const workMs = Math.max(1, Math.min(elapsedMs, now - engine.prefillDoneAt));
    const tokens = event.cachedTokens === undefined
        ? reservation.prefillTokens
        : reservation.ask.promptTokens - event.cachedTokens;
    const observed = Math.max(1, tokens) / workMs * 1_000;
    if (event.prefillDone === false) {
        const tokensPerSecond = Math.min(engine.tokensPerSecond, observed);
        return states.putEngine(state, { ...engine, tokensPerSecond, busyUntil: now + workMs });
    }
    const tokensPerSecond = tokens < MIN_SAMPLE_TOKENS
        ? engine.tokensPerSecond
        : engines.smoothRate(engine.tokensPerSecond, observed);
    const queuedMs = Math.max(0, engine.busyUntil - reservation.prefillDoneAt);
    const next = states.putEngine(state, { ...engine, tokensPerSecond, prefillDoneAt: now, busyUntil: now + queuedMs });
    return { ...next, prefillTokensPerSecond: smoothPoolFigure(state.prefillTokensPerSecond, tokensPerSecond) };
}

/** Weight of a new observation in a moving average over the whole pool. */
const POOL_SMOOTHING_FACTOR = 0.02;

function smoothPoolFigure(previous: number, observed: number): number {
    return previous + POOL_SMOOTHING_FACTOR * (observed - previous);
}

function recordTransfer(
    state: states.State,
    reservation: states.Reservation,
    elapsedMs: decision.Milliseconds,
): states.State {
    const bytes = reservation.ask.promptTokens * state.settings.cacheBytesPerToken;
    if (reservation.ask.promptTokens < MIN_SAMPLE_TOKENS) {
        return state;
    }
    const from = state.engines.get(reservation.prefill);
    const to = state.engines.get(reservation.decode);
    if (!from || !to) {
        return state;
    }
    const nominal = state.settings.linkBytesPerSecond;
    const endpoints = engines.recordTransfer({ from, to }, bytes, reservation.grant.transferMs, elapsedMs, nominal);
    return states.putEngine(states.putEngine(state, endpoints.from), endpoints.to);
}

function recordTokenTime(
    state: states.State,
    reservation: states.Reservation,
    tokenMs: decision.Milliseconds,
): states.State {
    const engine = state.engines.get(reservation.decode);
    if (!engine) {
        return state;
    }
    const next = states.putEngine(state, { ...engine, tokenMs: engines.smoothTime(engine.tokenMs, tokenMs) });
    return { ...next, tokenMs: smoothPoolFigure(state.tokenMs, Math.min(tokenMs, 2 * state.tokenMs)) };
}

/** Ends a request: removes it from the queue or releases its reservation. */
export function applyEnd(state: states.State, event: EndEvent, now: decision.Milliseconds): states.State {
    if (state.waiting.has(event.id)) {
        return states.removeWaiting(state, event.id, false);
    }
    const reservation = state.reservations.get(event.id);
    if (!reservation) {
        return state;
    }
    const released = releaseEngines({ ...state, reservations: state.reservations.delete(event.id) }, reservation, now);
    const failed = event.failed.reduce((next, name) => recordEngineFailure(next, name, now), released);
    return settleCharge(failed, reservation, event);
}

function releaseEngines(
    state: states.State,
    reservation: states.Reservation,
    now: decision.Milliseconds,
): states.State {
    const suspects = reservation.ask.suspect ? 1 : 0;
    const prefill = state.engines.get(reservation.prefill);
    const prefilled = prefill && suspects > 0
        ? states.putEngine(state, { ...prefill, suspects: Math.max(0, prefill.suspects - suspects) })
        : state;
    const decode = prefilled.engines.get(reservation.decode);
    if (!decode?.reservations.has({ endsBy: reservation.endsBy, id: reservation.ask.id })) {
        return prefilled;
    }
    const recent = decode.recentEnds.filter((end) => end.at > now - state.settings.reportLagMs);
    return states.putEngine(prefilled, {
        ...decode,
        reservations: decode.reservations.delete({ endsBy: reservation.endsBy, id: reservation.ask.id }),
        reservedPieces: decode.reservedPieces - reservation.pieces,
        suspects: Math.max(0, decode.suspects - suspects),
        recentEnds: [...recent, { at: now, pieces: reservation.pieces }],
    });
}

/** Records a failure of an engine, whose prefix cache is lost with it. */
export function recordEngineFailure(state: states.State, name: string, now: decision.Milliseconds): states.State {
    const engine = state.engines.get(name);
    return engine
        ? {
            ...states.putEngine(state, engines.recordFailure(engine, now)),
            prefixIndex: prefixIndex.removeEngine(state.prefixIndex, name),
        }
        : state;
}

/** Corrects the workspace's charge to the actual length of the answer, and credits a success to the retry budget. */
function settleCharge(state: states.State, reservation: states.Reservation, event: EndEvent): states.State {
    const { ask: request } = reservation;
    const expected = request.outputTokens * state.outputShare;
    const difference = (event.outputTokens - expected) * state.tokenMs / Math.max(1, state.decodeSlots);
    const queue = fairQueue.adjustCharge(
        state.queue,
        request.workspace,
        difference,
        states.weightOf(state, request.workspace),
    );
    return event.whole
        ? {
            ...state,
            queue,
            retryBudget: retryBudget.addSuccess(state.retryBudget),
            outputShare: smoothPoolFigure(state.outputShare, event.outputTokens / Math.max(1, request.outputTokens)),
        }
        : { ...state, queue };
}

/** How long after its request's deadline a reservation is ended, because the event for its end must have been lost. */
const LOST_END_TIMEOUT_MS = 10_000;

/** Applies a load report, and ends reservations on the engine whose end event was lost. */
export function applyReport(state: states.State, report: messages.Report, now: decision.Milliseconds): states.State {
    const known = state.engines.get(report.engine) ?? engines.makeEngine(state.settings, report);
    const restarted = known.incarnation !== report.incarnation;
    const withoutPrefixes = restarted
        ? { ...state, prefixIndex: prefixIndex.removeEngine(state.prefixIndex, report.engine) }
        : state;
    const lagMs = state.settings.reportLagMs;
    return endExpired(
        states.putEngine(withoutPrefixes, engines.applyReport(known, report, lagMs, now)),
        report.engine,
        now,
    );
}

function endExpired(state: states.State, name: string, now: decision.Milliseconds): states.State {
    const id = state.engines.get(name)?.reservations.first()?.[0].id;
    const reservation = id === undefined ? undefined : state.reservations.get(id);
    return id !== undefined && reservation && reservation.ask.deadline + LOST_END_TIMEOUT_MS < now
        ? endExpired(applyEnd(state, endWithoutResult(id), now), name, now)
        : state;
}

function endWithoutResult(id: string): EndEvent {
    return { kind: messages.EventKind.End, id, outputTokens: 0, whole: false, failed: [] };
}

/** Ends all requests of router processes that are gone. */
export function endRequestsOf(
    state: states.State,
    holders: readonly string[],
    now: decision.Milliseconds,
): states.State {
    const gone = new Set(holders);
    const requests = [...state.reservations.entries(), ...state.waiting.entries()].map(([, one]) => one.ask);
    return requests
        .filter((request) => gone.has(request.holder))
        .reduce((next, request) => applyEnd(next, endWithoutResult(request.id), now), state);
}

/** Applies new settings. Measurements are kept. */
export function applySettings(state: states.State, settings: messages.Settings): states.State {
    const indexed = {
        ...state,
        settings,
        prefillIndex: orderedMap.OrderedMap.empty<engines.EngineKey, string>(engines.compareEngines),
        decodeIndex: orderedMap.OrderedMap.empty<engines.EngineKey, string>(engines.compareEngines),
        engines: orderedMap.OrderedMap.empty<string, engines.Engine>(orderedMap.compareStrings),
        decodeSlots: 0,
        freeSlots: 0,
    };
    return [...state.engines.entries()].reduce((next, [, engine]) => states.putEngine(next, engine), indexed);
}
