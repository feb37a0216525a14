import * as decision from "@citronlead/decision";
import * as durations from "./durations.js";
import * as rules from "./rules.js";
import * as states from "./state.js";

type Step = decision.Transaction<states.MemberState, states.MemberAction>;

/** The end of the right that a lease gives which was asked for at one time and answered now (rule 1). */
export function holderUntil(
    settings: states.MemberSettings,
    askedAt: decision.Milliseconds,
    now: decision.Milliseconds,
    duration: decision.Milliseconds,
): decision.Milliseconds {
    const from = rules.inForce(settings, rules.Rule.CountFromAsking) ? askedAt : now;
    return from + durations.holderTime(duration);
}

/** Asks for a lease, or renews the one that is held, when it is time. */
export function planLease(state: states.MemberState, now: decision.Milliseconds): Step {
    if (state.leaseCall || state.left || now < state.nextLeaseCallAt) {
        return decision.unchanged(state);
    }
    const call = state.count + 1;
    const action: states.MemberAction = state.lease
        ? { kind: states.ActionKind.KeepLease, call, lease: state.lease.id }
        : { kind: states.ActionKind.GrantLease, call, timeToLiveMs: state.settings.timing.leaseMs };
    return { state: { ...state, count: call, leaseCall: { call, askedAt: now } }, actions: [action] };
}

/** Takes in the answer to a grant or a renewal. */
export function takeLeaseAnswer(
    state: states.MemberState,
    event: Extract<states.MemberEvent, { kind: states.EventKind.LeaseAnswered; }>,
    now: decision.Milliseconds,
): Step {
    const { leaseCall } = state;
    if (leaseCall?.call !== event.call) {
        return decision.unchanged(state);
    }
    const answered: states.MemberState = { ...state, leaseCall: undefined };
    if (!event.lease) {
        return decision.unchanged({ ...answered, nextLeaseCallAt: now + durations.CALL_RETRY_MS });
    }
    if (event.lease.timeToLiveMs <= 0) {
        return decision.unchanged({ ...answered, lease: undefined, nextLeaseCallAt: now });
    }
    const { askedAt } = leaseCall;
    const attached = state.lease?.id === event.lease.id && state.lease.attached;
    const lease: states.OwnLease = { ...event.lease, askedAt, attached };
    const until = attached ? holderUntil(state.settings, askedAt, now, lease.timeToLiveMs) : -Infinity;
    return decision.unchanged({
        ...answered,
        lease,
        leaseUntil: Math.max(state.leaseUntil, until),
        nextLeaseCallAt: askedAt + lease.timeToLiveMs / durations.RENEWALS,
    });
}

/** Counts on the lease from now on, because the key that it carries is known to be written. */
export function attachLease(state: states.MemberState, now: decision.Milliseconds): states.MemberState {
    const { lease, settings } = state;
    if (!lease || lease.attached || !state.own) {
        return state;
    }
    const until = holderUntil(settings, lease.askedAt, now, lease.timeToLiveMs);
    return { ...state, lease: { ...lease, attached: true }, leaseUntil: Math.max(state.leaseUntil, until) };
}
