import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import type * as exchanges from "../exchange.js";

/** Period in which waiters try again although nothing on this host has freed memory: other hosts free it too. */
const WAKE_PERIOD_MS = 40;
/** Waiters that try in one period. */
const WAKES_PER_PERIOD = 2;
/**
 * Periods between tries of requests that missed their target. Other hosts may have some that can still be on time,
 * which this host does not see; trying seldom leaves the room to them.
 */
const OVERDUE_WAKE_PERIODS = 5;
/** Time from room at an engine to the first event of a mean request: a prefill and a first step. */
const FIRST_EVENT_DELAY_MS = 220;
/** How long requests that missed their target still wait for memory that no other needs. */
const MAX_OVERDUE_MS = 1_500;
/** Requests that wait on one host; their bodies are held in its memory. */
const MAX_WAITERS = 256;

/** What a waiter is told. */
export enum WakeReason {
    Try = "try",
    GiveUp = "giveUp",
}

/** The waiting room of one service on this host: wakes waiters in its order. */
export class CapacityQueue {
    private readonly queue = new dispatch.WaitQueue({
        firstEventDelayMs: FIRST_EVENT_DELAY_MS,
        maxOverdueMs: MAX_OVERDUE_MS,
        maxWaiters: MAX_WAITERS,
    });
    private readonly wakeCallbacks = new Map<number, (turn: WakeReason) => void>();
    private lastId = 0;
    private periodCount = 0;

    constructor(scope: lifecycle.Lifecycle, private readonly clock: decision.Clock) {
        lifecycle.every(
            scope,
            WAKE_PERIOD_MS,
            () => this.wakeWaiters(WAKES_PER_PERIOD, ++this.periodCount % OVERDUE_WAKE_PERIODS === 0),
        );
    }

    /** Whether others wait that go before a newcomer. */
    get hasWaiters(): boolean {
        return this.queue.size > 0;
    }

    /** Takes an exchange in. Undefined if the room is full. */
    add(exchange: exchanges.Exchange): number | undefined {
        const id = ++this.lastId;
        const added = this.queue.add({
            id,
            targetAt: exchange.latencyTargetAt,
            deadlineAt: exchange.deadlineAt,
            priority: exchange.priority,
        });
        return added ? id : undefined;
    }

    /** Waits for the waiter's turn. */
    waitForTurn(id: number, signal: AbortSignal): Promise<WakeReason> {
        return new Promise((resolve) => {
            const wake = (reason: WakeReason) => {
                signal.removeEventListener("abort", onAbort);
                this.wakeCallbacks.delete(id);
                resolve(reason);
            };
            const onAbort = () => wake(WakeReason.GiveUp);
            this.wakeCallbacks.set(id, wake);
            signal.addEventListener("abort", onAbort);
            if (signal.aborted) {
                onAbort();
            }
        });
    }

    /** Takes a waiter out. */
    remove(id: number, served: boolean): void {
        this.queue.remove(id, served, this.clock());
    }

    /** Memory was freed on an engine: the next waiter may try. */
    onCapacityFreed(): void {
        this.wakeWaiters(1, true);
    }

    /** When a caller that is refused now finds room. The fraction, from 0 to 1, spreads callers. */
    retryAfterMs(jitter: number): decision.Milliseconds {
        return this.queue.retryAfterMs(jitter, this.clock());
    }

    private wakeWaiters(count: number, includeOverdue: boolean): void {
        if (this.queue.size === 0) {
            return;
        }
        const now = this.clock();
        for (const waiter of this.queue.expired(now)) {
            this.wakeCallbacks.get(waiter.id)?.(WakeReason.GiveUp);
        }
        for (const waiter of this.queue.first(count, now)) {
            if (!includeOverdue && !this.queue.canMeetTarget(waiter, now)) {
                continue;
            }
            this.wakeCallbacks.get(waiter.id)?.(WakeReason.Try);
        }
    }
}
