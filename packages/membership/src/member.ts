import * as decision from "@citronlead/decision";
import * as consents from "./consent.js";
import * as leases from "./lease.js";
import * as ownership from "./ownership.js";
import * as promises from "./promise.js";
import * as rosters from "./roster.js";
import * as states from "./state.js";
import * as swaps from "./swaps.js";

type Step = decision.Transaction<states.MemberState, states.MemberAction>;
type Plan = (state: states.MemberState, now: decision.Milliseconds) => Step;

/** Decides what a member does about its lease, its successor, hosts that are gone and the partitions. */
export const decideMember: decision.Decide<states.MemberState, states.MemberEvent, states.MemberAction> = (
    state,
    event,
    now,
) => {
    const taken = take(state, event, now);
    return PLANS.reduce<Step>((step, plan) => {
        const next = plan(step.state, now);
        return next.actions.length === 0
            ? { state: next.state, actions: step.actions }
            : { state: next.state, actions: [...step.actions, ...next.actions] };
    }, taken);
};

/** What is looked at after each event, in this order. */
const PLANS: readonly Plan[] = [
    leases.planLease,
    planRelease,
    swaps.planSwap,
    promises.planAsk,
    consents.planConsents,
    planLeft,
];

function take(state: states.MemberState, event: states.MemberEvent, now: decision.Milliseconds): Step {
    switch (event.kind) {
        case states.EventKind.Tick:
            return decision.unchanged(state);
        case states.EventKind.Viewed:
            return decision.unchanged(rosters.takeView(hastened(state, now), event.view, now));
        case states.EventKind.LeaseAnswered:
            return leases.takeLeaseAnswer(state, event, now);
        case states.EventKind.SwapAnswered:
            return swaps.takeSwapAnswer(state, event, now);
        case states.EventKind.Message:
            return promises.takeMessage(state, event, now);
        case states.EventKind.HandOverReady:
            return decision.unchanged(takeReady(state, event.handOver));
        case states.EventKind.StopRequested:
            return decision.unchanged({ ...state, stopping: true, nextSwapAt: now });
        default:
            return decision.unreachable(event);
    }
}

/** A newer view lets the next write go earlier than the time for repeating a failed one. */
function hastened(state: states.MemberState, now: decision.Milliseconds): states.MemberState {
    const earliest = now + (state.lostRace ? swaps.stagger(state) : 0);
    return state.swapCall ? state : { ...state, nextSwapAt: Math.min(state.nextSwapAt, earliest) };
}

function takeReady(state: states.MemberState, number: number): states.MemberState {
    return state.handOver?.number === number ? { ...state, handOver: { ...state.handOver, ready: true } } : state;
}

/** Stops acting for the partitions that another host should own, and has the parts of this host say their last word. */
function planRelease(state: states.MemberState, now: decision.Milliseconds): Step {
    if (!state.own || state.left || (state.handOver && !(state.stopping && !isReleased(state)))) {
        return decision.unchanged(state);
    }
    const moves = ownership.findMoves(state, now);
    if (Object.keys(moves).length === 0 && !state.stopping) {
        return decision.unchanged(state);
    }
    const number = state.count + 1;
    const next = Object.fromEntries(
        Object.entries(moves)
            .filter(([partition]) => !(partition in (state.handOver?.next ?? {})))
            .map(([partition, { host, incarnation }]) => [partition, { host, incarnation }]),
    );
    const handOver: states.HandOver = { number, next: { ...state.handOver?.next, ...next }, ready: false };
    return {
        state: { ...state, count: number, handOver },
        actions: [{ kind: states.ActionKind.PrepareHandOver, handOver: number, next }],
    };
}

/** Whether a planned stop has released everything that can be handed to another host. */
function isReleased(state: states.MemberState): boolean {
    const moves = ownership.findMoves(state, Infinity);
    return Object.keys(moves).every((partition) => state.handOver !== undefined && partition in state.handOver.next);
}

/** Ends a planned stop once the record is gone, or was never written. */
function planLeft(state: states.MemberState): Step {
    if (!state.stopping || state.left || state.own || state.swapCall) {
        return decision.unchanged(state);
    }
    const revoke: states.MemberAction[] = state.lease
        ? [{ kind: states.ActionKind.RevokeLease, lease: state.lease.id }]
        : [];
    return {
        state: { ...state, lease: undefined, left: true },
        actions: [...revoke, { kind: states.ActionKind.Left }],
    };
}
