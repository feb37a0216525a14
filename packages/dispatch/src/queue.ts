import type * as decision from "@citronlead/decision";

/** A request that waits for capacity at an engine. */
export interface Waiter {
    readonly id: number;
    /** When the first event is due by the latency target. */
    readonly targetAt: decision.Milliseconds;
    /** Deadline of the final response. */
    readonly deadlineAt: decision.Milliseconds;
    /** Smaller values are more urgent; 0 comes first. */
    readonly priority: number;
}

/** Limits on waiting. */
export interface WaitQueueOptions {
    /** Time from getting capacity to the first event. */
    readonly firstEventDelayMs: decision.Milliseconds;
    /** How long a request that missed its target keeps waiting for capacity that no other request needs. */
    readonly maxOverdueMs: decision.Milliseconds;
    /** Maximum number of requests that wait on this host. */
    readonly maxWaiters: number;
}

/** Window for the rate at which waiters are served: long enough to contain some, short enough to follow a burst. */
const DEPARTURE_WINDOW_MS = 2_000;
/** Shortest Retry-After: engines free memory within a few hundred milliseconds. */
const MIN_RETRY_AFTER_MS = 300;

/**
 * Priority queue of requests that wait while the memory of all engines is full. Requests that can still meet their
 * latency target come first, ordered by priority and then by target; overdue ones get what is left. A request expires
 * as soon as it is known that waiting cannot succeed.
 */
export class WaitQueue {
    private readonly waiters = new Map<number, Waiter>();
    private readonly servedTimes: decision.Milliseconds[] = [];

    constructor(private readonly options: WaitQueueOptions) {}

    get size(): number {
        return this.waiters.size;
    }

    /** Adds a request. Returns false if the queue is full. */
    add(waiter: Waiter): boolean {
        if (this.waiters.size >= this.options.maxWaiters) {
            return false;
        }
        this.waiters.set(waiter.id, waiter);
        return true;
    }

    /** Removes a request, which got capacity (`served`) or gave up. */
    remove(id: number, served: boolean, now: decision.Milliseconds): void {
        if (this.waiters.delete(id) && served) {
            this.servedTimes.push(now);
        }
    }

    /** Whether a request that gets capacity now meets a latency target. */
    canMeetTarget(targetAt: decision.Milliseconds, now: decision.Milliseconds): boolean {
        return now + this.options.firstEventDelayMs <= targetAt;
    }

    /** The first waiters in order, at most the given number. */
    first(count: number, now: decision.Milliseconds): Waiter[] {
        return [...this.waiters.values()].sort((one, other) => this.compare(one, other, now)).slice(0, count);
    }

    /** The waiters that can no longer be served in time. */
    expired(now: decision.Milliseconds): Waiter[] {
        const { firstEventDelayMs, maxOverdueMs } = this.options;
        return [...this.waiters.values()].filter((waiter) =>
            now + firstEventDelayMs > waiter.deadlineAt
            || now + firstEventDelayMs > waiter.targetAt + maxOverdueMs
        );
    }

    /**
     * Retry-After for a refused caller: the time to serve the current waiters at the rate of the last seconds.
     * `jitter`, from 0 to 1, spreads callers over as much time again, so that they do not all return at once.
     */
    retryAfterMs(jitter: number, now: decision.Milliseconds): decision.Milliseconds {
        while (this.servedTimes.length > 0 && (this.servedTimes[0] as number) < now - DEPARTURE_WINDOW_MS) {
            this.servedTimes.shift();
        }
        const servedPerMs = Math.max(1, this.servedTimes.length) / DEPARTURE_WINDOW_MS;
        return Math.max(MIN_RETRY_AFTER_MS, this.waiters.size / servedPerMs) * (1 + jitter);
    }

    private compare(one: Waiter, other: Waiter, now: decision.Milliseconds): number {
        const oneOverdue = this.canMeetTarget(one.targetAt, now) ? 0 : 1;
        const otherOverdue = this.canMeetTarget(other.targetAt, now) ? 0 : 1;
        return oneOverdue - otherOverdue || one.priority - other.priority || one.targetAt - other.targetAt;
    }
}
