import type * as decision from "@citronlead/decision";

/** A request that waits for room at an engine. */
export interface Waiter {
    readonly id: number;
    /** When the first event has to be out to be on time. */
    readonly targetAt: decision.Milliseconds;
    /** When the final answer is due at the latest. */
    readonly deadlineAt: decision.Milliseconds;
    /** Urgency, 0 first. */
    readonly priority: number;
}

/** How long requests wait. */
export interface WaitingTerms {
    /** Time from room to the first event. */
    readonly serviceMs: decision.Milliseconds;
    /** How long a request whose target is missed goes on waiting for room that no other needs. */
    readonly lateWaitMs: decision.Milliseconds;
    /** Requests that wait on this host at most. */
    readonly capacity: number;
}

/** Span over which the rate of departures is taken: long enough for some, short enough to follow a burst. */
const RATE_WINDOW_MS = 2_000;
/** Shortest wait that a caller is told: engines free memory within a few hundred milliseconds. */
const SHORTEST_RETURN_MS = 300;

/**
 * Requests that wait while the engines' memory is full. Those that can still be on time go first, the most urgent and
 * then the nearest target ahead; those that missed their target take what is left. A request leaves as soon as its wait
 * is known to be vain.
 */
export class WaitingRoom {
    private readonly waiters = new Map<number, Waiter>();
    private readonly departures: decision.Milliseconds[] = [];

    constructor(private readonly terms: WaitingTerms) {}

    get size(): number {
        return this.waiters.size;
    }

    /** Takes a request in. Returns false if the room is full. */
    enter(waiter: Waiter): boolean {
        if (this.waiters.size >= this.terms.capacity) {
            return false;
        }
        this.waiters.set(waiter.id, waiter);
        return true;
    }

    /** Takes a request out: it found room (served) or is given up. */
    leave(id: number, served: boolean, now: decision.Milliseconds): void {
        if (this.waiters.delete(id) && served) {
            this.departures.push(now);
        }
    }

    /** Whether a waiter can still be on time. */
    onTime(waiter: Waiter, now: decision.Milliseconds): boolean {
        return now + this.terms.serviceMs <= waiter.targetAt;
    }

    /** The waiters that go first, at most the given number. */
    first(count: number, now: decision.Milliseconds): Waiter[] {
        return [...this.waiters.values()].sort((one, other) => this.compare(one, other, now)).slice(0, count);
    }

    /** The waiters whose wait is vain by now. */
    hopeless(now: decision.Milliseconds): Waiter[] {
        const { serviceMs, lateWaitMs } = this.terms;
        return [...this.waiters.values()].filter((waiter) =>
            now + serviceMs > waiter.deadlineAt
            || now + serviceMs > waiter.targetAt + lateWaitMs
        );
    }

    /**
     * When a refused caller finds room: the time in which the waiters ahead leave at the rate of the last seconds. The
     * fraction, from 0 to 1, spreads callers over as much time again, so that they do not return as one wave.
     */
    returnAfterMs(fraction: number, now: decision.Milliseconds): decision.Milliseconds {
        while (this.departures.length > 0 && (this.departures[0] as number) < now - RATE_WINDOW_MS) {
            this.departures.shift();
        }
        const perMs = Math.max(1, this.departures.length) / RATE_WINDOW_MS;
        return Math.max(SHORTEST_RETURN_MS, this.waiters.size / perMs) * (1 + fraction);
    }

    private compare(one: Waiter, other: Waiter, now: decision.Milliseconds): number {
        const oneLate = this.onTime(one, now) ? 0 : 1;
        const otherLate = this.onTime(other, now) ? 0 : 1;
        return oneLate - otherLate || one.priority - other.priority || one.targetAt - other.targetAt;
    }
}
