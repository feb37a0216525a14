import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import * as background from "../background.js";
import * as controls from "../control.js";
import type * as exchanges from "../exchange.js";
import * as regions from "../regions.js";
import type * as turns from "../turns.js";
import * as ranking from "../upstream/ranking.js";
import type * as wires from "../wire.js";
import type * as queues from "./queue.js";
import * as queueing from "./queue.js";
import * as turnwaits from "./turnwait.js";

/** Engines asked in one attempt: enough to find capacity among many, few enough for an attempt to take milliseconds. */
const ENGINES_PER_ATTEMPT = 4;
/** Timeout of a reservation call. Engines respond at once whatever their load, so one that does not respond is down. */
const RESERVE_TIMEOUT_MS = 200;
/** Lifetime of a reservation: long enough for a prefill, its queueing and one more attempt. */
const RESERVATION_TTL_MS = 1_500;
/** Cost of an engine in another availability zone, in sends in flight. */
const CROSS_ZONE_PENALTY = 0.5;

/** What an engine holds for a request. */
interface Held {
    readonly candidate: dispatch.Candidate;
    /** Undefined if the service does not support reservations. */
    readonly id: string | undefined;
}

/** Memory and a slot that an engine reserves for one request. */
export interface Reservation extends Held {
    /** Its id among the runs of this host. */
    readonly run: string;
}

/** Why a request waits no longer: no room comes in time, and its caller is told when to return. */
export interface EarlyRefusal {
    readonly returnInMs: decision.Milliseconds;
}

/** Why no capacity was reserved. */
export enum ReservationFailure {
    /** Every engine that was asked is full, or the queue is. */
    Full = "full",
    /** No engine is available. */
    NoEngine = "noEngine",
    /** Each engine leaves, or wants nothing for longer than the request can wait. */
    Away = "away",
    /** The wait expired, or the request ended. */
    GivenUp = "givenUp",
}

/** Whether a request may run at an engine. */
export type EngineFilter = (upstream: routing.Upstream) => boolean;

/** Reserves capacity at an engine that passes the filter. Waits in the queue while the engines are full. */
export async function reserveCapacity(
    exchange: exchanges.Exchange,
    queue: queues.CapacityQueue,
    isEligible: EngineFilter,
): Promise<Reservation | EarlyRefusal | ReservationFailure> {
    queue.typicalReservation.observe(exchange.reservedTokens);
    const { context, service } = exchange;
    const takesTurns = mayTakeTurns(exchange, isEligible);
    if (!queue.hasWaiters && !(takesTurns && context.turns.isContended(service))) {
        const refusedBefore = exchange.refusedReservations;
        const reservation = await tryReserve(exchange, queue, isEligible);
        if (typeof reservation !== "string" || reservation === ReservationFailure.Away) {
            return reservation;
        }
        // Engines that could not be asked, such as those that warm up, do not lack room.
        if (reservation !== ReservationFailure.Full || exchange.refusedReservations === refusedBefore) {
            return waitInQueue(exchange, queue, isEligible);
        }
    }
    const hasEngines = () =>
        rankDecodeEngines(exchange, isEligible).length > 0
        && context.reachability.stateOf(service) === dispatch.Reachability.Reachable;
    const seeker = takesTurns && hasEngines() ? context.turns.seek(questionOf(exchange)) : undefined;
    const result = seeker && await turnwaits.waitForTurn(
        exchange,
        seeker,
        (place) => tryTurn(exchange, place, seeker, isEligible),
        hasEngines,
    );
    return result ?? waitInQueue(exchange, queue, isEligible);
}

/**
 * Whether the engines are shared out by turns: requests differ in urgency, the engines grant reservations, and the request may
 * run at each of them.
 */
function mayTakeTurns({ context, service }: exchanges.Exchange, isEligible: EngineFilter): boolean {
    const table = context.storeView.activeConfiguration()?.table;
    return table?.servicesWithUrgencies.has(service) === true
        && table.serviceByName.get(service)?.engine?.maxReservationMs !== undefined
        && context.pool.candidates(service, context.clock())
            .every(({ upstream }) => !canDecode(upstream) || isEligible(upstream));
}

function questionOf(exchange: exchanges.Exchange): turns.TurnQuestion {
    const { workspace } = exchange;
    return {
        service: exchange.service,
        route: exchange.route.name,
        urgency: exchange.urgency,
        targetAt: exchange.latencyTargetAt,
        deadlineAt: exchange.deadlineAt,
        workspace: workspace?.name ?? "",
        workspaceWeight: workspace && workspace.ratePerSecond > 0 ? workspace.ratePerSecond : 1,
        hadRoom: exchange.permits.arrivals > 0 || exchange.permits.hasPrefill,
        content: exchange.fingerprints.content,
        amount: exchange.reservedTokens,
    };
}

