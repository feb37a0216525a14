import type * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import * as borrowing from "./borrowing.js";
import * as buckets from "./bucket.js";
import type * as events from "./events.js";
import * as leaving from "./leaving.js";
import * as messages from "./messages.js";
import * as partitions from "./partition.js";
import * as serving from "./serving.js";
import * as sharded from "./sharded.js";
import type * as terms from "./terms.js";
import type * as works from "./work.js";

/** A right that waits for a configuration that is new enough. */
export interface AwaitedTerm {
    readonly fencing: number;
    readonly floorRevision: number;
}

/** What a host keeps as the owner of slices. */
export interface OwnerState {
    /** The newest revision that this host knows; 0 before the first. */
    readonly revision: number;
    /** Terms of workspaces by the number of the bucket that they fall into. */
    readonly termsByBucket: ReadonlyMap<string, ReadonlyMap<string, terms.Terms>>;
    readonly partitions: sharded.ShardedMap<partitions.PartitionState>;
    readonly awaited: ReadonlyMap<string, AwaitedTerm>;
    /** Levels that former owners handed over, until this host's term starts. */
    readonly handOvers: ReadonlyMap<string, messages.SliceHandOver>;
    /** Fencing numbers under which this host has handed a partition over; it never acts under them again. */
    readonly handedOver: ReadonlyMap<string, number>;
}

/** What one event leads to. */
export interface OwnerStep {
    readonly state: OwnerState;
    readonly actions: readonly actions.Action[];
}

/** The state before the first event. */
export function startOwner(): OwnerState {
    return {
        revision: 0,
        termsByBucket: new Map(),
        partitions: sharded.emptyMap(),
        awaited: new Map(),
        handOvers: new Map(),
        handedOver: new Map(),
    };
}

/** How often a partition without a right looks whether the right has come back, in milliseconds. */
const LAPSED_PERIOD_MS = 2_000;

const NO_WORKSPACES: ReadonlyMap<string, terms.Terms> = new Map();

function bucketOf(partition: string): string {
    return partition.slice(partition.lastIndexOf("-") + 1);
}

function workspacesOf(state: OwnerState, partition: string): ReadonlyMap<string, terms.Terms> {
    return state.termsByBucket.get(bucketOf(partition)) ?? NO_WORKSPACES;
}

/** Takes in a newer configuration and starts the terms that waited for it. An older one changes nothing. */
export function applyConfiguration(
    state: OwnerState,
    revision: number,
    termsByBucket: ReadonlyMap<string, ReadonlyMap<string, terms.Terms>>,
    now: decision.Milliseconds,
): OwnerStep {
    if (revision <= state.revision) {
        return { state, actions: [] };
    }
    let step: OwnerStep = { state: { ...state, revision, termsByBucket }, actions: [] };
    for (const known of sharded.values(state.partitions)) {
        const next = partitions.applyRevision(known, revision, workspacesOf(step.state, known.partition), now);
        step = then(step, putPartition(step.state, next, now));
    }
    for (const [partition, awaited] of state.awaited) {
        step = then(step, startTerm(step.state, partition, awaited, now));
    }
    return step;
}

function then(first: OwnerStep, second: OwnerStep): OwnerStep {
    return { state: second.state, actions: [...first.actions, ...second.actions] };
}

/** Starts a term for a partition, once this host knows a revision that is new enough. */
export function own(state: OwnerState, event: events.Own, now: decision.Milliseconds): OwnerStep {
    const { partition, right, floorRevision } = event;
    const known = sharded.find(state.partitions, partition);
    if (known && known.fencing >= right.fencing) {
        return { state, actions: [] };
    }
    if ((state.handedOver.get(partition) ?? 0) >= right.fencing) {
        return { state, actions: [] };
    }
    const surrendered = known ? leaving.surrender(known) : { actions: [] };
    const started = startTerm(state, partition, { fencing: right.fencing, floorRevision }, now);
    return { state: started.state, actions: [...surrendered.actions, ...started.actions] };
}

function startTerm(
    state: OwnerState,
    partition: string,
    term: AwaitedTerm,
    now: decision.Milliseconds,
): OwnerStep {
    const awaited = new Map(state.awaited);
    const remaining = sharded.remove(state.partitions, partition);
    if (state.revision < term.floorRevision || state.revision === 0) {
        awaited.set(partition, term);
        return { state: { ...state, awaited, partitions: remaining }, actions: [] };
    }
    awaited.delete(partition);
    const handOver = state.handOvers.get(partition);
    const handOvers = new Map(state.handOvers);
    handOvers.delete(partition);
    const started = partitions.startTerm({
        partition,
        fencing: term.fencing,
        revision: state.revision,
        terms: workspacesOf(state, partition),
        // Only the next owner in the row may take the levels: whoever comes later starts from what it left.
        levels: handOver && handOver.fencing + 1 === term.fencing ? handOver.levels : [],
    }, now);
    return putPartition({ ...state, awaited, handOvers, partitions: remaining }, started, now);
}

