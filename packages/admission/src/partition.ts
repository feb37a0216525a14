import type * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as actions from "./actions.js";
import * as borrowing from "./borrowing.js";
import * as buckets from "./bucket.js";
import * as messages from "./messages.js";
import * as rateLimits from "./ratelimit.js";
import * as serving from "./serving.js";
import * as sharded from "./shardedmap.js";
import type * as slices from "./slice.js";
import type * as updates from "./sliceupdate.js";

/** A partition as its owner keeps it: the slices with one index of all workspaces in one hash bucket. */
export interface PartitionState {
    readonly partition: string;
    /** The fencing token of this owner's term, the time for which it owns the partition. */
    readonly fencing: number;
    /** Revisions that owners of the sibling partitions may still apply, oldest first. */
    readonly revisions: readonly number[];
    /** Sibling partitions whose owners keep within the newest revision. */
    readonly confirmedBy: readonly string[];
    /** Whether all siblings have confirmed a revision in this term. Before that no tokens are spent. */
    readonly active: boolean;
    /** The wake-up that was last requested for this partition. */
    readonly wakeAt: decision.Milliseconds | undefined;
    /** When the siblings that have not confirmed the newest revision are queried again. */
    readonly querySiblingsAt: decision.Milliseconds | undefined;
    /** Slices by workspace. */
    readonly slices: ReadonlyMap<string, slices.SliceState>;
    /** Makes transfer identifiers unique within the term. */
    readonly transferCount: number;
    /** Whether the previous owner's levels were credited, which happens only once. */
    readonly levelsReceived: boolean;
    /** Whether this owner has stopped serving the partition to hand it over. */
    readonly handingOver: boolean;
    /** The host that takes over the partition in a hand-over. */
    readonly nextHost?: string;
}

/** The new state of a partition, and the actions of the change. */
export interface PartitionStep {
    readonly state: PartitionState;
    readonly actions: readonly actions.Action[];
}

const QUERY_SIBLINGS_PERIOD_MS = 1_000;
/** Captures the slice index and the hash bucket. */
const PARTITION_NAME = /^slice-(\d+)-(\d+)$/;

/** The partitions that hold the other slices of the same workspaces. */
export function siblingsOf(partition: string): readonly string[] {
    const [, ownIndex, hashBucket] = PARTITION_NAME.exec(partition) ?? [];
    return Array.from({ length: membership.SLICE_COUNT }, (_, slice) => slice)
        .filter((slice) => String(slice) !== ownIndex)
        .map((slice) => `slice-${slice}-${hashBucket}`);
}

/** The index of the slices that a partition holds, or undefined if it holds none. */
export function sliceIndexOf(partition: string): number | undefined {
    const index = PARTITION_NAME.exec(partition)?.[1];
    return index === undefined ? undefined : Number(index);
}

/** Whether a name is the name of a partition of slices. */
export function isSlicePartition(name: string): boolean {
    return PARTITION_NAME.test(name);
}

/** What an owner's term of a partition starts with. */
export interface TermOptions {
    readonly partition: string;
    readonly fencing: number;
    readonly revision: number;
    /** Rate limits of the partition's workspaces. */
    readonly rateLimits: ReadonlyMap<string, rateLimits.RateLimit>;
    /** Levels that the previous owner handed over, or none. */
    readonly levels: readonly messages.SliceLevel[];
}

/** Starts a term. Slices contain only the tokens that were handed over. */
export function startTerm(options: TermOptions, now: decision.Milliseconds): PartitionStep {
    const started = new Map(
        [...options.rateLimits].map((
            [workspace, rateLimit],
        ) => [workspace, startSlice(options, workspace, rateLimit, now)]),
    );
    const state: PartitionState = {
        partition: options.partition,
        fencing: options.fencing,
        revisions: [options.revision],
        confirmedBy: [],
        active: false,
        querySiblingsAt: undefined,
        slices: started,
        transferCount: 0,
        levelsReceived: options.levels.length > 0,
        wakeAt: undefined,
        handingOver: false,
    };
    return querySiblings(state, now);
}

