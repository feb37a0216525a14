import type * as decision from "@citronlead/decision";
import * as actions from "./actions.js";
import * as borrowing from "./borrowing.js";
import * as buckets from "./bucket.js";
import type * as events from "./events.js";
import * as handOvers from "./handover.js";
import * as messages from "./messages.js";
import * as partitions from "./partition.js";
import type * as rateLimits from "./ratelimit.js";
import * as serving from "./serving.js";
import * as sharded from "./shardedmap.js";
import type * as updates from "./sliceupdate.js";

/** A term that starts once this host knows a configuration that is new enough. */
export interface PendingTerm {
    readonly fencing: number;
    readonly minimumRevision: number;
}

/** What a host keeps as the owner of slices. */
export interface OwnerState {
    /** The newest configuration revision that this host knows; 0 before the first. */
    readonly revision: number;
    /** Rate limits by hash bucket and workspace. */
    readonly rateLimitsByHashBucket: ReadonlyMap<string, ReadonlyMap<string, rateLimits.RateLimit>>;
    readonly partitions: sharded.ShardedMap<partitions.PartitionState>;
    readonly pendingTerms: ReadonlyMap<string, PendingTerm>;
    /** Levels that previous owners handed over, by partition, until this host's term starts. */
    readonly receivedHandOvers: ReadonlyMap<string, messages.SliceHandOver>;
    /**
     * Fencing token of each partition's term that this host ended by a hand-over. It never acts under this token
     * again.
     */
    readonly handedOverFencing: ReadonlyMap<string, number>;
}

/** The new state and the actions that follow from an event. */
export interface OwnerStep {
    readonly state: OwnerState;
    readonly actions: readonly actions.Action[];
}

export function startOwner(): OwnerState {
    return {
        revision: 0,
        rateLimitsByHashBucket: new Map(),
        partitions: sharded.emptyMap(),
        pendingTerms: new Map(),
        receivedHandOvers: new Map(),
        handedOverFencing: new Map(),
    };
}

/** How often a partition without a valid right checks whether the right is valid again. */
const LAPSED_RIGHT_CHECK_PERIOD_MS = 2_000;

const NO_RATE_LIMITS: ReadonlyMap<string, rateLimits.RateLimit> = new Map();

function hashBucketOf(partition: string): string {
    return partition.slice(partition.lastIndexOf("-") + 1);
}

function rateLimitsOf(state: OwnerState, partition: string): ReadonlyMap<string, rateLimits.RateLimit> {
    return state.rateLimitsByHashBucket.get(hashBucketOf(partition)) ?? NO_RATE_LIMITS;
}

/** Applies a newer configuration and starts the terms that waited for it. An older one changes nothing. */
export function applyConfiguration(
    state: OwnerState,
    revision: number,
    rateLimitsByHashBucket: ReadonlyMap<string, ReadonlyMap<string, rateLimits.RateLimit>>,
    now: decision.Milliseconds,
): OwnerStep {
    if (revision <= state.revision) {
        return { state, actions: [] };
    }
    let step: OwnerStep = { state: { ...state, revision, rateLimitsByHashBucket }, actions: [] };
    for (const known of sharded.values(state.partitions)) {
        const next = partitions.applyRevision(known, revision, rateLimitsOf(step.state, known.partition), now);
        step = combine(step, putPartition(step.state, next, now));
    }
    for (const [partition, term] of state.pendingTerms) {
        step = combine(step, startTerm(step.state, partition, term, now));
    }
    return step;
}

function combine(first: OwnerStep, second: OwnerStep): OwnerStep {
    return { state: second.state, actions: [...first.actions, ...second.actions] };
}

/** Starts a term for a partition, or waits until this host knows the required configuration revision. */
export function gainOwnership(state: OwnerState, event: events.OwnershipGained, now: decision.Milliseconds): OwnerStep {
    const { partition, right, floorRevision } = event;
    const known = sharded.find(state.partitions, partition);
    if (known && known.fencing >= right.fencing) {
        return { state, actions: [] };
    }
    if ((state.handedOverFencing.get(partition) ?? 0) >= right.fencing) {
        return { state, actions: [] };
    }
    const declined = known ? handOvers.declineWaitingCharges(known) : { actions: [] };
    const started = startTerm(state, partition, { fencing: right.fencing, minimumRevision: floorRevision }, now);
    return { state: started.state, actions: [...declined.actions, ...started.actions] };
}