function putPartition(state: OwnerState, step: partitions.PartitionStep, now: decision.Milliseconds): OwnerStep {
    const { partition } = step.state;
    const wakeAt = nextWake(step.state, now);
    const wake: actions.Action[] = wakeAt === step.state.wakeAt
        ? []
        : [{ kind: actions.ActionKind.WakeAt, subject: partition, at: wakeAt }];
    const changed = sharded.put(state.partitions, partition, { ...step.state, wakeAt });
    return { state: { ...state, partitions: changed }, actions: [...step.actions, ...wake] };
}

function nextWake(state: partitions.PartitionState, now: decision.Milliseconds): decision.Milliseconds | undefined {
    if (state.leaving) {
        return Math.max(now, leaving.heldUntil(state));
    }
    const times = [state.askSiblingsAt ?? Infinity];
    if (state.active) {
        state.slices.forEach((slice) => times.push(slice.wakeAt ?? Infinity));
    }
    const earliest = Math.min(...times);
    return earliest === Infinity ? undefined : Math.max(now, earliest);
}

/** Stops acting for a partition and sends its levels to the next owner once nothing lent can be spent any more. */
export function handOver(state: OwnerState, event: events.HandOver, now: decision.Milliseconds): OwnerStep {
    const known = sharded.find(state.partitions, event.partition);
    if (!known) {
        const awaited = new Map(state.awaited);
        awaited.delete(event.partition);
        return {
            state: { ...state, awaited },
            actions: [{ kind: actions.ActionKind.HandedOver, partition: event.partition }],
        };
    }
    const left = leaving.startLeaving(known, event.nextHost);
    const step = finishLeaving(state, left.state, now);
    return { state: step.state, actions: [...left.actions, ...step.actions] };
}

function finishLeaving(
    state: OwnerState,
    known: partitions.PartitionState,
    now: decision.Milliseconds,
): OwnerStep {
    if (leaving.heldUntil(known) > now) {
        return putPartition(state, { state: known, actions: [] }, now);
    }
    const remaining = sharded.remove(state.partitions, known.partition);
    const handedOver = new Map(state.handedOver).set(known.partition, known.fencing);
    const { partition } = known;
    return {
        state: { ...state, partitions: remaining, handedOver },
        actions: [
            ...leaving.sendLevels(known, now),
            { kind: actions.ActionKind.WakeAt, subject: partition, at: undefined },
            { kind: actions.ActionKind.HandedOver, partition },
        ],
    };
}

/** Wakes a partition: serves its queues and asks the siblings again. */
export function wake(
    state: OwnerState,
    partition: string,
    right: works.Right | undefined,
    now: decision.Milliseconds,
): OwnerStep {
    const known = sharded.find(state.partitions, partition);
    if (!known) {
        return { state, actions: [] };
    }
    if (known.leaving) {
        return finishLeaving(state, known, now);
    }
    const held = holds(known, right, now) ? right : undefined;
    if (!held) {
        // The right may come back under the same fencing number; the siblings are asked again then.
        const askSiblingsAt = known.askSiblingsAt === undefined ? undefined : now + LAPSED_PERIOD_MS;
        return putPartition(state, leaving.surrender({ ...known, askSiblingsAt }), now);
    }
    let step: partitions.PartitionStep = { state: known, actions: [] };
    if (known.askSiblingsAt !== undefined && known.askSiblingsAt <= now) {
        step = partitions.askSiblings(known, now);
    }
    for (const slice of known.active ? known.slices.values() : []) {
        if (slice.wakeAt !== undefined && slice.wakeAt <= now) {
            const next = partitions.workOn(step.state, slice.workspace, held, now, () => undefined);
            step = { state: next.state, actions: [...step.actions, ...next.actions] };
        }
    }
    return putPartition(state, step, now);
}

/** Whether the right is this term's and has not ended. Asked before everything that spends. */
function holds(
    known: partitions.PartitionState,
    right: works.Right | undefined,
    now: decision.Milliseconds,
): right is works.Right {
    return right !== undefined && right.fencing === known.fencing && now < right.until && !known.leaving;
}

