import type * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as actions from "./actions.js";
import * as borrowing from "./borrowing.js";
import * as buckets from "./bucket.js";
import * as messages from "./messages.js";
import * as serving from "./serving.js";
import * as sharded from "./sharded.js";
import type * as slices from "./slice.js";
import * as terms from "./terms.js";
import type * as works from "./work.js";

/** One partition of slices at its owner. */
export interface PartitionState {
    readonly partition: string;
    /** The fencing number of this owner's term. */
    readonly fencing: number;
    /** Revisions that owners of the sibling partitions may still act under, oldest first; the last is the newest. */
    readonly revisions: readonly number[];
    /** Sibling partitions whose owners act within the newest revision. */
    readonly confirmedBy: readonly string[];
    /** Whether the siblings have confirmed a revision in this term; nothing is spent before. */
    readonly active: boolean;
    /** When this partition needs an event next, as last asked for. */
    readonly wakeAt: decision.Milliseconds | undefined;
    /** When the siblings that did not answer are asked again. */
    readonly askSiblingsAt: decision.Milliseconds | undefined;
    readonly slices: ReadonlyMap<string, slices.SliceState>;
    readonly transferCount: number;
    /** Whether the former owner's levels were taken over; they count once. */
    readonly levelsTaken: boolean;
    /** Whether the partition is about to be handed over. */
    readonly leaving: boolean;
    /** The host that the partition goes to. */
    readonly nextHost?: string;
}

/** A step in a partition's life and the actions that it led to. */
export interface PartitionStep {
    readonly state: PartitionState;
    readonly actions: readonly actions.Action[];
}

const ASK_SIBLINGS_PERIOD_MS = 1_000;
const PARTITION_NAME = /^slice-(\d+)-(\d+)$/;

/** The partitions that hold the other slices of the same workspaces. */
export function siblingsOf(partition: string): readonly string[] {
    const [, own, bucket] = PARTITION_NAME.exec(partition) ?? [];
    return Array.from({ length: membership.SLICE_COUNT }, (_, slice) => slice)
        .filter((slice) => String(slice) !== own)
        .map((slice) => `slice-${slice}-${bucket}`);
}

/** The number of the slice that a partition holds, or undefined if it holds none. */
export function sliceOf(partition: string): number | undefined {
    const own = PARTITION_NAME.exec(partition)?.[1];
    return own === undefined ? undefined : Number(own);
}

/** Whether a name is that of a partition of slices. */
export function isSlicePartition(name: string): boolean {
    return PARTITION_NAME.test(name);
}

/** What a partition starts its term with. */
export interface TermStart {
    readonly partition: string;
    readonly fencing: number;
    readonly revision: number;
    /** Terms of the workspaces of this partition. */
    readonly terms: ReadonlyMap<string, terms.Terms>;
    /** What the former owner handed over, by workspace; nothing if it handed over nothing. */
    readonly levels: readonly messages.SliceLevel[];
}

/** Starts a term: every slice is empty but for what was handed over. */
export function startTerm(start: TermStart, now: decision.Milliseconds): PartitionStep {
    const made = new Map(
        [...start.terms].map(([workspace, whole]) => [workspace, startSlice(start, workspace, whole, now)]),
    );
    const state: PartitionState = {
        partition: start.partition,
        fencing: start.fencing,
        revisions: [start.revision],
        confirmedBy: [],
        active: false,
        askSiblingsAt: undefined,
        slices: made,
        transferCount: 0,
        levelsTaken: start.levels.length > 0,
        wakeAt: undefined,
        leaving: false,
    };
    return askSiblings(state, now);
}

function startSlice(
    start: TermStart,
    workspace: string,
    whole: terms.Terms,
    now: decision.Milliseconds,
): slices.SliceState {
    const handedOver = start.levels.find((level) => level.workspace === workspace)?.tokens ?? 0;
    return {
        workspace,
        index: sliceOf(start.partition) ?? 0,
        bucket: buckets.credit(buckets.emptyBucket(terms.shareOf(whole), now), handedOver),
        history: [{ revision: start.revision, terms: whole }],
        queue: [],
        dry: [],
        records: sharded.emptyMap(),
        wakeAt: undefined,
    };
}

/** Adds the levels that a former owner handed over, unless the term has acted or has taken them already. */
export function takeLevels(state: PartitionState, levels: readonly messages.SliceLevel[]): PartitionState {
    if (state.active || state.levelsTaken) {
        return state;
    }
    const credited = new Map(state.slices);
    for (const { workspace, tokens } of levels) {
        const slice = credited.get(workspace);
        if (slice) {
            credited.set(workspace, { ...slice, bucket: buckets.credit(slice.bucket, tokens) });
        }
    }
    return { ...state, slices: credited, levelsTaken: true };
}

/** The newest revision that the owner knows. */
export function newestRevision(state: PartitionState): number {
    return state.revisions.at(-1) ?? 0;
}

