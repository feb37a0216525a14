import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import type * as exchanges from "./exchange.js";

/** Period in which waiters try again although nothing on this host has freed memory: other hosts free it too. */
const TRY_PERIOD_MS = 40;
/** Waiters that try in one period. */
const TRIES_A_PERIOD = 2;
/**
 * Periods between tries of requests that missed their target. Other hosts may have some that can still be on time, which
 * this host does not see; trying seldom leaves the room to them.
 */
const LATE_PERIODS = 5;
/** Time from room at an engine to the first event of a mean request: a prefill and a first step. */
const SERVICE_MS = 220;
/** How long requests that missed their target still wait for memory that no other needs. */
const LATE_WAIT_MS = 1_500;
/** Requests that wait on one host; their bodies are held in its memory. */
const CAPACITY = 256;

/** What a waiter is told. */
export enum Turn {
    Try = "try",
    GiveUp = "giveUp",
}

/** The waiting room of one service on this host: wakes waiters in its order. */
export class RoomQueue {
    private readonly room = new dispatch.WaitingRoom({
        serviceMs: SERVICE_MS,
        lateWaitMs: LATE_WAIT_MS,
        capacity: CAPACITY,
    });
    private readonly wakers = new Map<number, (turn: Turn) => void>();
    private lastId = 0;
    private period = 0;

    constructor(scope: lifecycle.Lifecycle, private readonly clock: decision.Clock) {
        lifecycle.every(scope, TRY_PERIOD_MS, () => this.pump(TRIES_A_PERIOD, ++this.period % LATE_PERIODS === 0));
    }

    /** Whether others wait that go before a newcomer. */
    get busy(): boolean {
        return this.room.size > 0;
    }

    /** Takes an exchange in. Undefined if the room is full. */
    enter(exchange: exchanges.Exchange): number | undefined {
        const id = ++this.lastId;
        const entered = this.room.enter({
            id,
            targetAt: exchange.targetAt,
            deadlineAt: exchange.deadlineAt,
            priority: exchange.priority,
        });
        return entered ? id : undefined;
    }

    /** Waits for the waiter's turn. */
    turn(id: number, signal: AbortSignal): Promise<Turn> {
        return new Promise((resolve) => {
            const settle = (turn: Turn) => {
                signal.removeEventListener("abort", onAbort);
                this.wakers.delete(id);
                resolve(turn);
            };
            const onAbort = () => settle(Turn.GiveUp);
            this.wakers.set(id, settle);
            signal.addEventListener("abort", onAbort);
            if (signal.aborted) {
                onAbort();
            }
        });
    }

    /** Takes a waiter out. */
    leave(id: number, served: boolean): void {
        this.room.leave(id, served, this.clock());
    }

    /** Memory was freed on an engine: the next waiter may try. */
    freed(): void {
        this.pump(1, true);
    }

    /** When a caller that is refused now finds room. The fraction, from 0 to 1, spreads callers. */
    returnAfterMs(fraction: number): decision.Milliseconds {
        return this.room.returnAfterMs(fraction, this.clock());
    }

    private pump(tries: number, late: boolean): void {
        if (this.room.size === 0) {
            return;
        }
        const now = this.clock();
        for (const waiter of this.room.hopeless(now)) {
            this.wakers.get(waiter.id)?.(Turn.GiveUp);
        }
        for (const waiter of this.room.first(tries, now)) {
            if (!late && !this.room.onTime(waiter, now)) {
                continue;
            }
            this.wakers.get(waiter.id)?.(Turn.Try);
        }
    }
}
