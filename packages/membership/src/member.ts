import * as decision from "@citronlead/decision";
import * as consents from "./consent.js";
import * as leases from "./lease.js";
import * as ownership from "./ownership.js";
import * as states from "./state.js";
import * as successors from "./successors.js";
import * as views from "./view.js";
import * as writes from "./writes.js";

type Transition = decision.Transition<states.MemberState, states.MemberAction>;
type Planner = (state: states.MemberState, now: decision.Milliseconds) => Transition;

/** Applies an event and decides about leases, takeovers and the ownership of partitions. */
export const decideMember: decision.DecisionFunction<states.MemberState, states.MemberEvent, states.MemberAction> = (
    state,
    event,
    now,
) => {
    const applied = applyEvent(state, event, now);
    return PLANNERS.reduce<Transition>((transition, plan) => {
        const next = plan(transition.state, now);
        return next.actions.length === 0
            ? { state: next.state, actions: transition.actions }
            : { state: next.state, actions: [...transition.actions, ...next.actions] };
    }, applied);
};

/** Run after each event, in this order. */
const PLANNERS: readonly Planner[] = [
    leases.planLease,
    planHandOver,
    writes.planWrite,
    successors.planSuccessorRequests,
    consents.planConsentRequests,
    planLeave,
];

function applyEvent(state: states.MemberState, event: states.MemberEvent, now: decision.Milliseconds): Transition {
    switch (event.kind) {
        case states.EventKind.Tick:
            return decision.withoutActions(state);
        case states.EventKind.ViewUpdated:
            return decision.withoutActions(views.applyView(allowEarlierWrite(state, now), event.view, now));
        case states.EventKind.LeaseAnswered:
            return leases.applyLeaseAnswer(state, event, now);
        case states.EventKind.WriteAnswered:
            return writes.applyWriteAnswer(state, event, now);
        case states.EventKind.Message:
            return successors.applyMessage(state, event, now);
        case states.EventKind.HandOverReady:
            return decision.withoutActions(markHandOverReady(state, event.handOver));
        case states.EventKind.StopRequested:
            return decision.withoutActions({ ...state, stopping: true, nextWriteAt: now });
        default:
            return decision.unreachable(event);
    }
}

/** Allows the next write before the retry delay has passed, since the view is newer; staggered after a failed write. */
function allowEarlierWrite(state: states.MemberState, now: decision.Milliseconds): states.MemberState {
    const earliest = now + (state.lastWriteFailed ? writes.stagger(state) : 0);
    return state.pendingWrite ? state : { ...state, nextWriteAt: Math.min(state.nextWriteAt, earliest) };
}

function markHandOverReady(state: states.MemberState, number: number): states.MemberState {
    return state.handOver?.number === number ? { ...state, handOver: { ...state.handOver, ready: true } } : state;
}

/** Stops acting for partitions that another host should own and lets the parts of this host finish with them. */
function planHandOver(state: states.MemberState, now: decision.Milliseconds): Transition {
    if (!state.own || state.left || (state.handOver && !(state.stopping && !allReleased(state)))) {
        return decision.withoutActions(state);
    }
    const handOvers = ownership.findHandOvers(state, now);
    if (Object.keys(handOvers).length === 0 && !state.stopping) {
        return decision.withoutActions(state);
    }
    const number = state.lastNumber + 1;
    const next = Object.fromEntries(
        Object.entries(handOvers)
            .filter(([partition]) => !(partition in (state.handOver?.next ?? {})))
            .map(([partition, { host, incarnation }]) => [partition, { host, incarnation }]),
    );
    const handOver: states.HandOver = { number, next: { ...state.handOver?.next, ...next }, ready: false };
    return {
        state: { ...state, lastNumber: number, handOver },
        actions: [{ kind: states.ActionKind.PrepareHandOver, handOver: number, next }],
    };
}

/** Whether this host has stopped acting for all partitions that a planned stop can hand over. */
function allReleased(state: states.MemberState): boolean {
    const handOvers = ownership.findHandOvers(state, Infinity);
    return Object.keys(handOvers).every((partition) =>
        state.handOver !== undefined && partition in state.handOver.next
    );
}

/** Completes a planned stop once the record of this host is gone, or if it was never written. */
function planLeave(state: states.MemberState): Transition {
    if (!state.stopping || state.left || state.own || state.pendingWrite) {
        return decision.withoutActions(state);
    }
    const revoke: states.MemberAction[] = state.lease
        ? [{ kind: states.ActionKind.RevokeLease, lease: state.lease.id }]
        : [];
    return {
        state: { ...state, lease: undefined, left: true },
        actions: [...revoke, { kind: states.ActionKind.Left }],
    };
}
