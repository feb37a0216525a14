import type * as admission from "../../src/index.js";

/** One request of a comparison. */
export interface Arrival {
    readonly at: number;
    readonly tokens: number;
    readonly patienceMs: number;
    /** Draws the host that the balancer sends it to, as a fraction. */
    readonly host: number;
}

/** How a request of a comparison ended. */
export interface Served {
    readonly granted: boolean;
    readonly delayMs: number;
}

interface Queued {
    readonly arrival: Arrival;
    readonly deadline: number;
    readonly index: number;
}

/** One token bucket with a queue by deadline, which refuses at once what it cannot serve in time. */
class QueueingBucket {
    private level = 0;
    private queue: Queued[] = [];

    /** Starts empty at a time. */
    constructor(private terms: admission.Terms, private readonly served: Map<number, Served>, private at = 0) {}

    /** Moves on to a time and serves what has become possible. */
    advance(now: number): void {
        while (this.queue.length > 0) {
            const head = this.queue[0]!;
            const perMs = this.terms.tokensPerSecond / 1_000;
            const ready = this.at + Math.max(0, head.arrival.tokens - this.level) / perMs;
            if (ready > now) {
                break;
            }
            this.fill(ready);
            this.level = Math.max(0, this.level - head.arrival.tokens);
            this.queue.shift();
            this.served.set(head.index, { granted: true, delayMs: ready - head.arrival.at });
        }
        this.fill(now);
    }

    private fill(now: number): void {
        const added = Math.max(0, now - this.at) * this.terms.tokensPerSecond / 1_000;
        this.level = Math.min(this.terms.burstTokens, this.level + added);
        this.at = Math.max(now, this.at);
    }

    changeTerms(now: number, terms: admission.Terms): void {
        this.advance(now);
        this.terms = terms;
    }

    take(now: number, arrival: Arrival, index: number): void {
        this.advance(now);
        const entry = { arrival, index, deadline: arrival.at + arrival.patienceMs };
        const position = this.queue.findIndex((other) => other.deadline > entry.deadline);
        const queue = this.queue.toSpliced(position < 0 ? this.queue.length : position, 0, entry);
        if (arrival.tokens <= this.terms.burstTokens && this.feasible(queue)) {
            this.queue = queue;
            this.advance(now);
        }
        else {
            this.served.set(index, { granted: false, delayMs: now - arrival.at });
        }
    }

    private feasible(queue: readonly Queued[]): boolean {
        let demand = 0;
        return queue.every(({ arrival, deadline }) => {
            demand += arrival.tokens;
            return demand <= this.level + (deadline - this.at) * this.terms.tokensPerSecond / 1_000;
        });
    }

    /** Everything that waits is lost with the owner; its callers ask again. */
    abandon(): Queued[] {
        return this.queue.splice(0);
    }
}

/** When the owner of the bucket is gone, and when the next one has taken over. */
export interface Absence {
    readonly from: number;
    readonly until: number;
}

/** The rule that one owner has a workspace's whole rate. Without an absence it is a bucket that never fails. */
export function oneOwner(terms: admission.Terms, arrivals: readonly Arrival[], absence?: Absence): Served[] {
    const served = new Map<number, Served>();
    let bucket = new QueueingBucket(terms, served);
    let retrying: Queued[] = [];
    let phase = absence ? 0 : 2;
    const moveTo = (now: number) => {
        if (phase === 0 && absence && now >= absence.from) {
            bucket.advance(absence.from);
            retrying = bucket.abandon();
            phase = 1;
        }
        if (phase === 1 && absence && now >= absence.until) {
            phase = 2;
            bucket = new QueueingBucket(terms, served, absence.until);
            retrying.forEach((entry) => retry(entry, absence.until));
            retrying = [];
        }
    };
    const retry = (entry: Queued, now: number) => {
        if (entry.deadline <= now) {
            served.set(entry.index, { granted: false, delayMs: entry.arrival.patienceMs });
            return;
        }
        bucket.take(now, entry.arrival, entry.index);
    };
    arrivals.forEach((arrival, index) => {
        moveTo(arrival.at);
        if (phase === 1) {
            retrying.push({ arrival, index, deadline: arrival.at + arrival.patienceMs });
        }
        else {
            bucket.take(arrival.at, arrival, index);
        }
    });
    const end = (arrivals.at(-1)?.at ?? 0) + 10_000;
    moveTo(end);
    bucket.advance(end);
    return arrivals.map((arrival, index) => served.get(index) ?? { granted: false, delayMs: arrival.patienceMs });
}

/** Hosts that die together, and when the others divide the rate anew; never if the service is away all the time. */
export interface Deaths {
    readonly hosts: readonly number[];
    readonly at: number;
    readonly dividedAnewAt: number;
}

/** The rule that every host has an equal part of each workspace's rate. */
export function dividedByHosts(
    terms: admission.Terms,
    hostCount: number,
    arrivals: readonly Arrival[],
    deaths?: Deaths,
): Served[] {
    const served = new Map<number, Served>();
    const part = (count: number) => ({
        tokensPerSecond: terms.tokensPerSecond / count,
        burstTokens: terms.burstTokens / count,
    });
    const buckets = Array.from({ length: hostCount }, () => new QueueingBucket(part(hostCount), served));
    const everyone = buckets.map((_, host) => host);
    const living = everyone.filter((host) => !deaths?.hosts.includes(host));
    let divided = false;
    arrivals.forEach((arrival, index) => {
        if (deaths && !divided && arrival.at >= deaths.dividedAnewAt) {
            divided = true;
            living.forEach((host) => buckets[host]!.changeTerms(arrival.at, part(living.length)));
        }
        const takers = deaths && arrival.at >= deaths.at ? living : everyone;
        buckets[takers[Math.floor(arrival.host * takers.length)]!]!.take(arrival.at, arrival, index);
    });
    const end = (arrivals.at(-1)?.at ?? 0) + 10_000;
    buckets.forEach((bucket) => bucket.advance(end));
    return arrivals.map((arrival, index) => served.get(index) ?? { granted: false, delayMs: arrival.patienceMs });
}
