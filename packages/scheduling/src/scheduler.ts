import * as decision from "@citronlead/decision";
import * as engines from "./engines.js";
import * as fairOrder from "./fairorder.js";
import * as messages from "./messages.js";
import * as placement from "./placement.js";
import * as prefixes from "./prefixes.js";
import * as retryBudget from "./retrybudget.js";
import * as states from "./state.js";
import * as stays from "./stays.js";

type Step = decision.Transaction<states.State, messages.Action>;

/** Places the requests of one pool shard on its engines. */
export const scheduler: decision.DecisionModule<messages.Settings, states.State, messages.Event, messages.Action> = {
    name: "scheduling",
    start: states.makeState,
    decide,
};

/** How many workspaces are looked at when the first of them can't be placed yet. */
const HEAD_COUNT = 4;

/** Takes in an event, then places what can be placed and gives up on what can't be served in time any more. */
export function decide(state: states.State, event: messages.Event, now: decision.Milliseconds): Step {
    const taken = takeEvent(state, event, now);
    const shed = shedWaiting(taken.state, now);
    const placed = stillBlocked(shed.state, event)
        ? { state: shed.state, actions: [], retryAt: shed.state.blockedUntil ?? Infinity }
        : placeWaiting(shed.state, now, newcomer(shed.state, event));
    const actions = [...taken.actions, ...shed.actions, ...placed.actions];
    return wake({ ...placed.state, blockedUntil: placed.retryAt }, actions, now, placed.retryAt);
}

/** Whether an event can't have made room for the first in the queue, nor is about one of them. */
function stillBlocked(state: states.State, event: messages.Event): boolean {
    if (state.blockedUntil === undefined || state.order.turns.size === 0) {
        return false;
    }
    if (event.kind === messages.EventKind.Ask) {
        return !heads(state).includes(event.ask.id);
    }
    return event.kind === messages.EventKind.CacheChange;
}

/** The only request that may be placed, where the others in the queue are blocked. */
function newcomer(state: states.State, event: messages.Event): string | undefined {
    const blocked = state.blockedUntil !== undefined && state.order.entries.size > 1;
    return blocked && event.kind === messages.EventKind.Ask ? event.ask.id : undefined;
}

function heads(state: states.State): readonly (string | undefined)[] {
    return Array.from({ length: HEAD_COUNT }, (_, place) => fairOrder.peek(state.order, place)?.id);
}

function takeEvent(state: states.State, event: messages.Event, now: decision.Milliseconds): Step {
    switch (event.kind) {
        case messages.EventKind.Ask:
            return takeAsk(state, event.ask, now);
        case messages.EventKind.Progress:
            return quietly(stays.takeProgress(state, event, now));
        case messages.EventKind.End:
            return quietly(stays.takeEnd(state, event, now));
        case messages.EventKind.Report:
            return quietly(stays.takeReport(state, event.report, now));
        case messages.EventKind.CacheChange:
            return quietly(takeCacheChange(state, event, now));
        case messages.EventKind.EngineFailed:
            return quietly(stays.failEngine(state, event.engine, now));
        case messages.EventKind.EngineGone:
            return quietly(states.dropEngine(state, event.engine));
        case messages.EventKind.HoldersGone:
            return quietly(stays.endHolders(state, event.holders, now));
        case messages.EventKind.Settings:
            return quietly(stays.takeSettings(state, event.settings));
        case messages.EventKind.Wake:
            return decision.unchanged({ ...state, wakeAt: Infinity });
        default:
            return decision.unreachable(event);
    }
}

type CacheChangeEvent = Extract<messages.Event, { kind: messages.EventKind.CacheChange; }>;

function takeCacheChange(state: states.State, event: CacheChangeEvent, now: decision.Milliseconds): states.State {
    const engine = state.engines.get(event.engine);
    const limit = engine ? placement.prefixLimit(state.settings, engine) : 0;
    const happenedAt = now - state.settings.reportLagMs;
    return { ...state, prefixes: prefixes.takeChange(state.prefixes, event, limit, happenedAt) };
}

function quietly(state: states.State): Step {
    return { state, actions: [] };
}

function takeAsk(state: states.State, ask: messages.Ask, now: decision.Milliseconds): Step {
    const placed = state.stays.get(ask.id);
    if (placed) {
        return { state, actions: [placed.grant] };
    }
    if (state.waiting.has(ask.id)) {
        return quietly(state);
    }
    const demanded = { ...state, demand: demandWith(state, ask, now) };
    if (!ask.retry) {
        return admit(demanded, ask, now);
    }
    const budget = retryBudget.takeRetry(state.budget);
    return budget
        ? admit({ ...demanded, budget }, ask, now)
        : { state: demanded, actions: [refusal(demanded, ask.id, messages.RefusalKind.RetryBudget, now)] };
}

