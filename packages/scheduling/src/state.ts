import * as decision from "@citronlead/decision";
import * as engines from "./engines.js";
import * as fairQueue from "./fairqueue.js";
import * as messages from "./messages.js";
import * as orderedMap from "./orderedmap.js";
import * as prefixIndex from "./prefixindex.js";
import * as retryBudget from "./retrybudget.js";

/** A request that waits in the queue for its placement. */
export interface WaitingRequest {
    readonly ask: messages.ReservationRequest;
    /** Whether its first-token deadline can no longer be met. Late requests are served with spare capacity only. */
    readonly late: boolean;
    /** The latest time at which it can be placed. */
    readonly latestStart: decision.Milliseconds;
    /** Estimated cost, in milliseconds of the whole pool's capacity. */
    readonly cost: number;
}

/** A request that was placed and has not ended. */
export interface Reservation {
    readonly ask: messages.ReservationRequest;
    readonly prefill: string;
    readonly decode: string;
    /** When it is expected to have ended. */
    readonly endsBy: decision.Milliseconds;
    /** Pieces of decode memory that are reserved for it. */
    readonly pieces: number;
    readonly cost: number;
    readonly prefillTokens: number;
    readonly grant: Extract<messages.Action, { kind: messages.ActionKind.Grant; }>;
    /** When the prefill is expected to be done. */
    readonly prefillDoneAt: decision.Milliseconds;
}

/** Recently arrived work, in milliseconds of the pool's prefill and decode capacity. Decays exponentially with time. */
export interface Demand {
    readonly at: decision.Milliseconds;
    readonly prefillMs: number;
    readonly decodeMs: number;
}

interface LatestStartKey {
    readonly at: decision.Milliseconds;
    readonly id: string;
}

type EngineIndex = orderedMap.OrderedMap<engines.EngineKey, string>;

/** The state of the scheduler of one pool shard. Immutable: each decision returns a new one. */
export interface State {
    readonly settings: messages.Settings;
    readonly engines: orderedMap.OrderedMap<string, engines.Engine>;
    /** The usable engines of each role, in order of preference. */
    readonly prefillIndex: EngineIndex;
    readonly decodeIndex: EngineIndex;
    readonly decodeSlots: number;
    readonly freeSlots: number;
    readonly queue: fairQueue.FairQueue;
    readonly waiting: orderedMap.OrderedMap<string, WaitingRequest>;
    /** The waiting requests by latest start. */
    readonly byLatestStart: orderedMap.OrderedMap<LatestStartKey, string>;
    /** The total cost of the late requests in the queue. */
    readonly lateCost: number;
    /** The reservations by request id. */
    readonly reservations: orderedMap.OrderedMap<string, Reservation>;
    readonly prefixIndex: prefixIndex.PrefixIndex;
    readonly retryBudget: retryBudget.RetryBudget;
    readonly demand: Demand;
    /** Moving averages over the whole pool, for estimates. */
    readonly tokenMs: decision.Milliseconds;
    readonly prefillTokensPerSecond: number;
    /** Moving average of the length of answers as a share of their upper bounds. */
    readonly outputShare: number;
    /** When the next wake event is due; Infinity if none is requested. */
    readonly wakeAt: decision.Milliseconds;
    /** When the head of the queue can be placed if nothing else happens; undefined before the first attempt. */
    readonly blockedUntil: decision.Milliseconds | undefined;
}

/** Value of `State.outputShare` before the first answer. */
const INITIAL_OUTPUT_SHARE = 0.6;

/** The state before the first event. */
export function makeState(settings: messages.Settings, now: decision.Milliseconds): State {
    return {
        settings,
        engines: orderedMap.OrderedMap.empty(orderedMap.compareStrings),
        prefillIndex: orderedMap.OrderedMap.empty(engines.compareEngines),
        decodeIndex: orderedMap.OrderedMap.empty(engines.compareEngines),
        decodeSlots: 0,
        freeSlots: 0,
        queue: fairQueue.emptyQueue(),
        waiting: orderedMap.OrderedMap.empty(orderedMap.compareStrings),
        byLatestStart: orderedMap.OrderedMap.empty((left, right) =>
            left.at - right.at || orderedMap.compareStrings(left.id, right.id)
        ),
        lateCost: 0,
        reservations: orderedMap.OrderedMap.empty(orderedMap.compareStrings),
        prefixIndex: prefixIndex.emptyIndex(),
        retryBudget: retryBudget.fullBudget,
        demand: { at: now, prefillMs: 0, decodeMs: 0 },
        tokenMs: settings.tokenMs,
        prefillTokensPerSecond: settings.prefillTokensPerSecond,
        outputShare: INITIAL_OUTPUT_SHARE,
        wakeAt: Infinity,
        blockedUntil: undefined,
    };
}

