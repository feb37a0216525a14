import type * as decision from "@citronlead/decision";
import * as newest from "./newest.js";
import type * as rooms from "./room.js";

/** A refused request, as far as its return concerns. */
export interface RefusedRequest extends rooms.RoomNeed {
    readonly content: string;
    readonly urgency: number;
    readonly targetAt: decision.Milliseconds;
    readonly deadlineAt: decision.Milliseconds;
}

/** When a refused caller should return. */
export interface PlannedReturn {
    readonly at: decision.Milliseconds;
    /** Whether room is kept for it then. */
    readonly promised: boolean;
}

/** Room that is kept for a caller that was told to return. */
export interface Promised {
    readonly need: rooms.RoomNeed;
    readonly isLarge: boolean;
    readonly urgency: number;
    readonly at: decision.Milliseconds;
}

/** A caller that has returned. */
export interface Returned {
    readonly promised: boolean;
    /** Whether it is large among the requests of its urgency. */
    readonly isLarge: boolean;
    /** Target of its first attempt. */
    readonly targetAt: decision.Milliseconds;
}

/** Shortest time until a return. */
const MIN_RETURN_MS = 300;
/** Share of the time that callers have left which they may wait before they return; most leave after a third. */
const MAX_RETURN_SHARE = 0.3;
/** Share of the room that comes which is promised; the rest serves requests that can be on time. */
const PROMISED_SHARE = 0.1;
/** The same for large requests. */
const LARGE_PROMISED_SHARE = 0.15;
/** Multiple of the mean amount of its urgency from which a request is large. */
const LARGE_FACTOR = 1.6;
/** How much earlier or later than told a caller may return: the network, and its own connection. */
const EARLY_MS = 200;
const LATE_MS = 700;
/** Maximum number of refused requests that are remembered. */
const MAX_REFUSED = 2_000;

interface Refused extends PlannedReturn {
    readonly request: RefusedRequest;
    readonly isLarge: boolean;
}

/** What room there is for the returns of one urgency. */
export interface ReturnRoom {
    /** When room for the request comes; undefined if none is in sight. */
    readonly startAt: decision.Milliseconds | undefined;
    /** Amount of room that comes, in proportion to the demand of its urgency. */
    readonly drainPerMs: number;
    /** Mean amount of the requests of its urgency. */
    readonly meanAmount: number;
}

/**
 * When refused callers return, and what is kept for them. Answers bursts after which all refused callers return at once:
 * returns are spread over the time in which room for them comes. Large requests, which rarely find room by themselves, do not
 * compete with others for promises.
 */
export class ReturnCalendar {
    private readonly refused = new Map<string, Refused>();
    /** Until when promises are booked, by urgency and size. */
    private readonly bookedUntil = new Map<string, decision.Milliseconds>();

    /** Plans the return of a refused request. `fraction`, from 0 to 1, spreads callers without a promise. */
    plan(
        request: RefusedRequest,
        { startAt, drainPerMs, meanAmount }: ReturnRoom,
        fraction: number,
        now: decision.Milliseconds,
    ): PlannedReturn {
        const latest = now + Math.max(MIN_RETURN_MS, (request.deadlineAt - now) * MAX_RETURN_SHARE);
        const isLarge = request.amount >= LARGE_FACTOR * meanAmount;
        const calendar = `${request.urgency}/${isLarge}`;
        const booked = Math.max(now, this.bookedUntil.get(calendar) ?? now)
            + request.amount / (drainPerMs * (isLarge ? LARGE_PROMISED_SHARE : PROMISED_SHARE));
        const at = Math.max(startAt ?? Infinity, booked, now + MIN_RETURN_MS);
        const promised = at <= latest;
        if (promised) {
            this.bookedUntil.set(calendar, booked);
        }
        const earliest = Math.min(latest, now + MIN_RETURN_MS + (latest - now) / 2);
        const planned = { promised, at: promised ? at : earliest + (latest - earliest) * fraction };
        newest.setNewest(this.refused, request.content, { ...planned, request, isLarge }, MAX_REFUSED);
        return planned;
    }

    /** What is known of a request that may be a return. Its promise ends with it; one that comes early has none. */
    take(content: string, now: decision.Milliseconds): Returned | undefined {
        const known = this.refused.get(content);
        if (!known || now > known.request.deadlineAt) {
            return undefined;
        }
        this.refused.delete(content);
        const { at, isLarge, request: { targetAt } } = known;
        return { promised: known.promised && now >= at - EARLY_MS && now <= at + LATE_MS, isLarge, targetAt };
    }

    /** The promises that are not yet kept. */
    promises(now: decision.Milliseconds): Promised[] {
        return [...this.refused.values()]
            .filter(({ promised, at }) => promised && now <= at + LATE_MS)
            .map(({ request, isLarge, at }) => ({ need: request, isLarge, urgency: request.urgency, at }));
    }
}
