import * as decision from "@citronlead/decision";
import * as engines from "./engines.js";
import * as fairQueue from "./fairqueue.js";
import * as messages from "./messages.js";
import * as placement from "./placement.js";
import * as prefixIndex from "./prefixindex.js";
import * as reservations from "./reservations.js";
import * as retryBudget from "./retrybudget.js";
import * as states from "./state.js";

type Step = decision.Transition<states.State, messages.Action>;

/** The decision module that places the requests of one pool shard on its engines. */
export const scheduler: decision.DecisionModule<messages.Settings, states.State, messages.Event, messages.Action> = {
    name: "scheduling",
    start: states.makeState,
    decide,
};

/** How many flows of the queue are tried if the requests before them cannot be placed yet. */
const HEAD_COUNT = 4;

/** Applies an event, sheds the requests that can no longer be served in time and places those that can be placed now. */
export function decide(state: states.State, event: messages.Event, now: decision.Milliseconds): Step {
    const applied = applyEvent(state, event, now);
    const shed = shedWaiting(applied.state, now);
    const placed = isStillBlocked(shed.state, event)
        ? { state: shed.state, actions: [], retryAt: shed.state.blockedUntil ?? Infinity }
        : placeWaiting(shed.state, now, arrivedRequestId(shed.state, event));
    const actions = [...applied.actions, ...shed.actions, ...placed.actions];
    return scheduleWake({ ...placed.state, blockedUntil: placed.retryAt }, actions, now, placed.retryAt);
}

/** Whether no request can be placed: the queue was blocked, and the event neither frees capacity nor changes its head. */
function isStillBlocked(state: states.State, event: messages.Event): boolean {
    if (state.blockedUntil === undefined || state.queue.flowsByStartTag.size === 0) {
        return false;
    }
    if (event.kind === messages.EventKind.Request) {
        return !queueHeads(state).includes(event.ask.id);
    }
    return event.kind === messages.EventKind.CacheChange;
}

/** The request that has just arrived, if the rest of the queue is known to be blocked and only it needs to be tried. */
function arrivedRequestId(state: states.State, event: messages.Event): string | undefined {
    const blocked = state.blockedUntil !== undefined && state.queue.entries.size > 1;
    return blocked && event.kind === messages.EventKind.Request ? event.ask.id : undefined;
}

/** The ids of the requests at the head of the queue, one for each flow. */
function queueHeads(state: states.State): readonly (string | undefined)[] {
    return Array.from({ length: HEAD_COUNT }, (_, index) => fairQueue.peek(state.queue, index)?.id);
}

function applyEvent(state: states.State, event: messages.Event, now: decision.Milliseconds): Step {
    switch (event.kind) {
        case messages.EventKind.Request:
            return handleRequest(state, event.ask, now);
        case messages.EventKind.Progress:
            return withoutActions(reservations.applyProgress(state, event, now));
        case messages.EventKind.End:
            return withoutActions(reservations.applyEnd(state, event, now));
        case messages.EventKind.Report:
            return withoutActions(reservations.applyReport(state, event.report, now));
        case messages.EventKind.CacheChange:
            return withoutActions(applyCacheChange(state, event, now));
        case messages.EventKind.EngineFailed:
            return withoutActions(reservations.recordEngineFailure(state, event.engine, now));
        case messages.EventKind.EngineGone:
            return withoutActions(states.removeEngine(state, event.engine));
        case messages.EventKind.HoldersGone:
            return withoutActions(reservations.endRequestsOf(state, event.holders, now));
        case messages.EventKind.Settings:
            return withoutActions(reservations.applySettings(state, event.settings));
        case messages.EventKind.Wake:
            return decision.withoutActions({ ...state, wakeAt: Infinity });
        default:
            return decision.unreachable(event);
    }
}

type CacheChangeEvent = Extract<messages.Event, { kind: messages.EventKind.CacheChange; }>;

function applyCacheChange(state: states.State, event: CacheChangeEvent, now: decision.Milliseconds): states.State {
    const engine = state.engines.get(event.engine);
    const limit = engine ? placement.maxPrefixHashes(state.settings, engine) : 0;
    const happenedAt = now - state.settings.reportLagMs;
    return { ...state, prefixIndex: prefixIndex.applyCacheChange(state.prefixIndex, event, limit, happenedAt) };
}

