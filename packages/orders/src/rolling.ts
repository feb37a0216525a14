import * as decision from "@citronlead/decision";
import * as checks from "./checks.js";
import * as states from "./state.js";

type Step = decision.Transaction<states.RollingState, states.RollingAction>;

/** How long after an unanswered order it is sent again, in milliseconds. */
const REPEAT_MS = 2 * decision.SECOND_MS;

/** How long an engine is left alone after a change that failed, in milliseconds. */
const FAILURE_PAUSE_MS = 60 * decision.SECOND_MS;

/** How much longer than its transfer alone a load may take before it is given up, as a factor and in milliseconds. */
const LOAD_PATIENCE = 2;
const LOAD_ALLOWANCE_MS = 60 * decision.SECOND_MS;

/** Decides about the change of model versions on the engines of one pool, one engine at a time. */
export const decideRolling: decision.Decide<states.RollingState, states.RollingEvent, states.RollingAction> = (
    state,
    event,
    now,
) => {
    switch (event.kind) {
        case states.EventKind.Observed:
            return plan(settle(takeTerm({ ...state, seen: event.seen }, now), now), now);
        case states.EventKind.OrderAnswered:
            return decision.unchanged(takeAnswer(state, event.orderId, event.result, now));
        case states.EventKind.WeightsRead: {
            const key = weightsKey(event.model, event.version);
            return decision.unchanged({ ...state, weights: { ...state.weights, [key]: event.weights } });
        }
        default:
            return decision.unreachable(event);
    }
};

/** Version changes as golden files and `citronlead decide` drive them. */
export const rollingModule: decision.DecisionModule<
    states.RollingSettings,
    states.RollingState,
    states.RollingEvent,
    states.RollingAction
> = { name: "orders", start: states.startRolling, decide: decideRolling };

function weightsKey(model: string, version: string): string {
    return `${model}/${version}`;
}

/** Under a new fencing number everything begins anew; without a right nothing goes on. */
function takeTerm(state: states.RollingState, now: decision.Milliseconds): states.RollingState {
    const fencing = state.seen.right?.fencing;
    if (fencing === state.term?.fencing) {
        return state;
    }
    const term = fencing === undefined ? undefined : { fencing, since: now };
    return { ...state, term, superseded: false, change: undefined, failedUntil: {} };
}

/** Ends a change whose engine reports the ordered version, is gone, or has taken too long. */
function settle(state: states.RollingState, now: decision.Milliseconds): states.RollingState {
    const { change, seen } = state;
    if (!change) {
        return state;
    }
    const engine = seen.engines.find((candidate) => candidate.name === change.engine);
    const outdated = change.phase === states.Phase.Draining && seen.wanted[change.model] !== change.version;
    if (!engine || engine.version === change.version || outdated) {
        return { ...state, change: undefined };
    }
    return now < change.giveUpAt ? state : giveUp(state, change, now);
}

function giveUp(state: states.RollingState, change: states.Change, now: decision.Milliseconds): states.RollingState {
    const failedUntil = { ...state.failedUntil, [change.engine]: now + FAILURE_PAUSE_MS };
    return { ...state, change: undefined, failedUntil };
}

function plan(state: states.RollingState, now: decision.Milliseconds): Step {
    if (!state.term || state.superseded) {
        return decision.unchanged(state);
    }
    return state.change ? planOrder(state, state.change, now) : planChange(state, now);
}

/** Takes the next engine out of service, if enough slots and the weight store's rate allow it. */
function planChange(state: states.RollingState, now: decision.Milliseconds): Step {
    const engine = state.seen.engines.find((candidate) => mayChange(state, candidate, now));
    if (!engine) {
        return decision.unchanged(state);
    }
    const version = state.seen.wanted[engine.model] ?? engine.version;
    const weights = state.weights[weightsKey(engine.model, version)];
    if (!weights) {
        const action = { kind: states.ActionKind.ReadWeights as const, model: engine.model, version };
        return { state, actions: [action] };
    }
    const transferMs = transferTime(state, weights);
    if (now < startOfChanges(state, transferMs)) {
        return decision.unchanged(state);
    }
    const count = state.count + 1;
    const change: states.Change = {
        engine: engine.name,
        model: engine.model,
        version,
        phase: states.Phase.Draining,
        orderId: `${state.settings.pool}/${state.term?.fencing}/${count}`,
        since: now,
        repeatAt: now,
        giveUpAt: now + state.settings.longestDrainMs + LOAD_PATIENCE * transferMs + LOAD_ALLOWANCE_MS,
    };
    const next: states.RollingState = { ...state, count, change, storeFreeAt: now + transferMs };
    checks.checkFloor(next);
    return planOrder(next, change, now);
}

