import * as decision from "@citronlead/decision";
import * as orderedMap from "./orderedmap.js";

/** An entry of the queue. */
export interface QueueEntry {
    readonly id: string;
    readonly workspace: string;
    /** Entries with a lower rank are served first. */
    readonly rank: number;
    /** Within a workspace and rank, the entry due earliest is served first. */
    readonly due: decision.Milliseconds;
    /** The estimated cost of serving the entry, in milliseconds of the whole pool's capacity. */
    readonly cost: number;
}

/** Identifies a flow and gives its position among the flows. */
interface FlowKey {
    readonly rank: number;
    /** The virtual time at which the workspace is served next (the start tag of start-time fair queuing). */
    readonly startTag: number;
    readonly workspace: string;
}

interface DueKey {
    readonly due: decision.Milliseconds;
    readonly id: string;
}

type FlowEntries = orderedMap.OrderedMap<DueKey, QueueEntry>;

/** The waiting entries of one workspace and rank. */
interface Flow {
    readonly key: FlowKey;
    readonly entries: FlowEntries;
}

/**
 * A queue that serves ranks in strict order, shares capacity between workspaces by weight within a rank (start-time fair
 * queuing) and serves the entry due earliest within a workspace and rank. Each operation takes time logarithmic in the
 * number of workspaces and entries.
 */
export interface FairQueue {
    /** The flows in the order in which they are served: by rank, then by start tag. */
    readonly flowsByStartTag: orderedMap.OrderedMap<FlowKey, Flow>;
    /** The flows of each workspace, one for each rank that has entries. */
    readonly flowsByWorkspace: orderedMap.OrderedMap<string, readonly Flow[]>;
    readonly entries: orderedMap.OrderedMap<string, QueueEntry>;
    /** The virtual time up to which each workspace has been served (the finish tag of its latest entry). */
    readonly finishTags: orderedMap.OrderedMap<string, number>;
    readonly virtualTime: number;
}

function compareFlows(left: FlowKey, right: FlowKey): number {
    return left.rank - right.rank || left.startTag - right.startTag
        || orderedMap.compareStrings(left.workspace, right.workspace);
}

function compareDue(left: DueKey, right: DueKey): number {
    return left.due - right.due || orderedMap.compareStrings(left.id, right.id);
}

function findFlow(queue: FairQueue, rank: number, workspace: string): Flow | undefined {
    return queue.flowsByWorkspace.get(workspace)?.find((flow) => flow.key.rank === rank);
}

export function emptyQueue(): FairQueue {
    return {
        flowsByStartTag: orderedMap.OrderedMap.empty(compareFlows),
        flowsByWorkspace: orderedMap.OrderedMap.empty(orderedMap.compareStrings),
        entries: orderedMap.OrderedMap.empty(orderedMap.compareStrings),
        finishTags: orderedMap.OrderedMap.empty(orderedMap.compareStrings),
        virtualTime: 0,
    };
}

/** How far a workspace that got less than its share may lag behind the virtual time and still catch up. */
const MAX_CREDIT_MS = 2_000;

/** The virtual time at which a workspace is served next. */
function nextStartTag(queue: FairQueue, workspace: string): number {
    return Math.max(queue.virtualTime - MAX_CREDIT_MS, queue.finishTags.get(workspace) ?? 0);
}

/** Adds an entry. Its id must not be in the queue yet. */
export function enqueue(queue: FairQueue, entry: QueueEntry): FairQueue {
    decision.invariant(!queue.entries.has(entry.id), () => `entry ${entry.id} is already queued`);
    const previous = findFlow(queue, entry.rank, entry.workspace);
    const startTag = nextStartTag(queue, entry.workspace);
    const flow: Flow = {
        key: previous?.key ?? { rank: entry.rank, startTag, workspace: entry.workspace },
        entries: (previous?.entries ?? orderedMap.OrderedMap.empty<DueKey, QueueEntry>(compareDue)).set(entry, entry),
    };
    return withSizesChecked({ ...putFlow(queue, flow), entries: queue.entries.set(entry.id, entry) }, queue, 1);
}

/** The first entry of the flow at an index in serving order, counted from 0. */
export function peek(queue: FairQueue, index: number): QueueEntry | undefined {
    return queue.flowsByStartTag.at(index)?.[1].entries.first()?.[1];
}

