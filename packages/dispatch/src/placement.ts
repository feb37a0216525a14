import type * as decision from "@citronlead/decision";
import type * as routing from "@citronlead/routing";
import type * as health from "./health.js";

/** An upstream together with the health that this host has observed. */
export interface Candidate {
    readonly upstream: routing.Upstream;
    readonly health: health.UpstreamHealth;
}

/** Options of placement. */
export interface PlacementOptions {
    /** Availability zone to prefer: traffic between zones is billed, and KV cache moves at half the rate. */
    readonly availabilityZone: string;
    /**
     * Cost of an upstream in another zone, in sends in flight: it is chosen only if its load is lower by more than
     * this.
     */
    readonly crossZonePenalty: number;
    /** Draws from 0 to 1; keeps hosts that see equal upstreams from all choosing the same one. */
    readonly random: () => number;
}

/** Weight of the failure rate. A failed send costs its own time and that of the retry, so it outweighs load. */
const FAILURE_PENALTY = 30;
/** Weight of the random term, in sends in flight: large enough to spread equal upstreams, too small to hide load. */
const RANDOM_WEIGHT = 0.9;

/** Expected cost of a send, in units of one send in flight; lower is better. */
function cost({ upstream, health }: Candidate, options: PlacementOptions, now: decision.Milliseconds): number {
    const load = (health.inFlight + 1) * Math.max(1, health.expectedSlowness(now));
    const zone = upstream.availabilityZone === options.availabilityZone ? 0 : options.crossZonePenalty;
    const warmUp = upstream.warmUpLeftMs > 0 ? 1 : 0;
    return load + zone + warmUp + FAILURE_PENALTY * health.failureRate(now) + RANDOM_WEIGHT * options.random();
}

/** Order of upstreams by what speaks against a send: full, suspected by another host, suspended here, down for all. */
function tierOf({ health }: Candidate, now: decision.Milliseconds): number {
    if (health.isDown(now)) {
        return 4;
    }
    return health.isSuspended(now) ? 3 : health.isSuspected(now) ? 2 : health.isFull(now) ? 1 : 0;
}

/**
 * Orders upstreams for a send, best first. Suspended upstreams come last, so that they are tried only when no other is
 * left; upstreams that were recently full come just before them.
 */
export function rankCandidates(
    candidates: readonly Candidate[],
    options: PlacementOptions,
    now: decision.Milliseconds,
): Candidate[] {
    return candidates
        .map((candidate) => ({
            candidate,
            tier: tierOf(candidate, now),
            cost: cost(candidate, options, now),
        }))
        .sort((one, other) => one.tier - other.tier || one.cost - other.cost)
        .map((ranked) => ranked.candidate);
}
