import * as decision from "@citronlead/decision";
import * as orderedMap from "./orderedmap.js";

/** What the order needs to know of an entry. */
export interface Entry {
    readonly id: string;
    readonly workspace: string;
    /** Entries of a lower rank go first. */
    readonly rank: number;
    /** Within a workspace and rank the earliest goes first. */
    readonly due: decision.Milliseconds;
    /** The part of the pool that serving it is thought to take, in milliseconds of the whole pool. */
    readonly cost: number;
}

interface FlowKey {
    readonly rank: number;
    /** The virtual time at which the workspace is due its next turn. */
    readonly tag: number;
    readonly workspace: string;
}

interface DueKey {
    readonly due: decision.Milliseconds;
    readonly id: string;
}

type Waiting = orderedMap.OrderedMap<DueKey, Entry>;

interface Flow {
    readonly key: FlowKey;
    readonly waiting: Waiting;
}

/**
 * A queue that is fair between workspaces by weight (start-time fair queuing), strict between ranks, and earliest due
 * first within a workspace. Each operation takes time that grows with the logarithm of workspaces and entries.
 */
export interface FairOrder {
    /** Workspaces that have entries waiting, by the turn that they are due. */
    readonly turns: orderedMap.OrderedMap<FlowKey, Flow>;
    /** For each workspace what waits in each rank. */
    readonly flows: orderedMap.OrderedMap<string, readonly Flow[]>;
    readonly entries: orderedMap.OrderedMap<string, Entry>;
    /** The virtual time up to which each workspace has been served. */
    readonly finish: orderedMap.OrderedMap<string, number>;
    readonly virtualTime: number;
}

function compareFlows(left: FlowKey, right: FlowKey): number {
    return left.rank - right.rank || left.tag - right.tag
        || orderedMap.compareText(left.workspace, right.workspace);
}

function compareDue(left: DueKey, right: DueKey): number {
    return left.due - right.due || orderedMap.compareText(left.id, right.id);
}

function findFlow(order: FairOrder, rank: number, workspace: string): Flow | undefined {
    return order.flows.get(workspace)?.find((flow) => flow.key.rank === rank);
}

/** The order without entries. */
export function emptyOrder(): FairOrder {
    return {
        turns: orderedMap.OrderedMap.empty(compareFlows),
        flows: orderedMap.OrderedMap.empty(orderedMap.compareText),
        entries: orderedMap.OrderedMap.empty(orderedMap.compareText),
        finish: orderedMap.OrderedMap.empty(orderedMap.compareText),
        virtualTime: 0,
    };
}

/** How far a workspace that got less than its share may lag behind the virtual time and still catch up, in milliseconds. */
const CREDIT_MS = 2_000;

/** The virtual time at which a workspace is due its next turn. */
function dueTag(order: FairOrder, workspace: string): number {
    return Math.max(order.virtualTime - CREDIT_MS, order.finish.get(workspace) ?? 0);
}

/** Adds an entry. Its name must be new. */
export function enqueue(order: FairOrder, entry: Entry): FairOrder {
    decision.invariant(!order.entries.has(entry.id), () => `entry ${entry.id} waits already`);
    const former = findFlow(order, entry.rank, entry.workspace);
    const tag = dueTag(order, entry.workspace);
    const flow: Flow = {
        key: former?.key ?? { rank: entry.rank, tag, workspace: entry.workspace },
        waiting: (former?.waiting ?? orderedMap.OrderedMap.empty<DueKey, Entry>(compareDue)).set(entry, entry),
    };
    return checked({ ...putFlow(order, flow), entries: order.entries.set(entry.id, entry) }, order, 1);
}

/** The entry whose turn is at a place, counted from 0: the first of the workspace at that place. */
export function peek(order: FairOrder, place: number): Entry | undefined {
    return order.turns.at(place)?.[1].waiting.first()?.[1];
}

/** Takes an entry out without serving it. */
export function remove(order: FairOrder, id: string): FairOrder {
    const entry = order.entries.get(id);
    if (!entry) {
        return order;
    }
    const flow = findFlow(order, entry.rank, entry.workspace);
    decision.invariant(flow !== undefined && flow.waiting.has(entry), () => `the queue lost ${id}`);
    const waiting = flow.waiting.delete(entry);
    const next = waiting.size === 0
        ? dropFlow(order, flow)
        : putFlow(order, { ...flow, waiting });
    return checked({ ...next, entries: order.entries.delete(id) }, order, -1);
}

/** Takes an entry out to be served, and charges its workspace. */
export function serve(order: FairOrder, id: string, weight: number): FairOrder {
    const entry = order.entries.get(id);
    decision.invariant(entry !== undefined, () => `entry ${id} does not wait`);
    const tag = dueTag(order, entry.workspace);
    const taken = remove(order, id);
    const virtualTime = Math.max(taken.virtualTime, Math.min(tag, taken.turns.first()?.[0].tag ?? tag));
    return charge({ ...taken, virtualTime }, entry.workspace, entry.cost, weight, tag);
}

/** Corrects what a workspace was charged once the true cost is known; the difference may be negative. */
export function correct(order: FairOrder, workspace: string, difference: number, weight: number): FairOrder {
    return charge(order, workspace, difference, weight, order.finish.get(workspace) ?? order.virtualTime);
}

function charge(order: FairOrder, workspace: string, cost: number, weight: number, from: number): FairOrder {
    const tag = from + cost / weight;
    const next = tag > order.virtualTime - CREDIT_MS || order.flows.size > 0
        ? order.finish.set(workspace, tag)
        : order.finish.delete(workspace);
    return retag({ ...order, finish: next }, workspace, Math.max(tag, order.virtualTime - CREDIT_MS));
}

function retag(order: FairOrder, workspace: string, tag: number): FairOrder {
    const flows = order.flows.get(workspace);
    if (!flows) {
        return order;
    }
    const moved = flows.map((flow) => ({ ...flow, key: { ...flow.key, tag } }));
    const without = flows.reduce((turns, flow) => turns.delete(flow.key), order.turns);
    const turns = moved.reduce((next, flow) => next.set(flow.key, flow), without);
    return { ...order, turns, flows: order.flows.set(workspace, moved) };
}

function putFlow(order: FairOrder, flow: Flow): FairOrder {
    const { rank, workspace } = flow.key;
    const others = (order.flows.get(workspace) ?? []).filter((other) => other.key.rank !== rank);
    return {
        ...order,
        flows: order.flows.set(workspace, [...others, flow]),
        turns: order.turns.set(flow.key, flow),
    };
}

function dropFlow(order: FairOrder, flow: Flow): FairOrder {
    const { rank, workspace } = flow.key;
    const others = (order.flows.get(workspace) ?? []).filter((other) => other.key.rank !== rank);
    return {
        ...order,
        flows: others.length === 0 ? order.flows.delete(workspace) : order.flows.set(workspace, others),
        turns: order.turns.delete(flow.key),
    };
}

function checked(next: FairOrder, former: FairOrder, change: number): FairOrder {
    decision.invariant(next.entries.size === former.entries.size + change, "the queue lost or doubled an entry");
    decision.invariant(next.flows.size <= next.turns.size, "a workspace waits without a turn");
    decision.invariant(next.turns.size <= next.entries.size, "a turn is due to nobody");
    return next;
}
