import * as decision from "@citronlead/decision";
import * as engines from "./engines.js";
import * as fairOrder from "./fairorder.js";
import * as messages from "./messages.js";
import * as orderedMap from "./orderedmap.js";
import * as prefixes from "./prefixes.js";
import * as retryBudget from "./retrybudget.js";

/** A request that waits for its placement. */
export interface Waiting {
    readonly ask: messages.Ask;
    /** Whether its first token can't come in time any more; it is served with what capacity is left. */
    readonly late: boolean;
    /** When it must be placed at the latest. */
    readonly latestStart: decision.Milliseconds;
    readonly cost: number;
}

/** A request that was placed and has not ended. */
export interface Stay {
    readonly ask: messages.Ask;
    readonly prefill: string;
    readonly decode: string;
    readonly endsBy: decision.Milliseconds;
    readonly pieces: number;
    readonly cost: number;
    readonly prefillTokens: number;
    readonly grant: Extract<messages.Action, { kind: messages.ActionKind.Grant; }>;
    /** When the prefill's result is thought to be ready. */
    readonly readyAt: decision.Milliseconds;
}

/** Work that arrived lately, as shares of what the pool can do; decays with time. */
export interface Demand {
    readonly at: decision.Milliseconds;
    readonly prefillMs: number;
    readonly decodeMs: number;
}

interface LatestKey {
    readonly at: decision.Milliseconds;
    readonly id: string;
}

type Index = orderedMap.OrderedMap<engines.EngineKey, string>;

/** All that the scheduler of one pool shard knows. It never changes; decisions make new ones. */
export interface State {
    readonly settings: messages.Settings;
    readonly engines: orderedMap.OrderedMap<string, engines.Engine>;
    /** The engines that take work, by role and in the order in which they are offered it. */
    readonly prefillIndex: Index;
    readonly decodeIndex: Index;
    readonly decodeSlots: number;
    readonly freeSlots: number;
    readonly order: fairOrder.FairOrder;
    readonly waiting: orderedMap.OrderedMap<string, Waiting>;
    readonly latest: orderedMap.OrderedMap<LatestKey, string>;
    readonly lateCost: number;
    readonly stays: orderedMap.OrderedMap<string, Stay>;
    readonly prefixes: prefixes.Prefixes;
    readonly budget: retryBudget.RetryBudget;
    readonly demand: Demand;
    /** Figures of the whole pool, for estimates. */
    readonly tokenMs: decision.Milliseconds;
    readonly prefillTokensPerSecond: number;
    /** Tokens of answers over their upper bounds. */
    readonly outputShare: number;
    readonly wakeAt: decision.Milliseconds;
    /** When the first in the queue may be placed if nothing else happens; undefined before it was looked at. */
    readonly blockedUntil: decision.Milliseconds | undefined;
}

const FIRST_OUTPUT_SHARE = 0.6;

/** The state before the first event. */
export function makeState(settings: messages.Settings, now: decision.Milliseconds): State {
    return {
        settings,
        engines: orderedMap.OrderedMap.empty(orderedMap.compareText),
        prefillIndex: orderedMap.OrderedMap.empty(engines.compareEngines),
        decodeIndex: orderedMap.OrderedMap.empty(engines.compareEngines),
        decodeSlots: 0,
        freeSlots: 0,
        order: fairOrder.emptyOrder(),
        waiting: orderedMap.OrderedMap.empty(orderedMap.compareText),
        latest: orderedMap.OrderedMap.empty((left, right) =>
            left.at - right.at || orderedMap.compareText(left.id, right.id)
        ),
        lateCost: 0,
        stays: orderedMap.OrderedMap.empty(orderedMap.compareText),
        prefixes: prefixes.emptyPrefixes(),
        budget: retryBudget.fullBudget,
        demand: { at: now, prefillMs: 0, decodeMs: 0 },
        tokenMs: settings.tokenMs,
        prefillTokensPerSecond: settings.prefillTokensPerSecond,
        outputShare: FIRST_OUTPUT_SHARE,
        wakeAt: Infinity,
        blockedUntil: undefined,
    };
}