/** Removes an entry without serving it, if it is queued. */
export function remove(queue: FairQueue, id: string): FairQueue {
    const entry = queue.entries.get(id);
    if (!entry) {
        return queue;
    }
    const flow = findFlow(queue, entry.rank, entry.workspace);
    decision.invariant(flow !== undefined && flow.entries.has(entry), () => `entry ${id} is missing from its flow`);
    const entries = flow.entries.delete(entry);
    const next = entries.size === 0
        ? removeFlow(queue, flow)
        : putFlow(queue, { ...flow, entries });
    return withSizesChecked({ ...next, entries: queue.entries.delete(id) }, queue, -1);
}

/** Removes an entry that is to be served, charges its cost to its workspace and advances the virtual time. */
export function serve(queue: FairQueue, id: string, weight: number): FairQueue {
    const entry = queue.entries.get(id);
    decision.invariant(entry !== undefined, () => `entry ${id} is not queued`);
    const startTag = nextStartTag(queue, entry.workspace);
    const removed = remove(queue, id);
    const virtualTime = Math.max(
        removed.virtualTime,
        Math.min(startTag, removed.flowsByStartTag.first()?.[0].startTag ?? startTag),
    );
    return charge({ ...removed, virtualTime }, entry.workspace, entry.cost, weight, startTag);
}

/** Corrects a workspace's charge once the actual cost is known. The difference may be negative. */
export function adjustCharge(queue: FairQueue, workspace: string, difference: number, weight: number): FairQueue {
    return charge(queue, workspace, difference, weight, queue.finishTags.get(workspace) ?? queue.virtualTime);
}

function charge(queue: FairQueue, workspace: string, cost: number, weight: number, startTag: number): FairQueue {
    const finishTag = startTag + cost / weight;
    const finishTags = finishTag > queue.virtualTime - MAX_CREDIT_MS || queue.flowsByWorkspace.size > 0
        ? queue.finishTags.set(workspace, finishTag)
        : queue.finishTags.delete(workspace);
    return setStartTag(
        { ...queue, finishTags },
        workspace,
        Math.max(finishTag, queue.virtualTime - MAX_CREDIT_MS),
    );
}

function setStartTag(queue: FairQueue, workspace: string, startTag: number): FairQueue {
    const flows = queue.flowsByWorkspace.get(workspace);
    if (!flows) {
        return queue;
    }
    const moved = flows.map((flow) => ({ ...flow, key: { ...flow.key, startTag } }));
    const without = flows.reduce((flowsByStartTag, flow) => flowsByStartTag.delete(flow.key), queue.flowsByStartTag);
    const flowsByStartTag = moved.reduce((next, flow) => next.set(flow.key, flow), without);
    return { ...queue, flowsByStartTag, flowsByWorkspace: queue.flowsByWorkspace.set(workspace, moved) };
}

function putFlow(queue: FairQueue, flow: Flow): FairQueue {
    const { rank, workspace } = flow.key;
    const others = (queue.flowsByWorkspace.get(workspace) ?? []).filter((other) => other.key.rank !== rank);
    return {
        ...queue,
        flowsByWorkspace: queue.flowsByWorkspace.set(workspace, [...others, flow]),
        flowsByStartTag: queue.flowsByStartTag.set(flow.key, flow),
    };
}

function removeFlow(queue: FairQueue, flow: Flow): FairQueue {
    const { rank, workspace } = flow.key;
    const others = (queue.flowsByWorkspace.get(workspace) ?? []).filter((other) => other.key.rank !== rank);
    return {
        ...queue,
        flowsByWorkspace: others.length === 0
            ? queue.flowsByWorkspace.delete(workspace)
            : queue.flowsByWorkspace.set(workspace, others),
        flowsByStartTag: queue.flowsByStartTag.delete(flow.key),
    };
}

function withSizesChecked(next: FairQueue, previous: FairQueue, change: number): FairQueue {
    decision.invariant(
        next.entries.size === previous.entries.size + change,
        "the number of queued entries does not match the change",
    );
    decision.invariant(
        next.flowsByWorkspace.size <= next.flowsByStartTag.size,
        "a workspace with queued entries has no flow in serving order",
    );
    decision.invariant(next.flowsByStartTag.size <= next.entries.size, "a flow in serving order has no entries");
    return next;
}