/** A new owner waits until what the former one may have ordered last is loaded and back in service. */
function startOfChanges(state: states.RollingState, transferMs: decision.Milliseconds): decision.Milliseconds {
    return Math.max(state.storeFreeAt, (state.term?.since ?? Infinity) + state.settings.longestOrderMs + transferMs);
}

/** How long the pool's part of the weight store's rate takes for one version, in milliseconds. */
function transferTime(state: states.RollingState, weights: states.Weights): decision.Milliseconds {
    return weights.sizeBytes / (weights.rateBytesPerSecond * state.seen.weightShare) * decision.SECOND_MS;
}

function mayChange(state: states.RollingState, engine: states.SeenEngine, now: decision.Milliseconds): boolean {
    const { seen, failedUntil } = state;
    const wanted = seen.wanted[engine.model];
    if (!engine.usable || wanted === undefined || wanted === engine.version) {
        return false;
    }
    if (now < (failedUntil[engine.name] ?? -Infinity)) {
        return false;
    }
    return engine.decodes
        ? checks.slotsInService(seen.engines, engine.name) >= seen.minimumSlots
        : seen.engines.some((other) => other.usable && !other.decodes && other.name !== engine.name);
}

/** Sends the order of the engine that is out of service, or sends it again, if the right covers it. */
function planOrder(state: states.RollingState, change: states.Change, now: decision.Milliseconds): Step {
    const engine = state.seen.engines.find((candidate) => candidate.name === change.engine);
    const drained = engine?.running === 0 || now >= change.since + state.settings.longestDrainMs;
    const waits = change.phase === states.Phase.Draining ? !drained : now < change.repeatAt;
    if (change.phase === states.Phase.Loading || waits || !isCovered(state, now)) {
        return decision.unchanged(state);
    }
    const repeatAt = now + state.settings.longestOrderMs + REPEAT_MS;
    const ordered: states.Change = { ...change, phase: states.Phase.Ordered, repeatAt };
    const next = { ...state, change: ordered };
    checks.checkOrder(next, now);
    const { engine: name, model, version, orderId } = change;
    return {
        state: next,
        actions: [{
            kind: states.ActionKind.SendOrder,
            engine: name,
            model,
            version,
            fencing: state.term?.fencing ?? 0,
            orderId,
            timeoutMs: state.settings.longestOrderMs,
        }],
    };
}

/**
 * Whether an order may be sent now. Engines that ignore fencing get one only if it ends before the right does, and a
 * new owner first waits until the former owner's last order has ended.
 */
function isCovered(state: states.RollingState, now: decision.Milliseconds): boolean {
    const { settings, seen: { right }, term } = state;
    if (!right || !term || now >= right.until) {
        return false;
    }
    return settings.checksFencing
        || (now + settings.longestOrderMs <= right.until && now >= term.since + settings.longestOrderMs);
}

function takeAnswer(
    state: states.RollingState,
    orderId: string,
    result: states.OrderResult,
    now: decision.Milliseconds,
): states.RollingState {
    const { change } = state;
    if (change?.orderId !== orderId || change.phase !== states.Phase.Ordered) {
        return state;
    }
    switch (result) {
        case states.OrderResult.Taken:
            return { ...state, change: { ...change, phase: states.Phase.Loading } };
        case states.OrderResult.Stale:
            return { ...state, change: undefined, superseded: true };
        case states.OrderResult.Refused:
            return giveUp(state, change, now);
        case states.OrderResult.Unknown:
            return { ...state, change: { ...change, repeatAt: now + REPEAT_MS } };
    }
}