/** Takes in a message for the owner of a partition. */
export function take(
    state: OwnerState,
    partition: string,
    event: events.Arrival,
    now: decision.Milliseconds,
): OwnerStep {
    const { message, right } = event;
    if (message.kind === messages.MessageKind.SliceHandOver) {
        return takeHandOver(state, partition, message, now);
    }
    const known = sharded.find(state.partitions, partition);
    if (known && message.kind === messages.MessageKind.LevelTransferAcknowledgement) {
        return endTransfer(state, known, message, right, now);
    }
    if (!known || !holds(known, right, now)) {
        const surrendered = known && !known.leaving ? putPartition(state, leaving.surrender(known), now) : undefined;
        return { state: surrendered?.state ?? state, actions: [...surrendered?.actions ?? [], ...notOwner(event)] };
    }
    if (message.kind === messages.MessageKind.RevisionQuery) {
        return putPartition(state, partitions.answerSibling(known, message), now);
    }
    if (message.kind === messages.MessageKind.RevisionReply) {
        return putPartition(state, { state: partitions.confirm(known, message, now), actions: [] }, now);
    }
    if (!known.active) {
        return { state, actions: notOwner(event) };
    }
    return putPartition(state, spend(known, event, right, now), now);
}

/** Keeps levels for the term that follows, or adds them to it if it has started and has not acted yet. */
function takeHandOver(
    state: OwnerState,
    partition: string,
    message: messages.SliceHandOver,
    now: decision.Milliseconds,
): OwnerStep {
    const known = sharded.find(state.partitions, partition);
    if (known && message.fencing + 1 === known.fencing) {
        return putPartition(state, { state: partitions.takeLevels(known, message.levels), actions: [] }, now);
    }
    const handOvers = new Map(state.handOvers).set(partition, message);
    return { state: { ...state, handOvers }, actions: [] };
}

/** Answers a charge that this host cannot decide, so that its sender tries another slice at once. */
function notOwner(event: events.Arrival): readonly actions.Action[] {
    return event.message.kind === messages.MessageKind.ChargeRequest
        ? [decline(event, event.message, messages.ChargeStatus.NotOwner, 0)]
        : [];
}

function decline(
    event: events.Arrival,
    request: messages.ChargeRequest,
    status: messages.ChargeStatus,
    retryAfterMs: decision.Milliseconds,
): actions.Action {
    const { chargeId, workspace, slice } = request;
    const kind = messages.MessageKind.ChargeReply;
    const message = { kind, chargeId, workspace, slice, status, tokens: 0, retryAfterMs } as const;
    return { kind: actions.ActionKind.Send, to: { host: event.from }, message };
}

function spend(
    known: partitions.PartitionState,
    event: events.Arrival,
    right: works.Right,
    now: decision.Milliseconds,
): partitions.PartitionStep {
    const { message, from } = event;
    const run = (workspace: string, change: (work: works.Work) => void) =>
        partitions.workOn(known, workspace, right, now, change);
    switch (message.kind) {
        case messages.MessageKind.ChargeRequest:
            return known.slices.has(message.workspace)
                ? run(message.workspace, (work) => serving.takeCharge(work, message, { host: from }))
                : { state: known, actions: [decline(event, message, messages.ChargeStatus.Refused, -1)] };
        case messages.MessageKind.Settlement:
            return run(message.workspace, (work) => serving.settle(work, message));
        case messages.MessageKind.LevelRequest:
            return run(message.workspace, (work) => borrowing.lend(work, message));
        case messages.MessageKind.LevelTransfer:
            return run(message.workspace, (work) => borrowing.takeTransfer(work, message));
        default:
            return { state: known, actions: [] };
    }
}

function endTransfer(
    state: OwnerState,
    known: partitions.PartitionState,
    message: messages.LevelTransferAcknowledgement,
    right: works.Right | undefined,
    now: decision.Milliseconds,
): OwnerStep {
    if (known.active && holds(known, right, now)) {
        const change = (work: works.Work) => borrowing.endTransfer(work, message);
        return putPartition(state, partitions.workOn(known, message.workspace, right, now, change), now);
    }
    const slice = known.slices.get(message.workspace);
    if (!slice) {
        return { state, actions: [] };
    }
    const refilled = known.active ? buckets.refill(slice.bucket, now) : slice.bucket;
    const released = {
        ...slice,
        bucket: buckets.release(refilled, message.transferId, message.ended ? undefined : message.part),
    };
    const changed = { ...known, slices: new Map(known.slices).set(message.workspace, released) };
    return known.leaving
        ? finishLeaving(state, changed, now)
        : putPartition(state, { state: changed, actions: [] }, now);
}
