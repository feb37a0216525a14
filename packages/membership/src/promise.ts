import * as decision from "@citronlead/decision";
import * as consents from "./consent.js";
import * as durations from "./durations.js";
import * as leases from "./lease.js";
import * as records from "./records.js";
import * as rights from "./rights.js";
import * as rules from "./rules.js";
import * as states from "./state.js";

type Step = decision.Transaction<states.MemberState, states.MemberAction>;

/** Requests that are remembered; an answer to an older one is dropped. */
const ASKS_LIMIT = 8;

/** Asks the named successors for their promises when it is time. */
export function planAsk(state: states.MemberState, now: decision.Milliseconds): Step {
    const { own } = state;
    if (!own || state.left || own.version === state.barredVersion || now < state.nextAskAt) {
        return decision.unchanged(state);
    }
    const { version, record: { successors } } = own;
    const { incarnation, timing } = state.settings;
    const asks = successors.map(({ host }, index): states.Ask => ({
        call: state.count + 1 + index,
        askedAt: now,
        version,
        successor: host,
    }));
    return {
        state: {
            ...state,
            count: state.count + asks.length,
            asks: [...state.asks, ...asks].slice(-ASKS_LIMIT),
            nextAskAt: now + timing.promiseMs / durations.RENEWALS,
        },
        actions: asks.map(({ successor, call: number }) => ({
            kind: states.ActionKind.Send,
            host: successor,
            message: { kind: states.MessageKind.Request, number, incarnation, version },
        })),
    };
}

/** Takes in a message of another host. */
export function takeMessage(
    state: states.MemberState,
    event: Extract<states.MemberEvent, { kind: states.EventKind.Message; }>,
    now: decision.Milliseconds,
): Step {
    const { message, host } = event;
    const asks = message.kind === states.MessageKind.Request || message.kind === states.MessageKind.ConsentRequest;
    if (!asks && message.incarnation !== state.settings.incarnation) {
        return decision.unchanged(state);
    }
    switch (message.kind) {
        case states.MessageKind.Request:
            return answerRequest(state, host, message, now);
        case states.MessageKind.Grant:
            return decision.unchanged(takeGrant(state, host, message.number, message.durationMs, now));
        case states.MessageKind.Refusal:
            return decision.unchanged(takeRefusal(state, host, message, now));
        case states.MessageKind.ConsentRequest:
            return consents.answerRequest(state, host, message, now);
        case states.MessageKind.Consent:
            return decision.unchanged(consents.takeConsent(state, host, message));
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
    const asker = view.hosts[host];
    const ownRight = own !== undefined && rights.holdsRight(state, now) && !state.stopping;
    if (!ownRight && rules.inForce(settings, rules.Rule.GiveWithinOwnRight)) {
        return states.Refusal.NoRight;
    }
    const named = asker?.record.incarnation === request.incarnation
        && records.namesAt(asker, request.version, records.ownStay(settings, own));
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
    if (!ask || ask.version !== state.own?.version || ask.successor !== host) {
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
    if (!ask || ask.version !== state.own?.version || ask.successor !== host) {
        return state;
    }
    const rewriteWanted = state.rewriteWanted || refusal.reason === states.Refusal.TakeoverAsked;
    // While another successor's promise lasts, there is no hurry.
    const lapsesSoon = (state.promised?.until ?? -Infinity) - now < state.settings.timing.promiseMs / 2;
    const nextAskAt = lapsesSoon ? Math.min(state.nextAskAt, now + durations.PROMISE_RETRY_MS) : state.nextAskAt;
    return { ...state, rewriteWanted, nextAskAt };
}