function withoutActions(state: states.State): Step {
    return { state, actions: [] };
}

function handleRequest(state: states.State, request: messages.ReservationRequest, now: decision.Milliseconds): Step {
    const placed = state.reservations.get(request.id);
    if (placed) {
        return { state, actions: [placed.grant] };
    }
    if (state.waiting.has(request.id)) {
        return withoutActions(state);
    }
    const withDemand = { ...state, demand: addedDemand(state, request, now) };
    if (!request.retry) {
        return admit(withDemand, request, now);
    }
    const budget = retryBudget.spendRetry(state.retryBudget);
    return budget
        ? admit({ ...withDemand, retryBudget: budget }, request, now)
        : { state: withDemand, actions: [refusal(withDemand, request.id, messages.RefusalKind.RetryBudget, now)] };
}

/** The estimated cost of a request, in milliseconds of the pool's whole prefill and decode capacity. */
function capacityCost(
    state: states.State,
    request: messages.ReservationRequest,
): { prefillMs: number; decodeMs: number; } {
    const cachedHashes = prefixIndex.longestCachedPrefix(state.prefixIndex, request.prefixHashes)?.length ?? 0;
    const tokens = Math.max(
        1,
        request.promptTokens - placement.prefixTokenCount(state.settings, request, cachedHashes),
    );
    return {
        prefillMs: tokens / state.prefillTokensPerSecond * 1_000 / Math.max(1, state.prefillIndex.size),
        decodeMs: request.outputTokens * state.outputShare * state.tokenMs / Math.max(1, state.decodeSlots),
    };
}

function addedDemand(
    state: states.State,
    request: messages.ReservationRequest,
    now: decision.Milliseconds,
): states.Demand {
    const { prefillMs, decodeMs } = capacityCost(state, request);
    return states.addDemand(state.demand, prefillMs, decodeMs, now);
}

/** The expected time from the start of a request's prefill to its first token, without waiting. */
function minFirstTokenMs(state: states.State, request: messages.ReservationRequest): decision.Milliseconds {
    const { prefillMs } = capacityCost(state, request);
    const transferMs = placement.transferMs(state.settings, request.promptTokens, state.settings.linkBytesPerSecond);
    return prefillMs * Math.max(1, state.prefillIndex.size) + transferMs + state.tokenMs;
}

/**
 * An answer is assumed to take at most this share of the time between the first-token deadline and the deadline, even if its
 * upper bound for tokens would take longer.
 */
const MAX_ANSWER_SHARE = 0.5;

/** The latest start of a request that lets its answer be complete by its deadline. */
function latestStartForDeadline(state: states.State, request: messages.ReservationRequest): decision.Milliseconds {
    const maxAnswerMs = MAX_ANSWER_SHARE * Math.max(0, request.deadline - request.firstTokenDeadline);
    const answerMs = Math.min(maxAnswerMs, request.outputTokens * state.outputShare * state.tokenMs);
    return request.deadline - minFirstTokenMs(state, request) - answerMs;
}

/** The share of the time until the first-token deadline that is kept in reserve for delays. */
const FIRST_TOKEN_MARGIN = 0.1;

/** Whether a request must avoid every known engine of a role, so that waiting would not help it. */
function avoidsEveryEngine(state: states.State, request: messages.ReservationRequest): boolean {
    if (request.avoid.length === 0) {
        return false;
    }
    const known = [...state.engines.entries()].map(([, engine]) => engine);
    return [messages.Role.Prefill, messages.Role.Decode].some((role) => {
        const ofRole = known.filter((engine) => engine.role === role);
        return ofRole.length > 0 && ofRole.every((engine) => request.avoid.includes(engine.name));
    });
}