/** Reserves capacity at the engine that a turn names. */
async function tryTurn(
    exchange: exchanges.Exchange,
    place: string,
    seeker: turns.TurnSeeker,
    isEligible: EngineFilter,
): Promise<Reservation | dispatch.TurnProblem> {
    const { context } = exchange;
    const candidate = rankDecodeEngines(exchange, isEligible)
        .find(({ upstream }) => routing.incarnationOf(upstream) === place);
    const permit = candidate && await context.limits.acquire(candidate.upstream, dispatch.WarmUpSend.Reserve);
    if (!candidate || !permit?.granted) {
        return dispatch.TurnProblem.Unsuitable;
    }
    const refusedBefore = exchange.refusedReservations;
    const held = await reserve(exchange, candidate, exchange.reservedTokens, timeToLiveMs(exchange) ?? 0);
    if (!held) {
        permit.refund();
        return exchange.refusedReservations > refusedBefore
            ? dispatch.TurnProblem.Full
            : dispatch.TurnProblem.Unreachable;
    }
    return beginRun(exchange, held, seeker);
}

/** Lifetime of a reservation; undefined if the engines of the service grant none. */
function timeToLiveMs({ context, service }: exchanges.Exchange): decision.Milliseconds | undefined {
    const { maxReservationMs } = context.storeView.activeConfiguration()?.table.serviceByName.get(service)?.engine
        ?? {};
    return maxReservationMs === undefined ? undefined : Math.min(maxReservationMs, RESERVATION_TTL_MS);
}

function beginRun(exchange: exchanges.Exchange, held: Held, seeker?: turns.TurnSeeker): Reservation {
    const run = exchange.context.turns.begin({
        service: exchange.service,
        route: exchange.route.name,
        place: routing.incarnationOf(held.candidate.upstream),
        amount: exchange.reservedTokens,
    }, seeker);
    return { ...held, run };
}

/** Records that a request no longer uses its engine. */
export function endRun({ context }: exchanges.Exchange, { run }: Reservation): void {
    context.turns.end(run);
}

/** Waits in the queue of this host while the engines are full. */
async function waitInQueue(
    exchange: exchanges.Exchange,
    queue: queues.CapacityQueue,
    isEligible: EngineFilter,
): Promise<Reservation | ReservationFailure> {
    const id = queue.add(exchange);
    if (id === undefined) {
        return ReservationFailure.Full;
    }
    const startedAt = exchange.context.clock();
    let served = false;
    try {
        while (await queue.waitForTurn(id, exchange.signal) === queueing.WakeReason.Try) {
            if (exchange.refuseIfStopping()) {
                return ReservationFailure.GivenUp;
            }
            const reservation = await tryReserve(exchange, queue, isEligible);
            if (typeof reservation !== "string") {
                served = true;
                return reservation;
            }
            if (reservation === ReservationFailure.Away) {
                return reservation;
            }
            if (exchange.context.reachability.stateOf(exchange.service) !== dispatch.Reachability.Reachable) {
                return ReservationFailure.NoEngine;
            }
        }
        return ReservationFailure.GivenUp;
    }
    finally {
        queue.remove(id, served);
        exchange.context.metrics.waiting.observe(
            { service: exchange.service },
            (exchange.context.clock() - startedAt) / decision.SECOND_MS,
        );
    }
}

/** The engines that can decode, best first. */
function rankDecodeEngines(exchange: exchanges.Exchange, isEligible: EngineFilter): dispatch.Candidate[] {
    const { availabilityZone } = exchange.context.settings;
    return ranking.rankUpstreams(
        exchange,
        { availabilityZone, crossZonePenalty: CROSS_ZONE_PENALTY },
        (upstream) => canDecode(upstream) && isEligible(upstream),
    );
}

function canDecode({ stage }: routing.Upstream): boolean {
    return stage !== routing.EngineStage.Prefill;
}

/** Why no engine can be asked now: a request that can wait for one that is excluded waits as if all were full. */
function failureWithoutEngines(exchange: exchanges.Exchange, isEligible: EngineFilter): ReservationFailure {
    const { clock, pool } = exchange.context;
    const now = clock();
    const isCandidate = (upstream: routing.Upstream) =>
        canDecode(upstream) && regions.mayUse(exchange, upstream) && isEligible(upstream);
    const returnsInMs = pool.returnsInMs(exchange.service, now, isCandidate);
    if (returnsInMs === undefined) {
        return ReservationFailure.NoEngine;
    }
    const next = dispatch.decideWhileAway(returnsInMs, exchange.latencyTargetAt - now, exchange.remainingMs);
    return next === dispatch.AwayDecision.Wait ? ReservationFailure.Full : ReservationFailure.Away;
}

