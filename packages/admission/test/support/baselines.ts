import type * as admission from "../../src/index.js";

/** One request of a comparison. */
export interface Arrival {
    readonly at: number;
    readonly tokens: number;
    readonly patienceMs: number;
    /** A random fraction that selects the host to which the load balancer sends the request. */
    readonly hostFraction: number;
}

export interface Outcome {
    readonly granted: boolean;
    readonly delayMs: number;
}

interface QueuedRequest {
    readonly arrival: Arrival;
    readonly deadline: number;
    readonly index: number;
}

/** A token bucket with a queue ordered by deadline. Refuses at once what it cannot serve in time. */
class QueueingTokenBucket {
    private level = 0;
    private queue: QueuedRequest[] = [];

    /** The bucket is empty at the given time. */
    constructor(
        private rateLimit: admission.RateLimit,
        private readonly outcomes: Map<number, Outcome>,
        private refilledAt = 0,
    ) {}

    /** Advances to a time and serves the requests that fit by then. */
    advance(now: number): void {
        while (this.queue.length > 0) {
            const head = this.queue[0]!;
            const perMs = this.rateLimit.tokensPerSecond / 1_000;
            const ready = this.refilledAt + Math.max(0, head.arrival.tokens - this.level) / perMs;
            if (ready > now) {
                break;
            }
            this.refill(ready);
            this.level = Math.max(0, this.level - head.arrival.tokens);
            this.queue.shift();
            this.outcomes.set(head.index, { granted: true, delayMs: ready - head.arrival.at });
        }
        this.refill(now);
    }

    private refill(now: number): void {
        const added = Math.max(0, now - this.refilledAt) * this.rateLimit.tokensPerSecond / 1_000;
        this.level = Math.min(this.rateLimit.burstTokens, this.level + added);
        this.refilledAt = Math.max(now, this.refilledAt);
    }

    changeRateLimit(now: number, rateLimit: admission.RateLimit): void {
        this.advance(now);
        this.rateLimit = rateLimit;
    }

    receive(now: number, arrival: Arrival, index: number): void {
        this.advance(now);
        const entry = { arrival, index, deadline: arrival.at + arrival.patienceMs };
        const position = this.queue.findIndex((other) => other.deadline > entry.deadline);
        const queue = this.queue.toSpliced(position < 0 ? this.queue.length : position, 0, entry);
        if (arrival.tokens <= this.rateLimit.burstTokens && this.feasible(queue)) {
            this.queue = queue;
            this.advance(now);
        }
        else {
            this.outcomes.set(index, { granted: false, delayMs: now - arrival.at });
        }
    }

    private feasible(queue: readonly QueuedRequest[]): boolean {
        let demand = 0;
        return queue.every(({ arrival, deadline }) => {
            demand += arrival.tokens;
            return demand <= this.level + (deadline - this.refilledAt) * this.rateLimit.tokensPerSecond / 1_000;
        });
    }

    /** Removes all waiting requests, which are lost with the owner. Their callers retry. */
    removeAll(): QueuedRequest[] {
        return this.queue.splice(0);
    }
}

/** The time from the failure of a bucket's owner until the next owner has taken over. */
export interface OwnerOutage {
    readonly from: number;
    readonly until: number;
}

/** Simulates one owner of a workspace's whole rate. Without an outage it is a token bucket that never fails. */
export function simulateSingleOwner(
    rateLimit: admission.RateLimit,
    arrivals: readonly Arrival[],
    outage?: OwnerOutage,
): Outcome[] {
    const outcomes = new Map<number, Outcome>();
    let bucket = new QueueingTokenBucket(rateLimit, outcomes);
    let retrying: QueuedRequest[] = [];
    let phase = outage ? 0 : 2;
    const advanceOwnerTo = (now: number) => {
        if (phase === 0 && outage && now >= outage.from) {
            bucket.advance(outage.from);
            retrying = bucket.removeAll();
            phase = 1;
        }
        if (phase === 1 && outage && now >= outage.until) {
            phase = 2;
            bucket = new QueueingTokenBucket(rateLimit, outcomes, outage.until);
            retrying.forEach((entry) => retry(entry, outage.until));
            retrying = [];
        }
    };
    const retry = (entry: QueuedRequest, now: number) => {
        if (entry.deadline <= now) {
            outcomes.set(entry.index, { granted: false, delayMs: entry.arrival.patienceMs });
            return;
        }
        bucket.receive(now, entry.arrival, entry.index);
    };
    arrivals.forEach((arrival, index) => {
        advanceOwnerTo(arrival.at);
        if (phase === 1) {
            retrying.push({ arrival, index, deadline: arrival.at + arrival.patienceMs });
        }
        else {
            bucket.receive(arrival.at, arrival, index);
        }
    });
    const end = (arrivals.at(-1)?.at ?? 0) + 10_000;
    advanceOwnerTo(end);
    bucket.advance(end);
    return arrivals.map((arrival, index) => outcomes.get(index) ?? { granted: false, delayMs: arrival.patienceMs });
}

/**
 * Hosts that die together. The others share the rate among themselves from `redistributedAt` on, which is never while
 * the key-value service is down.
 */
export interface HostFailures {
    readonly hosts: readonly number[];
    readonly at: number;
    readonly redistributedAt: number;
}

/** Simulates equal shares of a workspace's rate at all hosts. */
export function simulateDividedRate(
    rateLimit: admission.RateLimit,
    hostCount: number,
    arrivals: readonly Arrival[],
    failures?: HostFailures,
): Outcome[] {
    const outcomes = new Map<number, Outcome>();
    const shareOf = (count: number) => ({
        tokensPerSecond: rateLimit.tokensPerSecond / count,
        burstTokens: rateLimit.burstTokens / count,
    });
    const buckets = Array.from({ length: hostCount }, () => new QueueingTokenBucket(shareOf(hostCount), outcomes));
    const allHosts = buckets.map((_, host) => host);
    const survivors = allHosts.filter((host) => !failures?.hosts.includes(host));
    let redistributed = false;
    arrivals.forEach((arrival, index) => {
        if (failures && !redistributed && arrival.at >= failures.redistributedAt) {
            redistributed = true;
            survivors.forEach((host) => buckets[host]!.changeRateLimit(arrival.at, shareOf(survivors.length)));
        }
        const candidates = failures && arrival.at >= failures.at ? survivors : allHosts;
        buckets[candidates[Math.floor(arrival.hostFraction * candidates.length)]!]!.receive(arrival.at, arrival, index);
    });
    const end = (arrivals.at(-1)?.at ?? 0) + 10_000;
    buckets.forEach((bucket) => bucket.advance(end));
    return arrivals.map((arrival, index) => outcomes.get(index) ?? { granted: false, delayMs: arrival.patienceMs });
}