/** The shares of the pool's prefill and decode that a request is thought to take, in milliseconds of all engines. */
function shares(state: states.State, ask: messages.Ask): { prefillMs: number; decodeMs: number; } {
    const held = prefixes.longestHeld(state.prefixes, ask.prefixHashes)?.length ?? 0;
    const tokens = Math.max(1, ask.promptTokens - placement.prefixLength(state.settings, ask, held));
    return {
        prefillMs: tokens / state.prefillTokensPerSecond * 1_000 / Math.max(1, state.prefillIndex.size),
        decodeMs: ask.outputTokens * state.outputShare * state.tokenMs / Math.max(1, state.decodeSlots),
    };
}

function demandWith(state: states.State, ask: messages.Ask, now: decision.Milliseconds): states.Demand {
    const { prefillMs, decodeMs } = shares(state, ask);
    return states.addDemand(state.demand, prefillMs, decodeMs, now);
}

/** The shortest time from the start of a request's prefill to its first token. */
function leadMs(state: states.State, ask: messages.Ask): decision.Milliseconds {
    const { prefillMs } = shares(state, ask);
    const moveMs = placement.transferMs(state.settings, ask.promptTokens, state.settings.linkBytesPerSecond);
    return prefillMs * Math.max(1, state.prefillIndex.size) + moveMs + state.tokenMs;
}

/** An answer is thought to take no more than this share of the time to its deadline, whatever bound its caller stated. */
const ANSWER_SHARE = 0.5;

/** When a request must start at the latest to be whole by its deadline. */
function latestForDeadline(state: states.State, ask: messages.Ask): decision.Milliseconds {
    const longestMs = ANSWER_SHARE * Math.max(0, ask.deadline - ask.firstTokenDeadline);
    const answerMs = Math.min(longestMs, ask.outputTokens * state.outputShare * state.tokenMs);
    return ask.deadline - leadMs(state, ask) - answerMs;
}

/** The share of the time to the first token that is kept for what goes slower than thought. */
const TARGET_MARGIN = 0.1;

/** Whether a request avoids every engine of a role that the pool has, so that waiting would not help it. */
function avoidsAll(state: states.State, ask: messages.Ask): boolean {
    if (ask.avoid.length === 0) {
        return false;
    }
    const known = [...state.engines.entries()].map(([, engine]) => engine);
    return [messages.Role.Prefill, messages.Role.Decode].some((role) => {
        const ofRole = known.filter((engine) => engine.role === role);
        return ofRole.length > 0 && ofRole.every((engine) => ask.avoid.includes(engine.name));
    });
}

function admit(state: states.State, ask: messages.Ask, now: decision.Milliseconds): Step {
    if (avoidsAll(state, ask)) {
        return { state, actions: [refusal(state, ask.id, messages.RefusalKind.Shed, now)] };
    }
    const { prefillMs, decodeMs } = shares(state, ask);
    const cost = prefillMs + decodeMs;
    const whole = latestForDeadline(state, ask);
    // A request that was placed before has a caller who reads already: it goes first in its workspace.
    const marginMs = TARGET_MARGIN * Math.max(0, ask.firstTokenDeadline - now);
    const onTime = ask.firstTokenDeadline - marginMs - leadMs(state, ask);
    const latestStart = ask.retry ? whole : Math.min(whole, onTime);
    return latestStart >= now
        ? quietly(states.putWaiting(state, { ask, late: false, latestStart, cost }))
        : delay(state, ask, cost, now);
}

/** Keeps a request that missed its first-token target if there is capacity left to serve it by its deadline. */
function delay(state: states.State, ask: messages.Ask, cost: number, now: decision.Milliseconds): Step {
    const latestStart = latestForDeadline(state, ask);
    const capacity = states.spareShare(state, now) * (latestStart - now);
    return latestStart >= now && state.lateCost + cost <= capacity
        ? quietly(states.putWaiting(state, { ask, late: true, latestStart, cost }))
        : { state, actions: [refusal(state, ask.id, messages.RefusalKind.Shed, now)] };
}

const SHORTEST_RETRY_AFTER_MS = 1_000;
const LONGEST_RETRY_AFTER_MS = 10_000;

function refusal(
    state: states.State,
    id: string,
    kind: messages.RefusalKind,
    now: decision.Milliseconds,
): messages.Action {
    const spare = Math.max(0.1, states.spareShare(state, now));
    const retryAfterMs = Math.min(LONGEST_RETRY_AFTER_MS, SHORTEST_RETRY_AFTER_MS / spare);
    return { kind: messages.ActionKind.Refuse, id, refusal: kind, retryAfterMs };
}

/** Gives up on what can't start in time any more: at once, not when its deadline has passed. */
function shedWaiting(state: states.State, now: decision.Milliseconds): Step {
    let next = state;
    const actions: messages.Action[] = [];
    for (let first = next.latest.first(); first && first[0].at < now; first = next.latest.first()) {
        const step = demote(next, first[1], now);
        next = step.state;
        actions.push(...step.actions);
    }
    return { state: next, actions };
}

function demote(state: states.State, id: string, now: decision.Milliseconds): Step {
    const waiting = state.waiting.get(id);
    decision.invariant(waiting !== undefined, () => `${id} does not wait`);
    const without = states.dropWaiting(state, id, false);
    return waiting.late
        ? { state: without, actions: [refusal(without, id, messages.RefusalKind.Shed, now)] }
        : delay(without, waiting.ask, waiting.cost, now);
}

