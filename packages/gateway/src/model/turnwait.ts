import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import type * as exchanges from "../exchange.js";
import type * as turns from "../turns.js";
import * as reservations from "./reservation.js";

/** Number of turns that a request tries before it goes on without the owner. */
const MAX_TURN_TRIES = 20;

/**
 * Takes the turns that the owner of the service's order gives, until one brings room. Undefined if this host has to go on
 * without an owner.
 */
export async function waitForTurn(
    exchange: exchanges.Exchange,
    seeker: turns.TurnSeeker,
    tryPlace: (place: string) => Promise<reservations.Reservation | dispatch.TurnProblem>,
    hasPlaces: () => boolean,
): Promise<reservations.Reservation | reservations.EarlyRefusal | reservations.ReservationFailure | undefined> {
    const { clock, log, metrics } = exchange.context;
    const { service } = exchange;
    const startedAt = clock();
    let tries = 0;
    const end = <Result>(outcome: string, result: Result, more: object = {}) => {
        const waitedMs = clock() - startedAt;
        metrics.turnWaiting.observe({ service, urgency: exchange.urgency, outcome }, waitedMs / decision.SECOND_MS);
        log.decision("turn ended", {
            requestId: exchange.metadata.requestId,
            service,
            urgency: exchange.urgency,
            reservedTokens: exchange.reservedTokens,
            decidedBy: seeker.owner,
            outcome,
            tries,
            waitedMs: Math.round(waitedMs),
            position: seeker.forecast?.position,
            forecastMs: seeker.forecast && Math.round(seeker.forecast.waitMs),
            ...more,
        });
        return result;
    };
    while (tries < MAX_TURN_TRIES) {
        const turn = await seeker.next(exchange.signal);
        if (exchange.isOver || exchange.refuseIfStopping()) {
            seeker.withdraw();
            return end("given up", reservations.ReservationFailure.GivenUp);
        }
        if (turn === undefined) {
            return end("no owner", undefined);
        }
        if (!hasPlaces()) {
            seeker.withdraw();
            return end("no engine", undefined);
        }
        if (turn.kind === dispatch.TurnKind.Refuse) {
            const { returnInMs, promised, waitMs } = turn;
            const forecastMs = Number.isFinite(waitMs) ? Math.round(waitMs) : undefined;
            return end("refused", { returnInMs }, { returnInMs: Math.round(returnInMs), promised, forecastMs });
        }
        tries++;
        const reservation = await tryPlace(turn.place);
        if (typeof reservation !== "string") {
            return end("room", reservation);
        }
        seeker.giveBack(reservation);
    }
    seeker.withdraw();
    return end("turns in vain", undefined);
}
