import * as decision from "@citronlead/decision";
import * as checks from "./checks.js";
import * as states from "./state.js";

type Step = decision.Transition<states.RolloutState, states.RolloutAction>;

/** How long after its timeout an unanswered order is sent again. */
const RESEND_DELAY_MS = 2 * decision.SECOND_MS;

/** How long an engine is not changed again after a change of it failed. */
const FAILURE_PAUSE_MS = 60 * decision.SECOND_MS;

/** A change times out after the longest drain and this factor times the transfer of the weights, plus a fixed time. */
const LOAD_TIMEOUT_FACTOR = 2;
const LOAD_TIMEOUT_EXTRA_MS = 60 * decision.SECOND_MS;

/** Decides about rolling model version changes in one pool, one engine at a time. */
export const decideRollout: decision.DecisionFunction<states.RolloutState, states.RolloutEvent, states.RolloutAction> =
    (
        state,
        event,
        now,
    ) => {
        switch (event.kind) {
            case states.EventKind.Observed:
                return planNext(endSettledChange(updateTerm({ ...state, observation: event.seen }, now), now), now);
            case states.EventKind.OrderAnswered:
                return decision.withoutActions(applyAnswer(state, event.orderId, event.result, now));
            case states.EventKind.WeightsRead: {
                const key = weightsKey(event.model, event.version);
                return decision.withoutActions({
                    ...state,
                    weightsByVersion: { ...state.weightsByVersion, [key]: event.weights },
                });
            }
            default:
                return decision.unreachable(event);
        }
    };

/** The version changes as a decision module, for golden files and `citronlead decide`. */
export const rolloutModule: decision.DecisionModule<
    states.RolloutSettings,
    states.RolloutState,
    states.RolloutEvent,
    states.RolloutAction
> = { name: "orders", start: states.startRollout, decide: decideRollout };

function weightsKey(model: string, version: string): string {
    return `${model}/${version}`;
}

/** Resets the rollout when the fencing token changes or the right to act is lost. */
function updateTerm(state: states.RolloutState, now: decision.Milliseconds): states.RolloutState {
    const fencing = state.observation.right?.fencing;
    if (fencing === state.term?.fencing) {
        return state;
    }
    const term = fencing === undefined ? undefined : { fencing, since: now };
    return { ...state, term, superseded: false, change: undefined, pausedUntil: {} };
}

/** Ends a change that is done, has timed out, has lost its engine, or drains for a version that is no longer wanted. */
function endSettledChange(state: states.RolloutState, now: decision.Milliseconds): states.RolloutState {
    const { change, observation } = state;
    if (!change) {
        return state;
    }
    const engine = observation.engines.find((candidate) => candidate.name === change.engine);
    const versionChanged = change.phase === states.ChangePhase.Draining
        && observation.wanted[change.model] !== change.version;
    if (!engine || engine.version === change.version || versionChanged) {
        return { ...state, change: undefined };
    }
    return now < change.timeoutAt ? state : abandonChange(state, change, now);
}

/** Ends a failed change and pauses changes of its engine. */
function abandonChange(
    state: states.RolloutState,
    change: states.VersionChange,
    now: decision.Milliseconds,
): states.RolloutState {
    const pausedUntil = { ...state.pausedUntil, [change.engine]: now + FAILURE_PAUSE_MS };
    return { ...state, change: undefined, pausedUntil };
}

/** Continues the change in progress, or starts the next one. */
function planNext(state: states.RolloutState, now: decision.Milliseconds): Step {
    if (!state.term || state.superseded) {
        return decision.withoutActions(state);
    }
    return state.change ? planOrder(state, state.change, now) : planChange(state, now);
}

