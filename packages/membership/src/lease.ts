import * as decision from "@citronlead/decision";
import * as durations from "./durations.js";
import * as rules from "./rules.js";
import * as states from "./state.js";

type Transition = decision.Transition<states.MemberState, states.MemberAction>;

/**
 * When the holder of a lease must stop relying on it. The duration counts from the request, since the grantor may have
 * granted the lease any time between request and answer (rule 1).
 */
export function holderExpiry(
    settings: states.MemberSettings,
    requestedAt: decision.Milliseconds,
    now: decision.Milliseconds,
    duration: decision.Milliseconds,
): decision.Milliseconds {
    const from = rules.isEnforced(settings, rules.Rule.CountFromRequest) ? requestedAt : now;
    return from + durations.subtractClockDrift(duration);
}

/** Requests a host lease, or renews the one held, when due. */
export function planLease(state: states.MemberState, now: decision.Milliseconds): Transition {
    if (state.pendingLeaseCall || state.left || now < state.nextLeaseCallAt) {
        return decision.withoutActions(state);
    }
    const call = state.lastNumber + 1;
    const action: states.MemberAction = state.lease
        ? { kind: states.ActionKind.RenewLease, call, lease: state.lease.id }
        : { kind: states.ActionKind.GrantLease, call, timeToLiveMs: state.settings.timing.leaseMs };
    return { state: { ...state, lastNumber: call, pendingLeaseCall: { call, requestedAt: now } }, actions: [action] };
}

/** Applies the answer to a grant or a renewal. */
export function applyLeaseAnswer(
    state: states.MemberState,
    event: Extract<states.MemberEvent, { kind: states.EventKind.LeaseAnswered; }>,
    now: decision.Milliseconds,
): Transition {
    const { pendingLeaseCall } = state;
    if (pendingLeaseCall?.call !== event.call) {
        return decision.withoutActions(state);
    }
    const answered: states.MemberState = { ...state, pendingLeaseCall: undefined };
    if (!event.lease) {
        return decision.withoutActions({ ...answered, nextLeaseCallAt: now + durations.CALL_RETRY_MS });
    }
    if (event.lease.timeToLiveMs <= 0) {
        return decision.withoutActions({ ...answered, lease: undefined, nextLeaseCallAt: now });
    }
    const { requestedAt } = pendingLeaseCall;
    const attached = state.lease?.id === event.lease.id && state.lease.attached;
    const lease: states.HostLease = { ...event.lease, requestedAt, attached };
    const until = attached ? holderExpiry(state.settings, requestedAt, now, lease.timeToLiveMs) : -Infinity;
    return decision.withoutActions({
        ...answered,
        lease,
        leaseUntil: Math.max(state.leaseUntil, until),
        nextLeaseCallAt: requestedAt + lease.timeToLiveMs / durations.RENEWALS_PER_DURATION,
    });
}

/** Starts relying on the host lease, since the key that is bound to it is known to be written. */
export function markLeaseAttached(state: states.MemberState, now: decision.Milliseconds): states.MemberState {
    const { lease, settings } = state;
    if (!lease || lease.attached || !state.own) {
        return state;
    }
    const until = holderExpiry(settings, lease.requestedAt, now, lease.timeToLiveMs);
    return { ...state, lease: { ...lease, attached: true }, leaseUntil: Math.max(state.leaseUntil, until) };
}