function startSlice(
    options: TermOptions,
    workspace: string,
    rateLimit: rateLimits.RateLimit,
    now: decision.Milliseconds,
): slices.SliceState {
    const handedOverTokens = options.levels.find((level) => level.workspace === workspace)?.tokens ?? 0;
    return {
        workspace,
        index: sliceIndexOf(options.partition) ?? 0,
        bucket: buckets.credit(buckets.emptyBucket(rateLimits.sliceShare(rateLimit), now), handedOverTokens),
        rateLimitHistory: [{ revision: options.revision, rateLimit }],
        queue: [],
        skippedSlices: [],
        chargeRecords: sharded.emptyMap(),
        wakeAt: undefined,
    };
}

/** Credits the levels that the previous owner handed over, unless this term is active or has received them already. */
export function receiveLevels(state: PartitionState, levels: readonly messages.SliceLevel[]): PartitionState {
    if (state.active || state.levelsReceived) {
        return state;
    }
    const credited = new Map(state.slices);
    for (const { workspace, tokens } of levels) {
        const slice = credited.get(workspace);
        if (slice) {
            credited.set(workspace, { ...slice, bucket: buckets.credit(slice.bucket, tokens) });
        }
    }
    return { ...state, slices: credited, levelsReceived: true };
}

/** The newest configuration revision that the owner knows. */
export function newestRevision(state: PartitionState): number {
    return state.revisions.at(-1) ?? 0;
}

/**
 * Applies a newer revision. Smaller rate limits apply at once, larger ones only after every sibling's owner has
 * confirmed the revision.
 */
export function applyRevision(
    state: PartitionState,
    revision: number,
    next: ReadonlyMap<string, rateLimits.RateLimit>,
    now: decision.Milliseconds,
): PartitionStep {
    if (revision <= newestRevision(state)) {
        return { state, actions: [] };
    }
    // Before the first confirmation no tokens were spent in this term, so the older revision need not be kept.
    const revisions = state.active ? [...state.revisions, revision] : [revision];
    const workspaces = new Set([...state.slices.keys(), ...next.keys()]);
    const changed = new Map(
        [...workspaces].map((workspace) => {
            const known = state.slices.get(workspace) ?? emptySlice(state, workspace, now);
            const entry = { revision, rateLimit: next.get(workspace) ?? rateLimits.ZERO_RATE_LIMIT };
            return [workspace, state.active ? applyRateLimit(known, entry, now) : replaceRateLimit(known, entry)];
        }),
    );
    return querySiblings({ ...state, revisions, slices: changed, confirmedBy: [] }, now);
}

function emptySlice(state: PartitionState, workspace: string, now: decision.Milliseconds): slices.SliceState {
    const { partition, fencing } = state;
    const revision = state.revisions[0] ?? 0;
    const options = { partition, fencing, revision, rateLimits: new Map(), levels: [] };
    return startSlice(options, workspace, rateLimits.ZERO_RATE_LIMIT, now);
}

function applyRateLimit(
    slice: slices.SliceState,
    entry: rateLimits.RevisionRateLimit,
    now: decision.Milliseconds,
): slices.SliceState {
    const history = rateLimits.addRevision(slice.rateLimitHistory, entry);
    const refilled = buckets.refill(slice.bucket, now);
    const bucket = buckets.changeRateLimit(refilled, rateLimits.sliceShare(rateLimits.strictest(history)));
    return { ...borrowing.withoutBorrowing(slice, now), rateLimitHistory: history, bucket };
}

function replaceRateLimit(slice: slices.SliceState, entry: rateLimits.RevisionRateLimit): slices.SliceState {
    return {
        ...slice,
        rateLimitHistory: [entry],
        bucket: buckets.changeRateLimit(slice.bucket, rateLimits.sliceShare(entry.rateLimit)),
    };
}

/** Queries the owners of the siblings that have not confirmed the newest revision. */
export function querySiblings(state: PartitionState, now: decision.Milliseconds): PartitionStep {
    const missing = siblingsOf(state.partition).filter((sibling) => !state.confirmedBy.includes(sibling));
    const queries = missing.map((sibling) => querySibling(state, sibling));
    const querySiblingsAt = missing.length > 0 ? now + QUERY_SIBLINGS_PERIOD_MS : undefined;
    return { state: { ...state, querySiblingsAt }, actions: queries };
}

