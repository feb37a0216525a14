import * as decision from "@citronlead/decision";
import * as durations from "./durations.js";
import * as leases from "./lease.js";
import * as rights from "./rights.js";
import * as rules from "./rules.js";
import * as states from "./state.js";

type Step = decision.Transaction<states.MemberState, states.MemberAction>;

/** Requests that are remembered; an answer to an older one is dropped. */
const ASKS_LIMIT = 4;

/** Asks the named successor for its promise when it is time. */
export function planAsk(state: states.MemberState, now: decision.Milliseconds): Step {
    const { own } = state;
    const successor = own?.record.successor;
    if (!own || !successor || state.left || own.version === state.barredVersion || now < state.nextAskAt) {
        return decision.unchanged(state);
    }
    const number = state.count + 1;
    const ask: states.Ask = { call: number, askedAt: now, version: own.version };
    const message: states.MemberMessage = {
        kind: states.MessageKind.Request,
        number,
        incarnation: state.settings.incarnation,
        version: own.version,
    };
    const asks = [...state.asks.slice(1 - ASKS_LIMIT), ask];
    return {
        state: { ...state, count: number, asks, nextAskAt: now + state.settings.timing.promiseMs / durations.RENEWALS },
        actions: [{ kind: states.ActionKind.Send, host: successor.host, message }],
    };
}

/** Takes in a message of another host. */
export function takeMessage(
    state: states.MemberState,
    event: Extract<states.MemberEvent, { kind: states.EventKind.Message; }>,
    now: decision.Milliseconds,
): Step {
    const { message, host } = event;
    const answersOther = message.kind !== states.MessageKind.Request
        && message.incarnation !== state.settings.incarnation;
    if (answersOther) {
        return decision.unchanged(state);
    }
    switch (message.kind) {
        case states.MessageKind.Request:
            return answerRequest(state, host, message, now);
        case states.MessageKind.Grant:
            return decision.unchanged(takeGrant(state, host, message.number, message.durationMs, now));
        case states.MessageKind.Refusal:
            return decision.unchanged(takeRefusal(state, host, message, now));
    }
}

/** Gives or refuses a promise not to take over the asker (rules 2, 3 and 5). */
function answerRequest(
    state: states.MemberState,
    host: string,
    request: Extract<states.MemberMessage, { kind: states.MessageKind.Request; }>,
    now: decision.Milliseconds,
): Step {
    const { number, incarnation } = request;
    const reason = reasonToRefuse(state, host, request, now);
    if (reason !== undefined) {
        const message: states.MemberMessage = { kind: states.MessageKind.Refusal, number, incarnation, reason };
        return { state, actions: [{ kind: states.ActionKind.Send, host, message }] };
    }
    const durationMs = state.settings.timing.promiseMs;
    const message: states.MemberMessage = { kind: states.MessageKind.Grant, number, incarnation, durationMs };
    return {
        state: { ...state, given: { ...state.given, [host]: now + durationMs } },
        actions: [{ kind: states.ActionKind.Send, host, message }],
    };
}

function reasonToRefuse(
    state: states.MemberState,
    host: string,
    request: Extract<states.MemberMessage, { kind: states.MessageKind.Request; }>,
    now: decision.Milliseconds,
): states.Refusal | undefined {
    const { settings, own, view } = state;
    const ownRight = own !== undefined && rights.holdsRight(state, now) && !state.stopping;
    if (!ownRight && rules.inForce(settings, rules.Rule.GiveWithinOwnRight)) {
        return states.Refusal.NoRight;
    }
    const asker = view.hosts[host];
    const successor = asker?.record.successor;
    const named = asker?.version === request.version
        && asker.record.incarnation === request.incarnation
        && successor?.host === settings.host
        && successor.session === own?.created;
    if (!named && rules.inForce(settings, rules.Rule.NamedInRecord)) {
        return states.Refusal.NotNamed;
    }
    return state.refusing[host]?.version === request.version ? states.Refusal.TakeoverAsked : undefined;
}

function takeGrant(
    state: states.MemberState,
    host: string,
    number: number,
    durationMs: decision.Milliseconds,
    now: decision.Milliseconds,
): states.MemberState {
    const ask = state.asks.find((candidate) => candidate.call === number);
    if (!ask || ask.version !== state.own?.version || state.own.record.successor?.host !== host) {
        return state;
    }
    const until = leases.holderUntil(state.settings, ask.askedAt, now, durationMs);
    const former = state.promised?.version === ask.version ? state.promised.until : -Infinity;
    return { ...state, promised: { until: Math.max(former, until), version: ask.version } };
}

function takeRefusal(
    state: states.MemberState,
    host: string,
    refusal: Extract<states.MemberMessage, { kind: states.MessageKind.Refusal; }>,
    now: decision.Milliseconds,
): states.MemberState {
    const ask = state.asks.find((candidate) => candidate.call === refusal.number);
    if (!ask || ask.version !== state.own?.version || state.own.record.successor?.host !== host) {
        return state;
    }
    const rewriteWanted = state.rewriteWanted || refusal.reason === states.Refusal.TakeoverAsked;
    const nextAskAt = Math.min(state.nextAskAt, now + durations.PROMISE_RETRY_MS);
    return { ...state, rewriteWanted, nextAskAt };
}