function admit(state: states.State, request: messages.ReservationRequest, now: decision.Milliseconds): Step {
    if (avoidsEveryEngine(state, request)) {
        return { state, actions: [refusal(state, request.id, messages.RefusalKind.Shed, now)] };
    }
    const { prefillMs, decodeMs } = capacityCost(state, request);
    const cost = prefillMs + decodeMs;
    const latestForDeadline = latestStartForDeadline(state, request);
    // The caller of a retried request is already reading the answer. Its first-token deadline puts it first in its workspace,
    // but does not limit its start.
    const marginMs = FIRST_TOKEN_MARGIN * Math.max(0, request.firstTokenDeadline - now);
    const latestForFirstToken = request.firstTokenDeadline - marginMs - minFirstTokenMs(state, request);
    const latestStart = request.retry ? latestForDeadline : Math.min(latestForDeadline, latestForFirstToken);
    return latestStart >= now
        ? withoutActions(states.addWaiting(state, { ask: request, late: false, latestStart, cost }))
        : admitLate(state, request, cost, now);
}

/** Queues a request that will miss its first-token deadline, if there is spare capacity to serve it by its deadline. */
function admitLate(
    state: states.State,
    request: messages.ReservationRequest,
    cost: number,
    now: decision.Milliseconds,
): Step {
    const latestStart = latestStartForDeadline(state, request);
    const capacity = states.spareCapacityShare(state, now) * (latestStart - now);
    return latestStart >= now && state.lateCost + cost <= capacity
        ? withoutActions(states.addWaiting(state, { ask: request, late: true, latestStart, cost }))
        : { state, actions: [refusal(state, request.id, messages.RefusalKind.Shed, now)] };
}

const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 10_000;

function refusal(
    state: states.State,
    id: string,
    kind: messages.RefusalKind,
    now: decision.Milliseconds,
): messages.Action {
    const spare = Math.max(0.1, states.spareCapacityShare(state, now));
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS / spare);
    return { kind: messages.ActionKind.Refuse, id, refusal: kind, retryAfterMs };
}

/** Sheds or demotes requests as soon as they can no longer start in time, not only once their deadline has passed. */
function shedWaiting(state: states.State, now: decision.Milliseconds): Step {
    let next = state;
    const actions: messages.Action[] = [];
    for (let first = next.byLatestStart.first(); first && first[0].at < now; first = next.byLatestStart.first()) {
        const step = demoteOrShed(next, first[1], now);
        next = step.state;
        actions.push(...step.actions);
    }
    return { state: next, actions };
}

/** Queues a request as late if it was on time, or refuses it. */
function demoteOrShed(state: states.State, id: string, now: decision.Milliseconds): Step {
    const waiting = state.waiting.get(id);
    decision.invariant(waiting !== undefined, () => `request ${id} is not waiting`);
    const without = states.removeWaiting(state, id, false);
    return waiting.late
        ? { state: without, actions: [refusal(without, id, messages.RefusalKind.Shed, now)] }
        : admitLate(without, waiting.ask, waiting.cost, now);
}

/** Places the requests at the head of the queue, or only one of them, and says when to try the rest again. */
function placeWaiting(
    state: states.State,
    now: decision.Milliseconds,
    onlyId: string | undefined,
): Step & { readonly retryAt: decision.Milliseconds; } {
    let next = state;
    let retryAt = onlyId === undefined ? Infinity : state.blockedUntil ?? Infinity;
    const actions: messages.Action[] = [];
    for (let index = 0; index < HEAD_COUNT;) {
        const entry = fairQueue.peek(next.queue, index);
        const waiting = entry && next.waiting.get(entry.id);
        if (!waiting || waiting.late && (index > 0 || next.freeSlots <= lateHeadroom(next))) {
            break;
        }
        if (onlyId !== undefined && entry.id !== onlyId) {
            index++;
            continue;
        }
        const result = placement.choosePlacement(next, waiting.ask, now);
        if (!result.found) {
            retryAt = Math.min(retryAt, result.retryAt);
            index++;
            continue;
        }
        const step = meetsTarget(next, waiting, result.plan)
            ? grant(next, waiting, result.plan)
            : demoteOrShed(next, waiting.ask.id, now);
        next = step.state;
        actions.push(...step.actions);
    }
    return { state: next, actions, retryAt };
}

/** The largest share of the slots that late requests leave free. */
const MAX_HEADROOM_SHARE = 0.1;

/** How many slots late requests leave free for requests that are on time. */
function lateHeadroom(state: states.State): number {
    return Math.min(Math.sqrt(state.decodeSlots), state.decodeSlots * MAX_HEADROOM_SHARE);
}

