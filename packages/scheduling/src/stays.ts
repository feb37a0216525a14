import type * as decision from "@citronlead/decision";
import * as engines from "./engines.js";
import * as fairOrder from "./fairorder.js";
import * as messages from "./messages.js";
import * as orderedMap from "./orderedmap.js";
import * as prefixes from "./prefixes.js";
import * as retryBudget from "./retrybudget.js";
import * as states from "./state.js";

type ProgressEvent = Extract<messages.Event, { kind: messages.EventKind.Progress; }>;
type EndEvent = Extract<messages.Event, { kind: messages.EventKind.End; }>;

/** Takes in what was seen of a request on its way. */
export function takeProgress(state: states.State, event: ProgressEvent, now: decision.Milliseconds): states.State {
    const stay = state.stays.get(event.id);
    if (!stay) {
        return state;
    }
    const afterPrefill = event.prefillMs === undefined ? state : takePrefill(state, stay, event, event.prefillMs, now);
    const afterTransfer = event.transferMs === undefined
        ? afterPrefill
        : takeTransfer(afterPrefill, stay, event.transferMs);
    return event.tokenMs === undefined ? afterTransfer : takePace(afterTransfer, stay, event.tokenMs);
}

/** Prefills of fewer tokens say more about the network than about the engine. */
const TELLING_TOKENS = 256;

function takePrefill(
    state: states.State,
    stay: states.Stay,
    event: ProgressEvent,
    elapsedMs: decision.Milliseconds,
    now: decision.Milliseconds,
): states.State {
    const engine = state.engines.get(stay.prefill);
    if (!engine) {
        return state;
    }
    // The engine works on one prefill after another: time spent on the one before does not count.
    const workMs = Math.max(1, Math.min(elapsedMs, now - engine.doneAt));
    const tokens = event.cachedTokens === undefined ? stay.prefillTokens : stay.ask.promptTokens - event.cachedTokens;
    const seen = Math.max(1, tokens) / workMs * 1_000;
    if (event.prefillDone === false) {
        const tokensPerSecond = Math.min(engine.tokensPerSecond, seen);
        return states.putEngine(state, { ...engine, tokensPerSecond, busyUntil: now + workMs });
    }
    const tokensPerSecond = tokens < TELLING_TOKENS
        ? engine.tokensPerSecond
        : engines.blendRate(engine.tokensPerSecond, seen);
    const queued = Math.max(0, engine.busyUntil - stay.readyAt);
    const next = states.putEngine(state, { ...engine, tokensPerSecond, doneAt: now, busyUntil: now + queued });
    return { ...next, prefillTokensPerSecond: smooth(state.prefillTokensPerSecond, tokensPerSecond) };
}

const SMOOTH_SHARE = 0.02;

/** Moves a figure of the whole pool towards a new observation. */
function smooth(former: number, seen: number): number {
    return former + SMOOTH_SHARE * (seen - former);
}

function takeTransfer(state: states.State, stay: states.Stay, elapsedMs: decision.Milliseconds): states.State {
    const bytes = stay.ask.promptTokens * state.settings.cacheBytesPerToken;
    if (stay.ask.promptTokens < TELLING_TOKENS) {
        return state;
    }
    const from = state.engines.get(stay.prefill);
    const to = state.engines.get(stay.decode);
    if (!from || !to) {
        return state;
    }
    const nominal = state.settings.linkBytesPerSecond;
    const ends = engines.takeTransfer({ from, to }, bytes, stay.grant.transferMs, elapsedMs, nominal);
    return states.putEngine(states.putEngine(state, ends.from), ends.to);
}

function takePace(state: states.State, stay: states.Stay, tokenMs: decision.Milliseconds): states.State {
    const engine = state.engines.get(stay.decode);
    if (!engine) {
        return state;
    }
    const next = states.putEngine(state, { ...engine, tokenMs: engines.blendTime(engine.tokenMs, tokenMs) });
    return { ...next, tokenMs: smooth(state.tokenMs, Math.min(tokenMs, 2 * state.tokenMs)) };
}

/** Takes in that a request has gone from its engines or from the queue. */
export function takeEnd(state: states.State, event: EndEvent, now: decision.Milliseconds): states.State {
    if (state.waiting.has(event.id)) {
        return states.dropWaiting(state, event.id, false);
    }
    const stay = state.stays.get(event.id);
    if (!stay) {
        return state;
    }
    const left = leaveEngines({ ...state, stays: state.stays.delete(event.id) }, stay, now);
    const failed = event.failed.reduce((next, name) => failEngine(next, name, now), left);
    return settle(failed, stay, event);
}