/** Takes the next engine out of service, if enough slots remain and the weight store is free. */
function planChange(state: states.RolloutState, now: decision.Milliseconds): Step {
    const engine = state.observation.engines.find((candidate) => canChange(state, candidate, now));
    if (!engine) {
        return decision.withoutActions(state);
    }
    const version = state.observation.wanted[engine.model] ?? engine.version;
    const weights = state.weightsByVersion[weightsKey(engine.model, version)];
    if (!weights) {
        const action = { kind: states.ActionKind.ReadWeights as const, model: engine.model, version };
        return { state, actions: [action] };
    }
    const transferMs = weightTransferMs(state, weights);
    if (now < earliestChangeTime(state, transferMs)) {
        return decision.withoutActions(state);
    }
    const changeCount = state.changeCount + 1;
    const change: states.VersionChange = {
        engine: engine.name,
        model: engine.model,
        version,
        phase: states.ChangePhase.Draining,
        orderId: `${state.settings.pool}/${state.term?.fencing}/${changeCount}`,
        startedAt: now,
        resendAt: now,
        timeoutAt: now + state.settings.longestDrainMs + LOAD_TIMEOUT_FACTOR * transferMs + LOAD_TIMEOUT_EXTRA_MS,
    };
    const next: states.RolloutState = { ...state, changeCount, change, weightStoreFreeAt: now + transferMs };
    checks.checkMinimumSlots(next);
    return planOrder(next, change, now);
}

/**
 * When the next change may start. A new owner waits until an engine to which the previous owner may have sent an order has
 * loaded its version and is back in service.
 */
function earliestChangeTime(state: states.RolloutState, transferMs: decision.Milliseconds): decision.Milliseconds {
    return Math.max(
        state.weightStoreFreeAt,
        (state.term?.since ?? Infinity) + state.settings.longestOrderMs + transferMs,
    );
}

/** How long the transfer of one version takes at the pool's share of the weight store's rate, in milliseconds. */
function weightTransferMs(state: states.RolloutState, weights: states.Weights): decision.Milliseconds {
    return weights.sizeBytes / (weights.rateBytesPerSecond * state.observation.weightShare) * decision.SECOND_MS;
}

/** Whether an engine needs a new version and can be taken out of service now. */
function canChange(state: states.RolloutState, engine: states.ObservedEngine, now: decision.Milliseconds): boolean {
    const { observation, pausedUntil } = state;
    const wanted = observation.wanted[engine.model];
    if (!engine.usable || wanted === undefined || wanted === engine.version) {
        return false;
    }
    if (now < (pausedUntil[engine.name] ?? -Infinity)) {
        return false;
    }
    return engine.decodes
        ? checks.slotsInService(observation.engines, engine.name) >= observation.minimumSlots
        : observation.engines.some((other) => other.usable && !other.decodes && other.name !== engine.name);
}

/** Sends or resends the order to the engine that is out of service, once it is drained and if an order may be sent. */
function planOrder(state: states.RolloutState, change: states.VersionChange, now: decision.Milliseconds): Step {
    const engine = state.observation.engines.find((candidate) => candidate.name === change.engine);
    const drained = engine?.running === 0 || now >= change.startedAt + state.settings.longestDrainMs;
    const mustWait = change.phase === states.ChangePhase.Draining ? !drained : now < change.resendAt;
    if (change.phase === states.ChangePhase.Loading || mustWait || !mayOrder(state, now)) {
        return decision.withoutActions(state);
    }
    const resendAt = now + state.settings.longestOrderMs + RESEND_DELAY_MS;
    const ordered: states.VersionChange = { ...change, phase: states.ChangePhase.Ordered, resendAt };
    const next = { ...state, change: ordered };
    checks.checkOrderAllowed(next, now);
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
 * Whether an order may be sent now. To engines that ignore fencing, an order is sent only if it ends before the right does,
 * and a new owner first waits until the previous owner's last order must have ended.
 */
function mayOrder(state: states.RolloutState, now: decision.Milliseconds): boolean {
    const { settings, observation: { right }, term } = state;
    if (!right || !term || now >= right.until) {
        return false;
    }
    return settings.checksFencing
        || (now + settings.longestOrderMs <= right.until && now >= term.since + settings.longestOrderMs);
}

/** Applies the answer to the current order. Answers to earlier orders are ignored. */
function applyAnswer(
    state: states.RolloutState,
    orderId: string,
    result: states.OrderResult,
    now: decision.Milliseconds,
): states.RolloutState {
    const { change } = state;
    if (change?.orderId !== orderId || change.phase !== states.ChangePhase.Ordered) {
        return state;
    }
    switch (result) {
        case states.OrderResult.Taken:
            return { ...state, change: { ...change, phase: states.ChangePhase.Loading } };
        case states.OrderResult.Stale:
            return { ...state, change: undefined, superseded: true };
        case states.OrderResult.Refused:
            return abandonChange(state, change, now);
        case states.OrderResult.Unknown:
            return { ...state, change: { ...change, resendAt: now + RESEND_DELAY_MS } };
    }
}
