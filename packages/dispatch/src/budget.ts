import type * as decision from "@citronlead/decision";

/** The fleet's limit on retries, for one service: sends beyond the first of each request that reach an upstream. */
export interface RetryLimits {
    /** Retries allowed as a share of the requests in the window. */
    readonly ratio: number;
    /** Retries per window that are allowed in addition, for the whole fleet. */
    readonly extra: number;
    readonly windowMs: decision.Milliseconds;
}

/** Share of the fleet's limit that hosts use; the rest covers requests that span two windows. */
const SAFETY_FACTOR = 0.85;
/** How long a host counts those that it knows no more: they may be cut off, and use their parts. */
const HOST_MEMORY_MS = 60_000;

/** Times of the requests and retries of one service within the window. */
interface Usage {
    readonly requests: decision.Milliseconds[];
    readonly retries: decision.Milliseconds[];
    /** Number of retries that were taken for sends that are to come or under way. */
    held: number;
}

/**
 * This host's part of the fleet's retry budget: the ratio of its own requests, plus an equal part of the extra retries.
 * The parts add up to the fleet's limit without coordination between hosts, however the requests are distributed, also while
 * hosts are started again, replaced or cut off.
 */
export class RetryBudget {
    private readonly usage = new Map<string, Usage>();
    private mostHosts = 0;
    private mostHostsAt = 0;

    /** `startedAt` is when this process started in place of another, which may have used the host's part until then. */
    constructor(private readonly limits: () => RetryLimits, private readonly startedAt = -Infinity) {}

    /** Counts a caller's request to a service. */
    countRequest(service: string, now: decision.Milliseconds): void {
        this.recentUsage(service, now).requests.push(now);
    }

    /** Takes back a request that was counted at the given time, since another host counts it. */
    discountRequest(service: string, countedAt: decision.Milliseconds): void {
        const { requests } = this.usageOf(service);
        const index = requests.lastIndexOf(countedAt);
        if (index >= 0) {
            requests.splice(index, 1);
        }
    }

    /** How many more retries this host may take for the service now. It knows 0 hosts before it has listed them. */
    remaining(service: string, hostCount: number, now: decision.Milliseconds): number {
        const { requests, retries, held } = this.recentUsage(service, now);
        const allowed = SAFETY_FACTOR * (this.limits().ratio * requests.length + this.extraPart(hostCount, now));
        return Math.floor(allowed - retries.length - held);
    }

    /** Takes retries from the budget. Returns false, and takes none, if there are not so many left. */
    tryAcquire(service: string, hostCount: number, now: decision.Milliseconds, count = 1): boolean {
        if (this.remaining(service, hostCount, now) < count) {
            return false;
        }
        this.usageOf(service).held += count;
        return true;
    }

    /** Counts a retry that was taken and has reached an upstream by now. */
    use(service: string, now: decision.Milliseconds): void {
        const usage = this.recentUsage(service, now);
        usage.held--;
        usage.retries.push(now);
    }

    /** Returns a retry that was taken but did not reach an upstream. */
    release(service: string): void {
        this.usageOf(service).held--;
    }

    private extraPart(hostCount: number, now: decision.Milliseconds): number {
        const { extra, windowMs } = this.limits();
        if (hostCount >= this.mostHosts || now - this.mostHostsAt > HOST_MEMORY_MS) {
            this.mostHosts = hostCount;
            this.mostHostsAt = now;
        }
        return hostCount === 0 || now - this.startedAt < windowMs ? 0 : extra / this.mostHosts;
    }

    private usageOf(service: string): Usage {
        const usage = this.usage.get(service) ?? { requests: [], retries: [], held: 0 };
        this.usage.set(service, usage);
        return usage;
    }

    private recentUsage(service: string, now: decision.Milliseconds): Usage {
        const usage = this.usageOf(service);
        const { windowMs } = this.limits();
        dropBefore(usage.requests, now - windowMs);
        dropBefore(usage.retries, now - windowMs);
        return usage;
    }
}

function dropBefore(times: decision.Milliseconds[], limit: decision.Milliseconds): void {
    let count = 0;
    while (count < times.length && (times[count] as number) < limit) {
        count++;
    }
    if (count > 0) {
        times.splice(0, count);
    }
}