function querySibling(state: PartitionState, sibling: string): actions.Action {
    return {
        kind: actions.ActionKind.Send,
        to: { partition: sibling },
        message: {
            kind: messages.MessageKind.RevisionQuery,
            partition: sibling,
            askingPartition: state.partition,
            revision: newestRevision(state),
        },
    };
}

/** Confirms a revision to a sibling's owner if this owner keeps within it, or will do so once it becomes active. */
export function answerQuery(state: PartitionState, query: messages.RevisionQuery): PartitionStep {
    if (!state.revisions.includes(query.revision)) {
        return { state, actions: [] };
    }
    const { partition, askingPartition, revision } = query;
    const reply: messages.RevisionReply = {
        kind: messages.MessageKind.RevisionReply,
        partition: askingPartition,
        askingPartition: partition,
        revision,
    };
    const answer = { kind: actions.ActionKind.Send, to: { partition: askingPartition }, message: reply } as const;
    // A sibling that has only now learned of this revision did not confirm it when it was queried before.
    const queryBack = revision === newestRevision(state) && !state.confirmedBy.includes(askingPartition);
    return { state, actions: queryBack ? [answer, querySibling(state, askingPartition)] : [answer] };
}

/**
 * Records a sibling's confirmation of the newest revision. Once all have confirmed, older revisions no longer apply.
 */
export function recordConfirmation(
    state: PartitionState,
    reply: messages.RevisionReply,
    now: decision.Milliseconds,
): PartitionState {
    if (reply.revision !== newestRevision(state) || state.confirmedBy.includes(reply.askingPartition)) {
        return state;
    }
    const confirmedBy = [...state.confirmedBy, reply.askingPartition];
    if (confirmedBy.length < membership.SLICE_COUNT - 1) {
        return { ...state, confirmedBy };
    }
    const confirmed = [...state.slices]
        .map(([workspace, slice]) => [workspace, confirmRateLimit(state, slice, reply.revision, now)] as const)
        .filter(([, slice]) => slice.rateLimitHistory.at(-1)?.rateLimit.burstTokens !== 0);
    return {
        ...state,
        confirmedBy,
        revisions: [reply.revision],
        active: true,
        querySiblingsAt: undefined,
        slices: new Map(confirmed),
    };
}

function confirmRateLimit(
    state: PartitionState,
    slice: slices.SliceState,
    revision: number,
    now: decision.Milliseconds,
): slices.SliceState {
    const history = rateLimits.dropRevisionsBefore(slice.rateLimitHistory, revision);
    // A slice refills only from when its owner becomes active. Until then it only keeps what was handed over.
    const refilled = state.active ? buckets.refill(slice.bucket, now) : { ...slice.bucket, refilledAt: now };
    const bucket = buckets.changeRateLimit(refilled, rateLimits.sliceShare(rateLimits.strictest(history)));
    return { ...slice, rateLimitHistory: history, bucket, wakeAt: slice.queue.length > 0 ? now : slice.wakeAt };
}

/** Refills one slice, applies a change to it and serves its queue. */
export function updateSlice(
    state: PartitionState,
    workspace: string,
    right: updates.Right,
    now: decision.Milliseconds,
    change: (update: updates.SliceUpdate) => void,
): PartitionStep {
    const slice = state.slices.get(workspace);
    if (!slice) {
        return { state, actions: [] };
    }
    let { transferCount } = state;
    const update: updates.SliceUpdate = {
        slice: { ...slice, bucket: buckets.refill(slice.bucket, now) },
        actions: [],
        now,
        right,
        partition: state.partition,
        revision: newestRevision(state),
        nextTransferId: () => `${state.partition}/${state.fencing}/${++transferCount}`,
    };
    change(update);
    serving.serveQueue(update);
    const changed = { ...update.slice, wakeAt: serving.nextWake(update) };
    return {
        state: { ...state, transferCount, slices: new Map(state.slices).set(workspace, changed) },
        actions: update.actions,
    };
}
