import * as decision from "@citronlead/decision";
import * as consents from "./consent.js";
import * as durations from "./durations.js";
import * as leases from "./lease.js";
import * as records from "./records.js";
import * as rights from "./rights.js";
import * as rules from "./rules.js";
import * as states from "./state.js";

type Transition = decision.Transition<states.MemberState, states.MemberAction>;

/** The most requests kept to match answers with; answers to older ones are ignored. */
const PENDING_REQUESTS_LIMIT = 8;

/** Requests leases from the named successors, when due. */
export function planSuccessorRequests(state: states.MemberState, now: decision.Milliseconds): Transition {
    const { own: ownEntry } = state;
    if (!ownEntry || state.left || ownEntry.version === state.supersededVersion || now < state.nextRequestAt) {
        return decision.withoutActions(state);
    }
    const { version, record: { successors } } = ownEntry;
    const { incarnation, timing } = state.settings;
    const requests = successors.map(({ host }, index): states.PendingSuccessorRequest => ({
        call: state.lastNumber + 1 + index,
        requestedAt: now,
        version,
        successor: host,
    }));
    return {
        state: {
            ...state,
            lastNumber: state.lastNumber + requests.length,
            pendingRequests: [...state.pendingRequests, ...requests].slice(-PENDING_REQUESTS_LIMIT),
            nextRequestAt: now + timing.promiseMs / durations.RENEWALS_PER_DURATION,
        },
        actions: requests.map(({ successor, call: number }) => ({
            kind: states.ActionKind.Send,
            host: successor,
            message: { kind: states.MessageKind.SuccessorLeaseRequest, number, incarnation, version },
        })),
    };
}

/** Applies a message of another host. Answers meant for another process of this host are ignored. */
export function applyMessage(
    state: states.MemberState,
    event: Extract<states.MemberEvent, { kind: states.EventKind.Message; }>,
    now: decision.Milliseconds,
): Transition {
    const { message, host } = event;
    const isRequest = message.kind === states.MessageKind.SuccessorLeaseRequest
        || message.kind === states.MessageKind.TakeoverConsentRequest;
    if (!isRequest && message.incarnation !== state.settings.incarnation) {
        return decision.withoutActions(state);
    }
    switch (message.kind) {
        case states.MessageKind.SuccessorLeaseRequest:
            return answerSuccessorRequest(state, host, message, now);
        case states.MessageKind.SuccessorLeaseGrant:
            return decision.withoutActions(applyGrant(state, host, message.number, message.durationMs, now));
        case states.MessageKind.SuccessorLeaseRefusal:
            return decision.withoutActions(applyRefusal(state, host, message, now));
        case states.MessageKind.TakeoverConsentRequest:
            return consents.answerConsentRequest(state, host, message, now);
        case states.MessageKind.TakeoverConsent:
            return decision.withoutActions(consents.applyConsent(state, host, message));
    }
}

/** Grants or refuses a successor lease (rules 2, 3 and 5). */
function answerSuccessorRequest(
    state: states.MemberState,
    host: string,
    request: Extract<states.MemberMessage, { kind: states.MessageKind.SuccessorLeaseRequest; }>,
    now: decision.Milliseconds,
): Transition {
    const { number, incarnation } = request;
    const reason = findRefusalReason(state, host, request, now);
    if (reason !== undefined) {
        const message: states.MemberMessage = {
            kind: states.MessageKind.SuccessorLeaseRefusal,
            number,
            incarnation,
            reason,
        };
        return { state, actions: [{ kind: states.ActionKind.Send, host, message }] };
    }
    const durationMs = state.settings.timing.promiseMs;
    const message: states.MemberMessage = {
        kind: states.MessageKind.SuccessorLeaseGrant,
        number,
        incarnation,
        durationMs,
    };
    return {
        state: { ...state, grantedUntil: { ...state.grantedUntil, [host]: now + durationMs } },
        actions: [{ kind: states.ActionKind.Send, host, message }],
    };
}

function findRefusalReason(
    state: states.MemberState,
    host: string,
    request: Extract<states.MemberMessage, { kind: states.MessageKind.SuccessorLeaseRequest; }>,
    now: decision.Milliseconds,
): states.RefusalReason | undefined {
    const { settings, own: ownEntry, view } = state;
    const requester = view.hosts[host];
    const holdsOwnRight = ownEntry !== undefined && rights.holdsRight(state, now) && !state.stopping;
    if (!holdsOwnRight && rules.isEnforced(settings, rules.Rule.GrantWithinOwnRight)) {
        return states.RefusalReason.NoRight;
    }
    const named = requester?.record.incarnation === request.incarnation
        && records.namesSuccessor(requester, request.version, records.asSuccessor(settings, ownEntry));
    if (!named && rules.isEnforced(settings, rules.Rule.GrantOnlyIfNamed)) {
        return states.RefusalReason.NotNamed;
    }
    return state.refusedVersions[host]?.version === request.version
        ? states.RefusalReason.TakeoverRequested
        : undefined;
}

function applyGrant(
    state: states.MemberState,
    host: string,
    number: number,
    durationMs: decision.Milliseconds,
    now: decision.Milliseconds,
): states.MemberState {
    const request = state.pendingRequests.find((candidate) => candidate.call === number);
    if (!request || request.version !== state.own?.version || request.successor !== host) {
        return state;
    }
    const until = leases.holderExpiry(state.settings, request.requestedAt, now, durationMs);
    const formerUntil = state.successorLease?.version === request.version ? state.successorLease.until : -Infinity;
    return { ...state, successorLease: { until: Math.max(formerUntil, until), version: request.version } };
}

function applyRefusal(
    state: states.MemberState,
    host: string,
    refusal: Extract<states.MemberMessage, { kind: states.MessageKind.SuccessorLeaseRefusal; }>,
    now: decision.Milliseconds,
): states.MemberState {
    const request = state.pendingRequests.find((candidate) => candidate.call === refusal.number);
    if (!request || request.version !== state.own?.version || request.successor !== host) {
        return state;
    }
    const rewriteNeeded = state.rewriteNeeded || refusal.reason === states.RefusalReason.TakeoverRequested;
    // No early retry while the lease of another successor remains valid for some time.
    const expiresSoon = (state.successorLease?.until ?? -Infinity) - now < state.settings.timing.promiseMs / 2;
    const nextRequestAt = expiresSoon
        ? Math.min(state.nextRequestAt, now + durations.SUCCESSOR_RETRY_MS)
        : state.nextRequestAt;
    return { ...state, rewriteNeeded, nextRequestAt };
}
