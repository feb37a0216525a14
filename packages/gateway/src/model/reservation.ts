import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import type * as exchanges from "../exchange.js";
import * as sends from "../send.js";
import type * as queues from "./queue.js";
import * as queueing from "./queue.js";

/** Engines asked for room in one try: enough to find it among many, few enough for a try to take milliseconds. */
const ENGINES_PER_ATTEMPT = 4;
/** An engine answers a reservation at once, whatever it runs; one that does not is down. */
const RESERVE_TIMEOUT_MS = 200;
/** How long memory is held: a prefill, its queue and one more try. */
const RESERVATION_TTL_MS = 1_500;
/** Sends in flight that another availability zone must save before it is taken. */
const CROSS_ZONE_PENALTY = 0.5;

/** Memory and a slot at an engine, held for one request. */
export interface Reservation {
    readonly candidate: dispatch.Candidate;
    /** Undefined if the engine does not take reservations. */
    readonly id: string | undefined;
}

/** Why no room was found. */
export enum ReservationFailure {
    /** Every engine that was asked is full. */
    Full = "full",
    /** There is no engine that could be asked. */
    NoEngine = "noEngine",
    /** The wait was given up. */
    GivenUp = "givenUp",
}

/** Reserves room at an engine, waiting in the queue while all are full. */
export async function reserveCapacity(
    exchange: exchanges.Exchange,
    queue: queues.CapacityQueue,
): Promise<Reservation | ReservationFailure> {
    if (!queue.hasWaiters) {
        const reservation = await tryReserve(exchange);
        if (typeof reservation !== "string") {
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
            const reservation = await tryReserve(exchange);
            if (typeof reservation !== "string") {
                served = true;
                return reservation;
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

/** Engines that decode, best first. */
function rankDecodeEngines(exchange: exchanges.Exchange): dispatch.Candidate[] {
    const { context, service } = exchange;
    const engines = context.pool.candidates(service)
        .filter(({ upstream }) => upstream.stage !== routing.EngineStage.Prefill);
    const options = {
        availabilityZone: context.settings.availabilityZone,
        crossZonePenalty: CROSS_ZONE_PENALTY,
        random: context.random,
    };
    return dispatch.rankCandidates(engines, options, context.clock());
}

async function tryReserve(exchange: exchanges.Exchange): Promise<Reservation | ReservationFailure> {
    const { context } = exchange;
    const engines = rankDecodeEngines(exchange);
    const maxReservationMs = context.storeView.activeConfiguration()?.table.serviceByName.get(exchange.service)?.engine
        ?.reservationLimitMs;
    if (engines.length === 0) {
        return ReservationFailure.NoEngine;
    }
    if (maxReservationMs === undefined) {
        return { candidate: engines[0] as dispatch.Candidate, id: undefined };
    }
    for (const candidate of engines.slice(0, ENGINES_PER_ATTEMPT)) {
        if (exchange.isOver) {
            return ReservationFailure.GivenUp;
        }
        const id = await reserve(exchange, candidate, Math.min(maxReservationMs, RESERVATION_TTL_MS));
        if (id !== undefined) {
            return { candidate, id };
        }
    }
    return ReservationFailure.Full;
}

async function reserve(
    exchange: exchanges.Exchange,
    candidate: dispatch.Candidate,
    timeToLiveMs: decision.Milliseconds,
): Promise<string | undefined> {
    const { context } = exchange;
    const startedAt = context.clock();
    const call = context.wire.reserve(exchange.expectedTokens, timeToLiveMs);
    const outcome = await sends.callEngine(exchange, candidate, call, RESERVE_TIMEOUT_MS, undefined);
    const now = context.clock();
    if (outcome.effect !== decision.Effect.Known) {
        candidate.health.record(dispatch.SendResult.Unreachable, now);
        exchange.recordCall("reserve", candidate.upstream.id, outcome.reason, startedAt);
        return undefined;
    }
    const id = outcome.value.status === 200 ? context.wire.readReservation(outcome.value.body) : undefined;
    if (id === undefined) {
        candidate.health.record(dispatch.SendResult.Full, now);
        context.metrics.sends.inc({ service: exchange.service, call: "reserve", result: "full" });
        exchange.refusedReservations++;
    }
    else {
        exchange.recordCall("reserve", candidate.upstream.id, "held", startedAt);
    }
    return id;
}

/** Gives a reservation back that no request will use. */
export function releaseReservation(exchange: exchanges.Exchange, reservation: Reservation): void {
    if (reservation.id !== undefined) {
        const call = exchange.context.wire.releaseReservation(reservation.id);
        releaseInBackground(
            exchange,
            reservation.candidate,
            call.path,
            () => sends.callEngine(exchange, reservation.candidate, call, RESERVE_TIMEOUT_MS, undefined),
        );
    }
}

/** Frees what an engine holds, without waiting; it lapses by itself if the call fails. */
export function releaseInBackground(
    exchange: exchanges.Exchange,
    candidate: dispatch.Candidate,
    what: string,
    call: () => Promise<decision.Outcome<unknown>>,
): void {
    void call().then((outcome) => {
        if (outcome.effect !== decision.Effect.Known) {
            exchange.context.log.decision("engine memory not freed", {
                requestId: exchange.metadata.requestId,
                upstream: candidate.upstream.id,
                what,
                reason: outcome.reason,
            });
        }
    });
}