function leaveEngines(state: states.State, stay: states.Stay, now: decision.Milliseconds): states.State {
    const suspects = stay.ask.suspect ? 1 : 0;
    const prefill = state.engines.get(stay.prefill);
    const prefilled = prefill && suspects > 0
        ? states.putEngine(state, { ...prefill, suspects: Math.max(0, prefill.suspects - suspects) })
        : state;
    const decode = prefilled.engines.get(stay.decode);
    if (!decode?.stays.has({ endsBy: stay.endsBy, id: stay.ask.id })) {
        return prefilled;
    }
    const recent = decode.recentEnds.filter((end) => end.at > now - state.settings.reportLagMs);
    return states.putEngine(prefilled, {
        ...decode,
        stays: decode.stays.delete({ endsBy: stay.endsBy, id: stay.ask.id }),
        reservedPieces: decode.reservedPieces - stay.pieces,
        suspects: Math.max(0, decode.suspects - suspects),
        recentEnds: [...recent, { at: now, pieces: stay.pieces }],
    });
}

/** Takes note that an engine failed. */
export function failEngine(state: states.State, name: string, now: decision.Milliseconds): states.State {
    const engine = state.engines.get(name);
    return engine
        ? {
            ...states.putEngine(state, engines.takeFailure(engine, now)),
            prefixes: prefixes.forget(state.prefixes, name),
        }
        : state;
}

/** Charges the workspace for what the answer took in the end, and saves up for retries. */
function settle(state: states.State, stay: states.Stay, event: EndEvent): states.State {
    const { ask } = stay;
    const expected = ask.outputTokens * state.outputShare;
    const difference = (event.outputTokens - expected) * state.tokenMs / Math.max(1, state.decodeSlots);
    const order = fairOrder.correct(state.order, ask.workspace, difference, states.weightOf(state, ask.workspace));
    return event.whole
        ? {
            ...state,
            order,
            budget: retryBudget.addSuccess(state.budget),
            outputShare: smooth(state.outputShare, event.outputTokens / Math.max(1, ask.outputTokens)),
        }
        : { ...state, order };
}

/** A stay is ended so long after the deadline of its request: the message about its end was lost. */
const LOST_END_MS = 10_000;

/** Takes in a load report. */
export function takeReport(state: states.State, report: messages.Report, now: decision.Milliseconds): states.State {
    const known = state.engines.get(report.engine) ?? engines.makeEngine(state.settings, report);
    const restarted = known.incarnation !== report.incarnation;
    const forgotten = restarted ? { ...state, prefixes: prefixes.forget(state.prefixes, report.engine) } : state;
    const lagMs = state.settings.reportLagMs;
    return endLost(states.putEngine(forgotten, engines.takeReport(known, report, lagMs, now)), report.engine, now);
}

function endLost(state: states.State, name: string, now: decision.Milliseconds): states.State {
    const id = state.engines.get(name)?.stays.first()?.[0].id;
    const stay = id === undefined ? undefined : state.stays.get(id);
    return id !== undefined && stay && stay.ask.deadline + LOST_END_MS < now
        ? endLost(takeEnd(state, lostEnd(id), now), name, now)
        : state;
}

function lostEnd(id: string): EndEvent {
    return { kind: messages.EventKind.End, id, outputTokens: 0, whole: false, failed: [] };
}

/** Ends what router processes that are gone asked for. */
export function endHolders(
    state: states.State,
    holders: readonly string[],
    now: decision.Milliseconds,
): states.State {
    const gone = new Set(holders);
    const asks = [...state.stays.entries(), ...state.waiting.entries()].map(([, one]) => one.ask);
    return asks
        .filter((ask) => gone.has(ask.holder))
        .reduce((next, ask) => takeEnd(next, lostEnd(ask.id), now), state);
}

/** Puts new settings in force; what was measured stays. */
export function takeSettings(state: states.State, settings: messages.Settings): states.State {
    const indexed = {
        ...state,
        settings,
        prefillIndex: orderedMap.OrderedMap.empty<engines.EngineKey, string>(engines.compareEngines),
        decodeIndex: orderedMap.OrderedMap.empty<engines.EngineKey, string>(engines.compareEngines),
        engines: orderedMap.OrderedMap.empty<string, engines.Engine>(orderedMap.compareText),
        decodeSlots: 0,
        freeSlots: 0,
    };
    return [...state.engines.entries()].reduce((next, [, engine]) => states.putEngine(next, engine), indexed);
}