export function weightOf(state: State, workspace: string): number {
    return state.settings.weights[workspace] ?? 1;
}

/** Adds or replaces an engine and updates the indexes and slot counts. */
export function putEngine(state: State, engine: engines.Engine): State {
    const previous = state.engines.get(engine.name);
    const without = previous ? unindex(state, previous) : state;
    decision.invariant(engine.reservedPieces >= 0, () => `memory of engine ${engine.name} was released twice`);
    const next = { ...without, engines: without.engines.set(engine.name, engine) };
    if (!engine.usable) {
        return next;
    }
    const key = engines.indexKey(engine, state.settings);
    return engine.role === messages.Role.Decode
        ? {
            ...next,
            decodeIndex: next.decodeIndex.set(key, engine.name),
            decodeSlots: next.decodeSlots + engine.slots,
            freeSlots: next.freeSlots + engines.freeSlots(engine),
        }
        : { ...next, prefillIndex: next.prefillIndex.set(key, engine.name) };
}

/** Removes an engine and what is known about its prefix cache. */
export function removeEngine(state: State, name: string): State {
    const previous = state.engines.get(name);
    if (!previous) {
        return state;
    }
    const without = unindex(state, previous);
    return {
        ...without,
        engines: without.engines.delete(name),
        prefixIndex: prefixIndex.removeEngine(without.prefixIndex, name),
    };
}

function unindex(state: State, engine: engines.Engine): State {
    if (!engine.usable) {
        return state;
    }
    const key = engines.indexKey(engine, state.settings);
    return engine.role === messages.Role.Decode
        ? {
            ...state,
            decodeIndex: state.decodeIndex.delete(key),
            decodeSlots: state.decodeSlots - engine.slots,
            freeSlots: state.freeSlots - engines.freeSlots(engine),
        }
        : { ...state, prefillIndex: state.prefillIndex.delete(key) };
}

/** Added to the rank of late requests, so that they are served after all others. */
const LATE_RANK_OFFSET = 10;

/** Adds a request to the queue. */
export function addWaiting(state: State, waiting: WaitingRequest): State {
    const { ask, late, latestStart, cost } = waiting;
    decision.invariant(
        !state.reservations.has(ask.id),
        () => `request ${ask.id} is queued although it has a reservation`,
    );
    const due = late ? ask.deadline : ask.firstTokenDeadline;
    const rank = ask.priority + (late ? LATE_RANK_OFFSET : 0);
    return {
        ...state,
        queue: fairQueue.enqueue(state.queue, { id: ask.id, workspace: ask.workspace, rank, due, cost }),
        waiting: state.waiting.set(ask.id, waiting),
        byLatestStart: state.byLatestStart.set({ at: latestStart, id: ask.id }, ask.id),
        lateCost: state.lateCost + (late ? cost : 0),
    };
}

/** Removes a request from the queue, and charges its workspace if it is served. */
export function removeWaiting(state: State, id: string, served: boolean): State {
    const waiting = state.waiting.get(id);
    decision.invariant(waiting !== undefined, () => `request ${id} is not waiting`);
    const { ask: request, late, latestStart, cost } = waiting;
    return {
        ...state,
        queue: served
            ? fairQueue.serve(state.queue, id, weightOf(state, request.workspace))
            : fairQueue.remove(state.queue, id),
        waiting: state.waiting.delete(id),
        byLatestStart: state.byLatestStart.delete({ at: latestStart, id }),
        lateCost: Math.max(0, state.lateCost - (late ? cost : 0)),
    };
}

/** Time constant of the decay of demand. */
const DEMAND_WINDOW_MS = 60_000;

/** Adds arriving work to the decayed demand. */
export function addDemand(demand: Demand, prefillMs: number, decodeMs: number, now: decision.Milliseconds): Demand {
    const decay = Math.exp((demand.at - now) / DEMAND_WINDOW_MS);
    return { at: now, prefillMs: demand.prefillMs * decay + prefillMs, decodeMs: demand.decodeMs * decay + decodeMs };
}

/** The share of the pool's capacity that demand leaves free, from 0 to 1. */
export function spareCapacityShare(state: State, now: decision.Milliseconds): number {
    const { prefillMs, decodeMs } = addDemand(state.demand, 0, 0, now);
    return Math.max(0, 1 - Math.max(prefillMs, decodeMs) / DEMAND_WINDOW_MS);
}
