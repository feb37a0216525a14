/** Number of upstreams that must fail in a row, without a response from any, for a service to be suspected unreachable. */
const SUSPICION_FAILURES = 3;

/** Whether this host reaches the upstreams of a service. */
export enum Reachability {
    Reachable = "reachable",
    /** Several upstreams in a row could not be reached; probes have not confirmed it yet. */
    Suspected = "suspected",
    /** Probes of several upstreams have failed too. */
    Lost = "lost",
}

/**
 * Tells a host that is cut off from all upstreams of a service from one whose upstreams fail one by one. Answers for each send
 * and each probe of a host; any response ends the suspicion.
 */
export class ServiceReachability {
    private readonly failed = new Set<string>();
    private current = Reachability.Reachable;

    get state(): Reachability {
        return this.current;
    }

    /** Whether an upstream failed since the last contact with any. */
    hasFailed(incarnation: string): boolean {
        return this.failed.has(incarnation);
    }

    /** Records a response, or a connection that was established. */
    recordContact(): void {
        this.failed.clear();
        this.current = Reachability.Reachable;
    }

    /** Records that an upstream, one of `upstreamCount` that accept work, could not be reached. */
    recordFailure(incarnation: string, upstreamCount: number): void {
        this.failed.add(incarnation);
        if (
            this.current === Reachability.Reachable && this.failed.size >= Math.min(SUSPICION_FAILURES, upstreamCount)
        ) {
            this.current = Reachability.Suspected;
        }
    }

    /** Records that all probes of a round have failed. */
    recordFailedProbes(): void {
        if (this.current === Reachability.Suspected) {
            this.current = Reachability.Lost;
        }
    }
}