/** The weight of a workspace. */
export function weightOf(state: State, workspace: string): number {
    return state.settings.weights[workspace] ?? 1;
}

/** Puts an engine in the place of its former self, in every index. */
export function putEngine(state: State, engine: engines.Engine): State {
    const former = state.engines.get(engine.name);
    const without = former ? unindex(state, former) : state;
    decision.invariant(engine.reservedPieces >= 0, () => `memory of ${engine.name} is given back twice`);
    const next = { ...without, engines: without.engines.set(engine.name, engine) };
    if (!engine.usable) {
        return next;
    }
    const key = engines.keyOf(engine, state.settings);
    return engine.role === messages.Role.Decode
        ? {
            ...next,
            decodeIndex: next.decodeIndex.set(key, engine.name),
            decodeSlots: next.decodeSlots + engine.slots,
            freeSlots: next.freeSlots + engines.freeSlots(engine),
        }
        : { ...next, prefillIndex: next.prefillIndex.set(key, engine.name) };
}

/** Takes an engine out. */
export function dropEngine(state: State, name: string): State {
    const former = state.engines.get(name);
    if (!former) {
        return state;
    }
    const without = unindex(state, former);
    return {
        ...without,
        engines: without.engines.delete(name),
        prefixes: prefixes.forget(without.prefixes, name),
    };
}

function unindex(state: State, engine: engines.Engine): State {
    if (!engine.usable) {
        return state;
    }
    const key = engines.keyOf(engine, state.settings);
    return engine.role === messages.Role.Decode
        ? {
            ...state,
            decodeIndex: state.decodeIndex.delete(key),
            decodeSlots: state.decodeSlots - engine.slots,
            freeSlots: state.freeSlots - engines.freeSlots(engine),
        }
        : { ...state, prefillIndex: state.prefillIndex.delete(key) };
}

/** Ranks behind this one are late. */
const LATE_RANK = 10;

/** Adds a request to the queue. */
export function putWaiting(state: State, waiting: Waiting): State {
    const { ask, late, latestStart, cost } = waiting;
    decision.invariant(!state.stays.has(ask.id), () => `${ask.id} is placed and waits again`);
    const due = late ? ask.deadline : ask.firstTokenDeadline;
    const rank = ask.priority + (late ? LATE_RANK : 0);
    return {
        ...state,
        order: fairOrder.enqueue(state.order, { id: ask.id, workspace: ask.workspace, rank, due, cost }),
        waiting: state.waiting.set(ask.id, waiting),
        latest: state.latest.set({ at: latestStart, id: ask.id }, ask.id),
        lateCost: state.lateCost + (late ? cost : 0),
    };
}

/** Takes a request out of the queue; it is charged to its workspace when it is served. */
export function dropWaiting(state: State, id: string, served: boolean): State {
    const waiting = state.waiting.get(id);
    decision.invariant(waiting !== undefined, () => `${id} does not wait`);
    const { ask, late, latestStart, cost } = waiting;
    return {
        ...state,
        order: served
            ? fairOrder.serve(state.order, id, weightOf(state, ask.workspace))
            : fairOrder.remove(state.order, id),
        waiting: state.waiting.delete(id),
        latest: state.latest.delete({ at: latestStart, id }),
        lateCost: Math.max(0, state.lateCost - (late ? cost : 0)),
    };
}

/** The time over which demand is averaged. */
const DEMAND_MS = 60_000;

/** Adds arriving work to the demand. */
export function addDemand(demand: Demand, prefillMs: number, decodeMs: number, now: decision.Milliseconds): Demand {
    const left = Math.exp((demand.at - now) / DEMAND_MS);
    return { at: now, prefillMs: demand.prefillMs * left + prefillMs, decodeMs: demand.decodeMs * left + decodeMs };
}

/** The part of the pool that demand leaves over, from 0 to 1. */
export function spareShare(state: State, now: decision.Milliseconds): number {
    const { prefillMs, decodeMs } = addDemand(state.demand, 0, 0, now);
    return Math.max(0, 1 - Math.max(prefillMs, decodeMs) / DEMAND_MS);
}
