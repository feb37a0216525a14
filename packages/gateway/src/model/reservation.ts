import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import * as background from "../background.js";
import type * as exchanges from "../exchange.js";
import * as regions from "../regions.js";
import * as sends from "../send.js";
import * as ranking from "../upstream/ranking.js";
import type * as wires from "../wire.js";
import type * as queues from "./queue.js";
import * as queueing from "./queue.js";

/** Engines asked in one attempt: enough to find capacity among many, few enough for an attempt to take milliseconds. */
const ENGINES_PER_ATTEMPT = 4;
/** Timeout of a reservation call. Engines respond at once whatever their load, so one that does not respond is down. */
const RESERVE_TIMEOUT_MS = 200;
/** Lifetime of a reservation: long enough for a prefill, its queueing and one more attempt. */
const RESERVATION_TTL_MS = 1_500;
/** Cost of an engine in another availability zone, in sends in flight. */
const CROSS_ZONE_PENALTY = 0.5;

/** Memory and a slot that an engine reserves for one request. */
export interface Reservation {
    readonly candidate: dispatch.Candidate;
    /** Undefined if the service does not support reservations. */
    readonly id: string | undefined;
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
): Promise<Reservation | ReservationFailure> {
    queue.typicalReservation.observe(exchange.reservedTokens);
    if (!queue.hasWaiters) {
        const reservation = await tryReserve(exchange, queue, isEligible);
        if (typeof reservation !== "string" || reservation === ReservationFailure.Away) {
            return reservation;
        }
    }
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
    const maxReservationMs = context.storeView.activeConfiguration()?.table.serviceByName.get(exchange.service)?.engine
        ?.maxReservationMs;
    if (engines.length === 0) {
        return failureWithoutEngines(exchange, isEligible);
    }
    if (maxReservationMs === undefined) {
        const { candidate } = await context.limits.firstPermitted(engines);
        return candidate ? { candidate, id: undefined } : ReservationFailure.Full;
    }
    const timeToLiveMs = Math.min(maxReservationMs, RESERVATION_TTL_MS);
    const headroomTokens = dispatch.headroomTokens({
        onTime: queue.canMeetTarget(exchange),
        typicalTokens: queue.typicalReservation.tokens,
    });
    let asked = 0;
    for (const candidate of engines) {
        if (exchange.isOver) {
            return ReservationFailure.GivenUp;
        }
        const permit = await context.limits.acquire(candidate.upstream);
        if (!permit.granted) {
            continue;
        }
        const reservation = await reserveBesides(exchange, candidate, headroomTokens, timeToLiveMs);
        if (reservation) {
            return reservation;
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
    timeToLiveMs: decision.Milliseconds,
): Promise<Reservation | undefined> {
    if (headroomTokens === 0) {
        return reserve(exchange, candidate, exchange.reservedTokens, timeToLiveMs);
    }
    const headroom = await reserve(exchange, candidate, headroomTokens, timeToLiveMs);
    if (!headroom) {
        return undefined;
    }
    const reservation = await reserve(exchange, candidate, exchange.reservedTokens, timeToLiveMs);
    releaseReservation(exchange, headroom);
    return reservation;
}

async function reserve(
    exchange: exchanges.Exchange,
    candidate: dispatch.Candidate,
    tokens: number,
    timeToLiveMs: decision.Milliseconds,
): Promise<Reservation | undefined> {
    const { context } = exchange;
    const startedAt = context.clock();
    const call = context.wireFormat.reserveCall(tokens, timeToLiveMs);
    if (context.pool.exclusionOf(candidate.upstream, startedAt) !== undefined) {
        return undefined;
    }
    const outcome = await sends.callEngine(context, candidate, call, {
        name: "reserve",
        purpose: sends.ControlPurpose.Work,
        timeoutMs: RESERVE_TIMEOUT_MS,
    });
    const now = context.clock();
    if (outcome.effect !== decision.Effect.Known) {
        candidate.health.record(dispatch.SendResult.Unreachable, now);
        exchange.recordCall("reserve", candidate.upstream, outcome.reason, startedAt);
        return undefined;
    }
    exchange.hasContact = true;
    const id = outcome.value.status === 200 ? context.wireFormat.parseReservationId(outcome.value.body) : undefined;
    if (id === undefined) {
        candidate.health.record(dispatch.SendResult.Full, now);
        context.metrics.sends.inc({ service: exchange.service, call: "reserve", result: "full" });
        exchange.refusedReservations++;
        return undefined;
    }
    exchange.recordCall("reserve", candidate.upstream, "held", startedAt);
    const reservation = { candidate, id };
    if (!context.pool.acceptsWork(candidate.upstream, now)) {
        releaseReservation(exchange, reservation);
        return undefined;
    }
    return reservation;
}

/** Releases a reservation that will not be used. */
export function releaseReservation(exchange: exchanges.Exchange, { candidate, id }: Reservation): void {
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
    options: Omit<sends.ControlOptions, "purpose">,
): void {
    const { log } = context;
    background.runInBackground(log, options.name, async () => {
        const purpose = sends.ControlPurpose.Aftercare;
        const outcome = await sends.callEngine(context, candidate, call, { ...options, purpose });
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