function startTerm(
    state: OwnerState,
    partition: string,
    term: PendingTerm,
    now: decision.Milliseconds,
): OwnerStep {
    const pendingTerms = new Map(state.pendingTerms);
    const remaining = sharded.remove(state.partitions, partition);
    if (state.revision < term.minimumRevision || state.revision === 0) {
        pendingTerms.set(partition, term);
        return { state: { ...state, pendingTerms, partitions: remaining }, actions: [] };
    }
    pendingTerms.delete(partition);
    const handOver = state.receivedHandOvers.get(partition);
    const receivedHandOvers = new Map(state.receivedHandOvers);
    receivedHandOvers.delete(partition);
    const started = partitions.startTerm({
        partition,
        fencing: term.fencing,
        revision: state.revision,
        rateLimits: rateLimitsOf(state, partition),
        // Only the term that directly follows may use the levels. Later owners continue from what that term left.
        levels: handOver && handOver.fencing + 1 === term.fencing ? handOver.levels : [],
    }, now);
    return putPartition({ ...state, pendingTerms, receivedHandOvers, partitions: remaining }, started, now);
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
    if (state.handingOver) {
        return Math.max(now, handOvers.loansExpireAt(state));
    }
    const times = [state.querySiblingsAt ?? Infinity];
    if (state.active) {
        state.slices.forEach((slice) => times.push(slice.wakeAt ?? Infinity));
    }
    const earliest = Math.min(...times);
    return earliest === Infinity ? undefined : Math.max(now, earliest);
}

/**
 * Stops serving a partition, and sends its levels to the next owner once all its loans have expired or been released.
 */
export function handOver(state: OwnerState, event: events.HandOver, now: decision.Milliseconds): OwnerStep {
    const known = sharded.find(state.partitions, event.partition);
    if (!known) {
        const pendingTerms = new Map(state.pendingTerms);
        pendingTerms.delete(event.partition);
        return {
            state: { ...state, pendingTerms },
            actions: [{ kind: actions.ActionKind.HandedOver, partition: event.partition }],
        };
    }
    const started = handOvers.startHandOver(known, event.nextHost);
    const step = finishHandOver(state, started.state, now);
    return { state: step.state, actions: [...started.actions, ...step.actions] };
}

function finishHandOver(
    state: OwnerState,
    known: partitions.PartitionState,
    now: decision.Milliseconds,
): OwnerStep {
    if (handOvers.loansExpireAt(known) > now) {
        return putPartition(state, { state: known, actions: [] }, now);
    }
    const remaining = sharded.remove(state.partitions, known.partition);
    const handedOverFencing = new Map(state.handedOverFencing).set(known.partition, known.fencing);
    const { partition } = known;
    return {
        state: { ...state, partitions: remaining, handedOverFencing },
        actions: [
            ...handOvers.sendLevels(known, now),
            { kind: actions.ActionKind.WakeAt, subject: partition, at: undefined },
            { kind: actions.ActionKind.HandedOver, partition },
        ],
    };
}

/**
 * Handles a wake-up of a partition: queries its siblings and serves its queues if they are due, or finishes its
 * hand-over.
 */
export function wake(
    state: OwnerState,
    partition: string,
    right: updates.Right | undefined,
    now: decision.Milliseconds,
): OwnerStep {
    const known = sharded.find(state.partitions, partition);
    if (!known) {
        return { state, actions: [] };
    }
    if (known.handingOver) {
        return finishHandOver(state, known, now);
    }
    const validRight = mayAct(known, right, now) ? right : undefined;
    if (!validRight) {
        // The right may become valid again under the same fencing token. The siblings are queried again then.
        const querySiblingsAt = known.querySiblingsAt === undefined ? undefined : now + LAPSED_RIGHT_CHECK_PERIOD_MS;
        return putPartition(
            state,
            handOvers.declineWaitingCharges({ ...known, querySiblingsAt }),
            now,
        );
    }
    let step: partitions.PartitionStep = { state: known, actions: [] };
    if (known.querySiblingsAt !== undefined && known.querySiblingsAt <= now) {
        step = partitions.querySiblings(known, now);
    }
    for (const slice of known.active ? known.slices.values() : []) {
        if (slice.wakeAt !== undefined && slice.wakeAt <= now) {
            const next = partitions.updateSlice(step.state, slice.workspace, validRight, now, () => undefined);
            step = { state: next.state, actions: [...step.actions, ...next.actions] };
        }
    }
    return putPartition(state, step, now);
}

/** Whether the right belongs to this term and has not expired. Must be checked before any tokens are spent. */
function mayAct(
    known: partitions.PartitionState,
    right: updates.Right | undefined,
    now: decision.Milliseconds,
): right is updates.Right {
    return right !== undefined && right.fencing === known.fencing && now < right.until && !known.handingOver;
}

