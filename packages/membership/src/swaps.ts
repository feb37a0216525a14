import * as decision from "@citronlead/decision";
import * as durations from "./durations.js";
import * as ownership from "./ownership.js";
import * as partitions from "./partitions.js";
import * as records from "./records.js";
import * as rules from "./rules.js";
import * as states from "./state.js";
import * as takeovers from "./takeover.js";
import * as wanted from "./wanted.js";

type Step = decision.Transaction<states.MemberState, states.MemberAction>;

/** Hosts that lost a race write again at different times, at most so many milliseconds apart. */
const STAGGER_MS = 150;

/** Asks for the most urgent write to the key-value service, one at a time. */
export function planSwap(state: states.MemberState, now: decision.Milliseconds): Step {
    if (state.swapCall || state.left || now < state.nextSwapAt || state.view.hostsRevision === 0) {
        return decision.unchanged(state);
    }
    if (!state.own) {
        return state.stopping ? decision.unchanged(state) : planJoin(state, now);
    }
    if (state.lease && !state.lease.attached) {
        return swap(state, now, states.Purpose.Attach, attachWrite(state, state.own, state.lease));
    }
    if (state.stopping) {
        return state.handOver?.ready
            ? swap(state, now, states.Purpose.Leave, ownership.leaveWrite(state))
            : decision.unchanged(state);
    }
    return state.lease ? planMemberSwap(state, now) : decision.unchanged(state);
}

function planMemberSwap(state: states.MemberState, now: decision.Milliseconds): Step {
    const renamed = findRename(state);
    if (renamed) {
        return planRename(state, renamed, now);
    }
    const takeover = takeovers.findTakeover(state, now);
    if (takeover) {
        const refusing = takeovers.refuseBefore(state, takeover);
        const { comparisons, target } = takeover;
        const write = { comparisons, writes: [{ key: records.recordKey(target) }] };
        return swap(refusing, now, states.Purpose.Takeover, write, target);
    }
    const assignment = ownership.findAssignment(state);
    if (assignment) {
        return swap(state, now, states.Purpose.Assign, assignment);
    }
    const handedOver = state.handOver?.ready ? ownership.handOverWrite(state, state.handOver) : undefined;
    return handedOver ? swap(state, now, states.Purpose.HandOver, handedOver) : decision.unchanged(state);
}

function swap(
    state: states.MemberState,
    now: decision.Milliseconds,
    purpose: states.Purpose,
    write: ownership.TableWrite,
    target?: string,
): Step {
    const call = state.count + 1;
    const swapCall: states.SwapCall = { call, askedAt: now, purpose, target };
    const { comparisons, writes } = write;
    return {
        state: { ...state, count: call, swapCall },
        actions: [{ kind: states.ActionKind.Swap, call, purpose, comparisons, writes }],
    };
}

function ownRecord(settings: states.MemberSettings, session: string): records.HostRecord {
    const { host, incarnation, availabilityZone, peerAddress } = settings;
    return { host, incarnation, session, availabilityZone, peerAddress, successors: [] };
}

/**
 * Writes the first record. A former self's record is replaced only once its lease is gone and only at the same peer
 * address: this process listens there, so the former one is gone.
 */
function planJoin(state: states.MemberState, now: decision.Milliseconds): Step {
    const { settings, view, lease } = state;
    const former = view.hosts[settings.host];
    const replaceable = !former
        || (former.leaseId === undefined && former.record.peerAddress === settings.peerAddress);
    if (!lease || !replaceable) {
        return decision.unchanged(state);
    }
    const session = `${settings.incarnation}.${state.count + 1}`;
    const key = records.recordKey(settings.host);
    const leaseKey = records.leaseKey(settings.host);
    return swap(state, now, states.Purpose.Join, {
        comparisons: [{ key, modRevision: former?.version ?? 0 }, { key: leaseKey, modRevision: 0 }],
        writes: [
            { key, value: JSON.stringify(ownRecord(settings, session)) },
            { key: leaseKey, value: lease.id, lease: lease.id },
        ],
    });
}

function attachWrite(
    state: states.MemberState,
    own: records.SeenHost,
    lease: states.OwnLease,
): ownership.TableWrite {
    const { host } = state.settings;
    return {
        comparisons: [{ key: records.recordKey(host), modRevision: own.version }],
        writes: [{ key: records.leaseKey(host), value: lease.id, lease: lease.id }],
    };
}

/**
 * The record that this host should have in place of the present one, or undefined. Dead hosts stay on the ring of
 * successors until they are taken over: were they passed over, the few that live would name each other in small circles,
 * and a circle whose hosts all die waits for the longest outage.
 */
function findRename(state: states.MemberState): records.HostRecord | undefined {
    const { own, view, settings } = state;
    if (!own) {
        return undefined;
    }
    const wish = wanted.wantedSuccessors(own.record, records.presentHosts(view), settings.successorLimit);
    const successors = wish.flatMap(({ host }) => {
        const session = view.hosts[host]?.record.session;
        return session === undefined ? [] : [{ host, session }];
    });
    const differs = state.rewriteWanted || !records.sameSuccessors(own.record.successors, successors);
    return differs && (successors.length > 0 || settings.successorLimit === 0)
        ? { ...ownRecord(settings, own.record.session), successors }
        : undefined;
}

/** Names other successors. The former ones' promises count no more from now on, whatever the answer (rule 3). */
function planRename(state: states.MemberState, record: records.HostRecord, now: decision.Milliseconds): Step {
    const version = state.own?.version ?? 0;
    const drops = rules.inForce(state.settings, rules.Rule.DropBeforeRename);
    const dropped = drops ? { ...state, barredVersion: version, promised: undefined } : state;
    const key = records.recordKey(record.host);
    return swap(dropped, now, states.Purpose.Rename, {
        comparisons: [{ key, modRevision: version }],
        writes: [{ key, value: JSON.stringify(record) }],
    });
}

/** Takes in the answer to a write and reads back what holds now. */
export function takeSwapAnswer(
    state: states.MemberState,
    event: Extract<states.MemberEvent, { kind: states.EventKind.SwapAnswered; }>,
    now: decision.Milliseconds,
): Step {
    const { swapCall } = state;
    if (swapCall?.call !== event.call) {
        return decision.unchanged(state);
    }
    const settled = swapCall.target === undefined
        ? state
        : takeovers.takeTakeoverAnswer(state, swapCall.target, event.succeeded);
    const moved = swapCall.purpose === states.Purpose.HandOver && event.succeeded === true;
    return {
        state: {
            ...settled,
            swapCall: undefined,
            lostRace: event.succeeded !== true,
            nextSwapAt: now + durations.CALL_RETRY_MS + stagger(state),
            nextHandOverAt: moved ? now + durations.HAND_OVER_PAUSE_MS : state.nextHandOverAt,
        },
        actions: [{ kind: states.ActionKind.Read }],
    };
}

/** A delay that differs from host to host and from call to call. */
export function stagger(state: states.MemberState): decision.Milliseconds {
    return partitions.hashNumber(`${state.settings.host}/${state.count}`) % STAGGER_MS;
}
