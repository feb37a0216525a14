import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import type * as exchanges from "../exchange.js";

/** Period at which waiters retry even if no request of this host has ended: those of other hosts free memory too. */
const WAKE_PERIOD_MS = 40;
/** Number of waiters that are woken per period. */
const WAKES_PER_PERIOD = 2;
/**
 * Number of periods between the retries of overdue waiters. Requests at other hosts, which this host does not see, may
 * still meet their targets; infrequent retries leave the capacity to them.
 */
const OVERDUE_WAKE_PERIODS = 5;
/** Time from a reservation to the first event of an average request: a prefill and the first decode step. */
const FIRST_EVENT_DELAY_MS = 220;
/** How long requests that missed their target keep waiting for memory that no other request needs. */
const MAX_OVERDUE_MS = 1_500;
/** Maximum number of waiting requests per service and host; their bodies are held in memory. */
const MAX_WAITERS = 256;

/** Why a waiter is woken. */
export enum WakeReason {
    /** It may try to reserve capacity. */
    Try = "try",
    /** Its wait has expired, or its request has ended. */
    GiveUp = "giveUp",
}

/** Queue of this host's requests to one service that wait for capacity; wakes them in order. */
export class CapacityQueue {
    private readonly queue = new dispatch.WaitQueue({
        firstEventDelayMs: FIRST_EVENT_DELAY_MS,
        maxOverdueMs: MAX_OVERDUE_MS,
        maxWaiters: MAX_WAITERS,
    });
    private readonly wakeCallbacks = new Map<number, (reason: WakeReason) => void>();
    /** Sizes of the reservations of the service's requests. */
    readonly typicalReservation = new dispatch.TypicalReservation();
    private lastId = 0;
    private periodCount = 0;

    constructor(scope: lifecycle.Scope, private readonly clock: decision.Clock) {
        lifecycle.every(
            scope,
            WAKE_PERIOD_MS,
            () => this.wakeWaiters(WAKES_PER_PERIOD, ++this.periodCount % OVERDUE_WAKE_PERIODS === 0),
        );
    }

    /** Whether requests are waiting, which go before a new one. */
    get hasWaiters(): boolean {
        return this.queue.size > 0;
    }

    /** Adds a request and returns its id. Undefined if the queue is full. */
    add(exchange: exchanges.Exchange): number | undefined {
        const id = ++this.lastId;
        const added = this.queue.add({
            id,
            targetAt: exchange.latencyTargetAt,
            deadlineAt: exchange.deadlineAt,
            priority: exchange.urgency,
        });
        return added ? id : undefined;
    }

    /** Whether a request that gets capacity now meets its latency target. */
    canMeetTarget({ latencyTargetAt }: exchanges.Exchange): boolean {
        return this.queue.canMeetTarget(latencyTargetAt, this.clock());
    }

    /** Waits until the waiter may try or has to give up. */
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

    /** Removes a waiter, which got capacity (`served`) or gave up. */
    remove(id: number, served: boolean): void {
        this.queue.remove(id, served, this.clock());
    }

    /** Wakes the next waiter after a request of this host has freed memory on an engine. */
    onCapacityFreed(): void {
        this.wakeWaiters(1, true);
    }

    /** Retry-After for a caller that is refused now. `jitter`, from 0 to 1, spreads callers. */
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
            if (!includeOverdue && !this.queue.canMeetTarget(waiter.targetAt, now)) {
                continue;
            }
            this.wakeCallbacks.get(waiter.id)?.(WakeReason.Try);
        }
    }
}