/** Whether a plan meets the first-token deadline, as far as it still applies. */
function meetsTarget(state: states.State, waiting: states.WaitingRequest, plan: placement.PlacementPlan): boolean {
    const { ask: request } = waiting;
    return waiting.late || request.retry || plan.transferDoneAt + state.tokenMs <= request.firstTokenDeadline;
}

/** Safety factor for the expected duration of an answer. */
const DURATION_MARGIN = 1.05;

function grant(state: states.State, waiting: states.WaitingRequest, plan: placement.PlacementPlan): Step {
    const { ask: request } = waiting;
    const action: states.Reservation["grant"] = {
        kind: messages.ActionKind.Grant,
        id: request.id,
        prefill: plan.prefill.name,
        decode: plan.decode.name,
        startAt: plan.startAt,
        prefillMs: plan.prefillDoneAt - plan.startAt,
        transferMs: plan.transferDoneAt - plan.prefillDoneAt,
    };
    const reservation: states.Reservation = {
        ask: request,
        prefill: plan.prefill.name,
        decode: plan.decode.name,
        endsBy: plan.transferDoneAt + request.outputTokens * plan.decode.tokenMs * DURATION_MARGIN,
        pieces: placement.requiredPieces(state.settings, request),
        cost: waiting.cost,
        prefillTokens: plan.prefillTokens,
        grant: action,
        prefillDoneAt: plan.prefillDoneAt,
    };
    decision.invariant(
        engines.slotFreeAt(plan.decode) <= plan.transferDoneAt,
        "the KV cache would arrive before the reserved slot is free",
    );
    const served = states.removeWaiting(state, request.id, true);
    const reserved = reserve(served, reservation, plan);
    return {
        state: { ...reserved, reservations: reserved.reservations.set(request.id, reservation) },
        actions: [action],
    };
}

/** Reserves the engines, memory and links of a plan. */
function reserve(state: states.State, reservation: states.Reservation, plan: placement.PlacementPlan): states.State {
    const suspects = reservation.ask.suspect ? 1 : 0;
    const { prefill, decode, prefillDoneAt } = plan;
    const prefilling = states.putEngine(state, {
        ...prefill,
        busyUntil: prefillDoneAt,
        linkBusyUntil: plan.prefillLinkBusyUntil,
        suspects: prefill.suspects + suspects,
    });
    const decodeReservations = decode.reservations.set({ endsBy: reservation.endsBy, id: reservation.ask.id }, true);
    decision.invariant(
        decodeReservations.size <= decode.slots + engines.MAX_RESERVED_AHEAD,
        "more slots are reserved than may be reserved in advance",
    );
    const decoding = states.putEngine(prefilling, {
        ...decode,
        reservations: decodeReservations,
        reservedPieces: decode.reservedPieces + reservation.pieces,
        linkBusyUntil: plan.decodeLinkBusyUntil,
        suspects: decode.suspects + suspects,
        nextProbeAt: engines.isSlow(decode, state.settings)
            ? placement.nextProbeTime(plan.startAt)
            : decode.nextProbeAt,
    });
    const use: prefixIndex.PrefixUse = {
        engine: prefill.name,
        hashes: reservation.ask.prefixHashes,
        capacity: placement.maxPrefixHashes(state.settings, prefill),
        at: prefillDoneAt,
    };
    return { ...decoding, prefixIndex: prefixIndex.recordUse(decoding.prefixIndex, use) };
}

/** Requests a wake event for the next time at which a request can be placed or must be shed. */
function scheduleWake(
    state: states.State,
    actions: readonly messages.Action[],
    now: decision.Milliseconds,
    retryAt: decision.Milliseconds,
): Step {
    const expiry = state.byLatestStart.first()?.[0].at ?? Infinity;
    const next = Math.max(now + 1, Math.min(retryAt, expiry + 1));
    if (next === Infinity || next >= state.wakeAt && state.wakeAt > now) {
        return { state, actions };
    }
    return { state: { ...state, wakeAt: next }, actions: [...actions, { kind: messages.ActionKind.WakeAt, at: next }] };
}