function placeWaiting(
    state: states.State,
    now: decision.Milliseconds,
    only: string | undefined,
): Step & { readonly retryAt: decision.Milliseconds; } {
    let next = state;
    let retryAt = only === undefined ? Infinity : state.blockedUntil ?? Infinity;
    const actions: messages.Action[] = [];
    for (let place = 0; place < HEAD_COUNT;) {
        const entry = fairOrder.peek(next.order, place);
        const waiting = entry && next.waiting.get(entry.id);
        if (!waiting || waiting.late && (place > 0 || next.freeSlots <= lateHeadroom(next))) {
            break;
        }
        if (only !== undefined && entry.id !== only) {
            place++;
            continue;
        }
        const chosen = placement.choose(next, waiting.ask, now);
        if (!chosen.found) {
            retryAt = Math.min(retryAt, chosen.retryAt);
            place++;
            continue;
        }
        const step = meetsTarget(next, waiting, chosen.choice)
            ? grant(next, waiting, chosen.choice)
            : demote(next, waiting.ask.id, now);
        next = step.state;
        actions.push(...step.actions);
    }
    return { state: next, actions, retryAt };
}

/** The largest share of the slots that is left free. */
const LARGEST_HEADROOM = 0.1;

/** Slots that requests which are late already leave free for those that are not. */
function lateHeadroom(state: states.State): number {
    return Math.min(Math.sqrt(state.decodeSlots), state.decodeSlots * LARGEST_HEADROOM);
}

function meetsTarget(state: states.State, waiting: states.Waiting, choice: placement.Choice): boolean {
    const { ask } = waiting;
    return waiting.late || ask.retry || choice.arrivesAt + state.tokenMs <= ask.firstTokenDeadline;
}

const STAY_MARGIN = 1.05;

function grant(state: states.State, waiting: states.Waiting, choice: placement.Choice): Step {
    const { ask } = waiting;
    const action: states.Stay["grant"] = {
        kind: messages.ActionKind.Grant,
        id: ask.id,
        prefill: choice.prefill.name,
        decode: choice.decode.name,
        startAt: choice.startAt,
        prefillMs: choice.readyAt - choice.startAt,
        transferMs: choice.arrivesAt - choice.readyAt,
    };
    const stay: states.Stay = {
        ask,
        prefill: choice.prefill.name,
        decode: choice.decode.name,
        endsBy: choice.arrivesAt + ask.outputTokens * choice.decode.tokenMs * STAY_MARGIN,
        pieces: placement.piecesOf(state.settings, ask),
        cost: waiting.cost,
        prefillTokens: choice.prefillTokens,
        grant: action,
        readyAt: choice.readyAt,
    };
    decision.invariant(engines.slotFreeAt(choice.decode) <= choice.arrivesAt, "a slot is reserved before it is free");
    const served = states.dropWaiting(state, ask.id, true);
    const reserved = reserve(served, stay, choice);
    return { state: { ...reserved, stays: reserved.stays.set(ask.id, stay) }, actions: [action] };
}

function reserve(state: states.State, stay: states.Stay, choice: placement.Choice): states.State {
    const suspects = stay.ask.suspect ? 1 : 0;
    const { prefill, decode, readyAt } = choice;
    const prefilling = states.putEngine(state, {
        ...prefill,
        busyUntil: readyAt,
        linkUntil: choice.fromUntil,
        suspects: prefill.suspects + suspects,
    });
    const stays = decode.stays.set({ endsBy: stay.endsBy, id: stay.ask.id }, true);
    decision.invariant(stays.size <= decode.slots + engines.RESERVED_AHEAD, "too many slots are reserved");
    const decoding = states.putEngine(prefilling, {
        ...decode,
        stays,
        reservedPieces: decode.reservedPieces + stay.pieces,
        linkUntil: choice.toUntil,
        suspects: decode.suspects + suspects,
        probeAt: engines.isSlow(decode, state.settings) ? placement.nextProbe(choice.startAt) : decode.probeAt,
    });
    const use: prefixes.PrefixUse = {
        engine: prefill.name,
        hashes: stay.ask.prefixHashes,
        limit: placement.prefixLimit(state.settings, prefill),
        at: readyAt,
    };
    return { ...decoding, prefixes: prefixes.store(decoding.prefixes, use) };
}

function wake(
    state: states.State,
    actions: readonly messages.Action[],
    now: decision.Milliseconds,
    retryAt: decision.Milliseconds,
): Step {
    const expiry = state.latest.first()?.[0].at ?? Infinity;
    const next = Math.max(now + 1, Math.min(retryAt, expiry + 1));
    if (next === Infinity || next >= state.wakeAt && state.wakeAt > now) {
        return { state, actions };
    }
    return { state: { ...state, wakeAt: next }, actions: [...actions, { kind: messages.ActionKind.WakeAt, at: next }] };
}