/** Handles a message for the owner of a partition. */
export function receiveMessage(
    state: OwnerState,
    partition: string,
    event: events.Arrival,
    now: decision.Milliseconds,
): OwnerStep {
    const { message, right } = event;
    if (message.kind === messages.MessageKind.SliceHandOver) {
        return receiveHandOver(state, partition, message, now);
    }
    const known = sharded.find(state.partitions, partition);
    if (known && message.kind === messages.MessageKind.LevelTransferAcknowledgement) {
        return endTransfer(state, known, message, right, now);
    }
    if (!known || !mayAct(known, right, now)) {
        const declined = known && !known.handingOver
            ? putPartition(state, handOvers.declineWaitingCharges(known), now)
            : undefined;
        return { state: declined?.state ?? state, actions: [...declined?.actions ?? [], ...notOwnerReply(event)] };
    }
    if (message.kind === messages.MessageKind.RevisionQuery) {
        return putPartition(state, partitions.answerQuery(known, message), now);
    }
    if (message.kind === messages.MessageKind.RevisionReply) {
        return putPartition(state, { state: partitions.recordConfirmation(known, message, now), actions: [] }, now);
    }
    if (!known.active) {
        return { state, actions: notOwnerReply(event) };
    }
    return putPartition(state, handleSliceMessage(known, event, right, now), now);
}

/** Credits levels to the term that directly follows if it has started but is not active yet, or keeps them for it. */
function receiveHandOver(
    state: OwnerState,
    partition: string,
    message: messages.SliceHandOver,
    now: decision.Milliseconds,
): OwnerStep {
    const known = sharded.find(state.partitions, partition);
    if (known && message.fencing + 1 === known.fencing) {
        return putPartition(state, { state: partitions.receiveLevels(known, message.levels), actions: [] }, now);
    }
    const receivedHandOvers = new Map(state.receivedHandOvers).set(partition, message);
    return { state: { ...state, receivedHandOvers }, actions: [] };
}

/** Tells the sender of a charge that this host does not act for the slice, so that it tries another slice at once. */
function notOwnerReply(event: events.Arrival): readonly actions.Action[] {
    return event.message.kind === messages.MessageKind.ChargeRequest
        ? [replyToCharge(event, event.message, messages.ChargeStatus.NotOwner, 0)]
        : [];
}

function replyToCharge(
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

function handleSliceMessage(
    known: partitions.PartitionState,
    event: events.Arrival,
    right: updates.Right,
    now: decision.Milliseconds,
): partitions.PartitionStep {
    const { message, from } = event;
    const updateWorkspace = (workspace: string, change: (update: updates.SliceUpdate) => void) =>
        partitions.updateSlice(known, workspace, right, now, change);
    switch (message.kind) {
        case messages.MessageKind.ChargeRequest:
            return known.slices.has(message.workspace)
                ? updateWorkspace(message.workspace, (update) => serving.receiveCharge(update, message, { host: from }))
                : { state: known, actions: [replyToCharge(event, message, messages.ChargeStatus.Refused, -1)] };
        case messages.MessageKind.Settlement:
            return updateWorkspace(message.workspace, (update) => serving.settle(update, message));
        case messages.MessageKind.LevelRequest:
            return updateWorkspace(message.workspace, (update) => borrowing.lend(update, message));
        case messages.MessageKind.LevelTransfer:
            return updateWorkspace(message.workspace, (update) => borrowing.receiveTransfer(update, message));
        default:
            return { state: known, actions: [] };
    }
}

function endTransfer(
    state: OwnerState,
    known: partitions.PartitionState,
    message: messages.LevelTransferAcknowledgement,
    right: updates.Right | undefined,
    now: decision.Milliseconds,
): OwnerStep {
    if (known.active && mayAct(known, right, now)) {
        const change = (update: updates.SliceUpdate) => borrowing.endTransfer(update, message);
        return putPartition(state, partitions.updateSlice(known, message.workspace, right, now, change), now);
    }
    const slice = known.slices.get(message.workspace);
    if (!slice) {
        return { state, actions: [] };
    }
    const refilled = known.active ? buckets.refill(slice.bucket, now) : slice.bucket;
    const released = {
        ...slice,
        bucket: buckets.releaseLoans(refilled, message.transferId, message.ended ? undefined : message.part),
    };
    const changed = { ...known, slices: new Map(known.slices).set(message.workspace, released) };
    return known.handingOver
        ? finishHandOver(state, changed, now)
        : putPartition(state, { state: changed, actions: [] }, now);
}
