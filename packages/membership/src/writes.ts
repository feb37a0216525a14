import * as decision from "@citronlead/decision";
import * as durations from "./durations.js";
import * as ownership from "./ownership.js";
import * as partitions from "./partitions.js";
import * as placement from "./placement.js";
import * as records from "./records.js";
import * as rules from "./rules.js";
import * as states from "./state.js";
import * as takeovers from "./takeover.js";

type Transition = decision.Transition<states.MemberState, states.MemberAction>;

/** Bounds the delay by which hosts whose writes conflicted retry at different times, in milliseconds. */
const MAX_STAGGER_MS = 150;

/** Requests the most urgent write to the key-value service; only one is in flight at a time. */
export function planWrite(state: states.MemberState, now: decision.Milliseconds): Transition {
    if (state.pendingWrite || state.left || now < state.nextWriteAt || state.view.hostsRevision === 0) {
        return decision.withoutActions(state);
    }
    if (!state.own) {
        return state.stopping ? decision.withoutActions(state) : planJoin(state, now);
    }
    if (state.lease && !state.lease.attached) {
        return requestWrite(
            state,
            now,
            states.WritePurpose.AttachLease,
            makeAttachWrite(state, state.own, state.lease),
        );
    }
    if (state.stopping) {
        return state.handOver?.ready
            ? requestWrite(state, now, states.WritePurpose.Leave, ownership.makeLeaveWrite(state))
            : decision.withoutActions(state);
    }
    return state.lease ? planMemberWrite(state, now) : decision.withoutActions(state);
}

function planMemberWrite(state: states.MemberState, now: decision.Milliseconds): Transition {
    const changedRecord = findSuccessorChange(state);
    if (changedRecord) {
        return planSuccessorChange(state, changedRecord, now);
    }
    const takeover = takeovers.findTakeover(state, now);
    if (takeover) {
        const refusingLeases = takeovers.refuseLeasesBefore(state, takeover);
        const { comparisons, target } = takeover;
        const write = { comparisons, writes: [{ key: records.recordKey(target) }] };
        return requestWrite(refusingLeases, now, states.WritePurpose.Takeover, write, target);
    }
    const assignment = ownership.findAssignmentWrite(state);
    if (assignment) {
        return requestWrite(state, now, states.WritePurpose.Assign, assignment);
    }
    const handOverWrite = state.handOver?.ready ? ownership.findHandOverWrite(state, state.handOver) : undefined;
    return handOverWrite
        ? requestWrite(state, now, states.WritePurpose.HandOver, handOverWrite)
        : decision.withoutActions(state);
}

function requestWrite(
    state: states.MemberState,
    now: decision.Milliseconds,
    purpose: states.WritePurpose,
    write: ownership.ConditionalWrite,
    target?: string,
): Transition {
    const call = state.lastNumber + 1;
    const pendingWrite: states.PendingWrite = { call, requestedAt: now, purpose, target };
    const { comparisons, writes } = write;
    return {
        state: { ...state, lastNumber: call, pendingWrite },
        actions: [{ kind: states.ActionKind.ConditionalWrite, call, purpose, comparisons, writes }],
    };
}

function makeOwnRecord(settings: states.MemberSettings, session: string): records.HostRecord {
    const { host, incarnation, availabilityZone, peerAddress } = settings;
    return { host, incarnation, session, availabilityZone, peerAddress, successors: [] };
}

/**
 * Writes the record of this process. The record of a former process of this host is replaced only once its host lease
 * is gone, and only if it has the same peer address: this process listens there, so the former one is dead.
 */
function planJoin(state: states.MemberState, now: decision.Milliseconds): Transition {
    const { settings, view, lease } = state;
    const former = view.hosts[settings.host];
    const replaceable = !former
        || (former.leaseId === undefined && former.record.peerAddress === settings.peerAddress);
    if (!lease || !replaceable) {
        return decision.withoutActions(state);
    }
    const session = `${settings.incarnation}.${state.lastNumber + 1}`;
    const key = records.recordKey(settings.host);
    const leaseKey = records.leaseKey(settings.host);
    return requestWrite(state, now, states.WritePurpose.Join, {
        comparisons: [{ key, modRevision: former?.version ?? 0 }, { key: leaseKey, modRevision: 0 }],
        writes: [
            { key, value: JSON.stringify(makeOwnRecord(settings, session)) },
            { key: leaseKey, value: lease.id, lease: lease.id },
        ],
    });
}