async function tryReserve(
    exchange: exchanges.Exchange,
    queue: queues.CapacityQueue,
    isEligible: EngineFilter,
): Promise<Reservation | ReservationFailure> {
    const { context } = exchange;
    const engines = rankDecodeEngines(exchange, isEligible);
    const lifetimeMs = timeToLiveMs(exchange);
    if (engines.length === 0) {
        return failureWithoutEngines(exchange, isEligible);
    }
    if (lifetimeMs === undefined) {
        const { candidate } = await context.limits.firstPermitted(engines);
        return candidate ? beginRun(exchange, { candidate, id: undefined }) : ReservationFailure.Full;
    }
    const headroomTokens = dispatch.headroomTokens({
        onTime: queue.canMeetTarget(exchange),
        typicalTokens: queue.typicalReservation.tokens,
    });
    let asked = 0;
    for (const candidate of engines) {
        if (exchange.isOver) {
            return ReservationFailure.GivenUp;
        }
        const permit = await context.limits.acquire(candidate.upstream, dispatch.WarmUpSend.Reserve);
        if (!permit.granted) {
            continue;
        }
        const held = await reserveBesides(exchange, candidate, headroomTokens, lifetimeMs);
        if (held) {
            return beginRun(exchange, held);
        }
        permit.refund();
        if (++asked === ENGINES_PER_ATTEMPT) {
            break;
        }
    }
    return ReservationFailure.Full;
}

/** Reserves capacity at an engine that has as much memory free besides as `headroomTokens`. */
async function reserveBesides(
    exchange: exchanges.Exchange,
    candidate: dispatch.Candidate,
    headroomTokens: number,
    lifetimeMs: decision.Milliseconds,
): Promise<Held | undefined> {
    if (headroomTokens === 0) {
        return reserve(exchange, candidate, exchange.reservedTokens, lifetimeMs);
    }
    const headroom = await reserve(exchange, candidate, headroomTokens, lifetimeMs);
    if (!headroom) {
        return undefined;
    }
    const reservation = await reserve(exchange, candidate, exchange.reservedTokens, lifetimeMs);
    releaseHeld(exchange, headroom);
    return reservation;
}

async function reserve(
    exchange: exchanges.Exchange,
    candidate: dispatch.Candidate,
    tokens: number,
    lifetimeMs: decision.Milliseconds,
): Promise<Held | undefined> {
    const { context } = exchange;
    const startedAt = context.clock();
    const call = context.wireFormat.reserveCall(tokens, lifetimeMs);
    const grantOf = ({ status, body }: { readonly status: number; readonly body: unknown; }) =>
        status === 200 ? context.wireFormat.parseReservationId(body) : undefined;
    if (context.pool.exclusionOf(candidate.upstream, startedAt) !== undefined) {
        return undefined;
    }
    if (!(await context.limits.permitSend(candidate.upstream, dispatch.WarmUpSend.Reserve)).granted) {
        return undefined;
    }
    const outcome = await controls.callEngine(context, candidate, call, {
        name: "reserve",
        purpose: controls.ControlPurpose.Work,
        timeoutMs: RESERVE_TIMEOUT_MS,
        grantOf,
    });
    const now = context.clock();
    if (outcome.effect !== decision.Effect.Known) {
        candidate.health.record(dispatch.SendResult.Unreachable, now);
        exchange.recordCall("reserve", candidate.upstream, outcome.reason, startedAt);
        return undefined;
    }
    exchange.hasContact = true;
    const id = grantOf(outcome.value);
    if (id === undefined) {
        candidate.health.record(dispatch.SendResult.Full, now);
        context.metrics.sends.inc({ service: exchange.service, call: "reserve", result: "full" });
        exchange.refusedReservations++;
        return undefined;
    }
    exchange.recordCall("reserve", candidate.upstream, "held", startedAt);
    const reservation = { candidate, id };
    if (!context.pool.acceptsWork(candidate.upstream, now)) {
        releaseHeld(exchange, reservation);
        return undefined;
    }
    return reservation;
}

/** Releases a reservation that will not be used. */
export function releaseReservation(exchange: exchanges.Exchange, reservation: Reservation): void {
    endRun(exchange, reservation);
    releaseHeld(exchange, reservation);
}

function releaseHeld(exchange: exchanges.Exchange, { candidate, id }: Held): void {
    if (id !== undefined) {
        const call = exchange.context.wireFormat.releaseReservationCall(id);
        releaseInBackground(exchange, candidate, call, { name: "release reservation", timeoutMs: RESERVE_TIMEOUT_MS });
    }
}

/** Releases a resource of an engine without waiting for the call. If the call fails, the resource expires by itself. */
export function releaseInBackground(
    { context, metadata }: exchanges.Exchange,
    candidate: dispatch.Candidate,
    call: wires.EngineCall,
    options: Omit<controls.ControlOptions, "purpose">,
): void {
    const { log } = context;
    background.runInBackground(log, options.name, async () => {
        const purpose = controls.ControlPurpose.Aftercare;
        const outcome = await controls.callEngine(context, candidate, call, { ...options, purpose });
        if (outcome.effect !== decision.Effect.Known) {
            log.decision("failed to release engine memory", {
                requestId: metadata.requestId,
                upstream: candidate.upstream.id,
                what: call.path,
                reason: outcome.reason,
            });
        }
    });
}
