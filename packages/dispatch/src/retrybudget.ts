import type * as decision from "@citronlead/decision";

/** The fleet's bound on sends beyond the first of each request, for one service. */
export interface RetryTerms {
    /** Share of the requests that may be sent once more. */
    readonly ratio: number;
    /** Sends a window beyond the share, for the whole fleet. */
    readonly extra: number;
    readonly windowMs: decision.Milliseconds;
}

/** Part of the fleet's bound that hosts use; the rest covers requests that straddle two windows. */
const SAFETY = 0.85;

/** Times of sends of one service within the window. */
interface Usage {
    readonly requests: decision.Milliseconds[];
    readonly extras: decision.Milliseconds[];
}

/**
 * This host's part of the fleet's retry budget: the share of its own requests, and an equal part of the extra. The parts
 * add up to the bound without talk between hosts, however the requests are spread.
 */
export class RetryBudget {
    private readonly usage = new Map<string, Usage>();

    constructor(private readonly terms: () => RetryTerms) {}

    /** Counts a request of a caller for a service. */
    countRequest(service: string, now: decision.Milliseconds): void {
        this.current(service, now).requests.push(now);
    }

    /** How many more sends the service may get from this host now. */
    left(service: string, hosts: number, now: decision.Milliseconds): number {
        const { requests, extras } = this.current(service, now);
        const { ratio, extra } = this.terms();
        const allowed = SAFETY * (ratio * requests.length + extra / Math.max(1, hosts));
        return Math.floor(allowed - extras.length);
    }

    /** Takes one send out of the budget. Returns false if there is none left. */
    take(service: string, hosts: number, now: decision.Milliseconds): boolean {
        if (this.left(service, hosts, now) < 1) {
            return false;
        }
        this.current(service, now).extras.push(now);
        return true;
    }

    private current(service: string, now: decision.Milliseconds): Usage {
        const usage = this.usage.get(service) ?? { requests: [], extras: [] };
        this.usage.set(service, usage);
        const { windowMs } = this.terms();
        dropBefore(usage.requests, now - windowMs);
        dropBefore(usage.extras, now - windowMs);
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