function makeAttachWrite(
    state: states.MemberState,
    ownEntry: records.ObservedHost,
    lease: states.HostLease,
): ownership.ConditionalWrite {
    const { host } = state.settings;
    return {
        comparisons: [{ key: records.recordKey(host), modRevision: ownEntry.version }],
        writes: [{ key: records.leaseKey(host), value: lease.id, lease: lease.id }],
    };
}

/**
 * The record with other successors that should replace the present one, or undefined. Dead hosts stay on the ring of
 * successors until they are taken over. If they were skipped, the few live hosts would name each other in short cycles,
 * and if all hosts of a cycle died, their takeover would have to wait for MAX_OUTAGE_MS.
 */
function findSuccessorChange(state: states.MemberState): records.HostRecord | undefined {
    const { own: ownEntry, view, settings } = state;
    if (!ownEntry) {
        return undefined;
    }
    const desired = placement.desiredSuccessors(
        ownEntry.record,
        records.registeredHosts(view),
        settings.successorLimit,
    );
    const successors = desired.flatMap(({ host }) => {
        const session = view.hosts[host]?.record.session;
        return session === undefined ? [] : [{ host, session }];
    });
    const differs = state.rewriteNeeded || !records.sameSuccessors(ownEntry.record.successors, successors);
    return differs && (successors.length > 0 || settings.successorLimit === 0)
        ? { ...makeOwnRecord(settings, ownEntry.record.session), successors }
        : undefined;
}

/** Writes other successors. Leases from the former ones are invalid from now on, whatever the answer (rule 3). */
function planSuccessorChange(
    state: states.MemberState,
    record: records.HostRecord,
    now: decision.Milliseconds,
): Transition {
    const version = state.own?.version ?? 0;
    const mustDrop = rules.isEnforced(state.settings, rules.Rule.DropBeforeSuccessorChange);
    const withoutSuccessorLease = mustDrop
        ? { ...state, supersededVersion: version, successorLease: undefined }
        : state;
    const key = records.recordKey(record.host);
    return requestWrite(withoutSuccessorLease, now, states.WritePurpose.ChangeSuccessors, {
        comparisons: [{ key, modRevision: version }],
        writes: [{ key, value: JSON.stringify(record) }],
    });
}

/** Applies the answer to a write and requests a read of the current state. */
export function applyWriteAnswer(
    state: states.MemberState,
    event: Extract<states.MemberEvent, { kind: states.EventKind.WriteAnswered; }>,
    now: decision.Milliseconds,
): Transition {
    const { pendingWrite } = state;
    if (pendingWrite?.call !== event.call) {
        return decision.withoutActions(state);
    }
    const settled = pendingWrite.target === undefined
        ? state
        : takeovers.applyTakeoverAnswer(state, pendingWrite.target, event.succeeded);
    const handedOver = pendingWrite.purpose === states.WritePurpose.HandOver && event.succeeded === true;
    return {
        state: {
            ...settled,
            pendingWrite: undefined,
            lastWriteFailed: event.succeeded !== true,
            nextWriteAt: now + durations.CALL_RETRY_MS + stagger(state),
            nextHandOverAt: handedOver ? now + durations.HAND_OVER_PAUSE_MS : state.nextHandOverAt,
        },
        actions: [{ kind: states.ActionKind.ReadView }],
    };
}

/** A delay that differs between hosts and between calls, so that writes do not conflict again. */
export function stagger(state: states.MemberState): decision.Milliseconds {
    return partitions.stableHash(`${state.settings.host}/${state.lastNumber}`) % MAX_STAGGER_MS;
}
