import type * as decision from "@citronlead/decision";

/** How long a host that could not serve a relayed request is not asked again; doubles with each time in a row. */
const FIRST_UNABLE_MS = 1_000;
const MAX_UNABLE_MS = 8_000;
/** A host of which nothing is known is asked before one that serves more open requests of this host than this. */
const OPEN_REQUESTS_PER_KNOWN_HOST = 2;

/**
 * Chooses the hosts through which a host that is cut off serves its callers. Answers for all requests of such a host: spread
 * evenly over all hosts that can serve, so that a few are not overrun when most of an availability zone is cut off.
 */
export class RelayHosts {
    private readonly unableUntil = new Map<string, decision.Milliseconds>();
    private readonly timesUnable = new Map<string, number>();
    private readonly able = new Set<string>();
    private readonly openRequests = new Map<string, number>();

    /** The hosts to ask, the one with the fewest open requests of this host first. `random` draws from 0 to 1. */
    rank(hosts: readonly string[], now: decision.Milliseconds, random: () => number): string[] {
        return hosts
            .filter((host) => now >= (this.unableUntil.get(host) ?? -Infinity))
            .map((host) => ({
                host,
                open: this.able.has(host) ? this.openRequests.get(host) ?? 0 : OPEN_REQUESTS_PER_KNOWN_HOST,
                order: random(),
            }))
            .sort((one, other) => one.open - other.open || one.order - other.order)
            .map(({ host }) => host);
    }

    /** Records that a host has served or refused a request of this host as its own. */
    recordAble(host: string): void {
        this.able.add(host);
        this.timesUnable.delete(host);
        this.unableUntil.delete(host);
    }

    /** Records that a host cannot serve requests of this host for now. */
    recordUnable(host: string, now: decision.Milliseconds): void {
        const times = this.timesUnable.get(host) ?? 0;
        this.able.delete(host);
        this.timesUnable.set(host, times + 1);
        this.unableUntil.set(host, now + Math.min(MAX_UNABLE_MS, FIRST_UNABLE_MS * 2 ** times));
    }

    /** Counts a request that is sent to a host; the returned function ends it. */
    open(host: string): () => void {
        this.openRequests.set(host, (this.openRequests.get(host) ?? 0) + 1);
        return () => {
            const left = (this.openRequests.get(host) ?? 1) - 1;
            if (left === 0) {
                this.openRequests.delete(host);
            }
            else {
                this.openRequests.set(host, left);
            }
        };
    }
}