/** Takes in a newer revision: what shrinks shrinks now, what grows grows once every sibling's owner knows of it. */
export function applyRevision(
    state: PartitionState,
    revision: number,
    next: ReadonlyMap<string, terms.Terms>,
    now: decision.Milliseconds,
): PartitionStep {
    if (revision <= newestRevision(state)) {
        return { state, actions: [] };
    }
    // Before the first confirmation nothing was spent in this term, so the older revision need not be kept.
    const revisions = state.active ? [...state.revisions, revision] : [revision];
    const workspaces = new Set([...state.slices.keys(), ...next.keys()]);
    const changed = new Map(
        [...workspaces].map((workspace) => {
            const known = state.slices.get(workspace) ?? unknownSlice(state, workspace, now);
            const entry = { revision, terms: next.get(workspace) ?? terms.NO_TERMS };
            return [workspace, state.active ? applyTerms(known, entry, now) : restartTerms(known, entry)];
        }),
    );
    return askSiblings({ ...state, revisions, slices: changed, confirmedBy: [] }, now);
}

function unknownSlice(state: PartitionState, workspace: string, now: decision.Milliseconds): slices.SliceState {
    const { partition, fencing } = state;
    const revision = state.revisions[0] ?? 0;
    const start = { partition, fencing, revision, terms: new Map(), levels: [] };
    return startSlice(start, workspace, terms.NO_TERMS, now);
}

function applyTerms(
    slice: slices.SliceState,
    entry: terms.RevisionTerms,
    now: decision.Milliseconds,
): slices.SliceState {
    const history = terms.addRevision(slice.history, entry);
    const refilled = buckets.refill(slice.bucket, now);
    const bucket = buckets.changeTerms(refilled, terms.shareOf(terms.withinAll(history)));
    return { ...borrowing.withoutAsks(slice, now), history, bucket };
}

function restartTerms(slice: slices.SliceState, entry: terms.RevisionTerms): slices.SliceState {
    return { ...slice, history: [entry], bucket: buckets.changeTerms(slice.bucket, terms.shareOf(entry.terms)) };
}

/** Asks the owners of the siblings that have not confirmed the newest revision. */
export function askSiblings(state: PartitionState, now: decision.Milliseconds): PartitionStep {
    const missing = siblingsOf(state.partition).filter((sibling) => !state.confirmedBy.includes(sibling));
    const queries = missing.map((sibling) => querySibling(state, sibling));
    const askSiblingsAt = missing.length > 0 ? now + ASK_SIBLINGS_PERIOD_MS : undefined;
    return { state: { ...state, askSiblingsAt }, actions: queries };
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

/** Answers a sibling's owner if this owner acts within the revision, or will once it acts at all. */
export function answerSibling(state: PartitionState, query: messages.RevisionQuery): PartitionStep {
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
    // A sibling that has just come to the same revision did not answer when it was asked before.
    const askBack = revision === newestRevision(state) && !state.confirmedBy.includes(askingPartition);
    return { state, actions: askBack ? [answer, querySibling(state, askingPartition)] : [answer] };
}

/** Counts a sibling's confirmation. Once all have confirmed, older revisions bind no longer. */
export function confirm(
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
    const grown = [...state.slices]
        .map(([workspace, slice]) => [workspace, confirmTerms(state, slice, reply.revision, now)] as const)
        .filter(([, slice]) => slice.history.at(-1)?.terms.burstTokens !== 0);
    return {
        ...state,
        confirmedBy,
        revisions: [reply.revision],
        active: true,
        askSiblingsAt: undefined,
        slices: new Map(grown),
    };
}

function confirmTerms(
    state: PartitionState,
    slice: slices.SliceState,
    revision: number,
    now: decision.Milliseconds,
): slices.SliceState {
    const history = terms.dropBefore(slice.history, revision);
    // A slice refills from when its owner may act; before the first confirmation it only keeps what was handed over.
    const refilled = state.active ? buckets.refill(slice.bucket, now) : { ...slice.bucket, refilledAt: now };
    const bucket = buckets.changeTerms(refilled, terms.shareOf(terms.withinAll(history)));
    return { ...slice, history, bucket, wakeAt: slice.queue.length > 0 ? now : slice.wakeAt };
}

/** Runs a change of one slice and serves its queue. */
export function workOn(
    state: PartitionState,
    workspace: string,
    right: works.Right,
    now: decision.Milliseconds,
    change: (work: works.Work) => void,
): PartitionStep {
    const slice = state.slices.get(workspace);
    if (!slice) {
        return { state, actions: [] };
    }
    let { transferCount } = state;
    const work: works.Work = {
        slice: { ...slice, bucket: buckets.refill(slice.bucket, now) },
        actions: [],
        now,
        right,
        partition: state.partition,
        revision: newestRevision(state),
        nextTransferId: () => `${state.partition}/${state.fencing}/${++transferCount}`,
    };
    change(work);
    serving.serveQueue(work);
    const changed = { ...work.slice, wakeAt: serving.nextWake(work) };
    return {
        state: { ...state, transferCount, slices: new Map(state.slices).set(workspace, changed) },
        actions: work.actions,
    };
}
