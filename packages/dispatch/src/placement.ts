import type * as decision from "@citronlead/decision";
import type * as routing from "@citronlead/routing";
import type * as health from "./upstreamhealth.js";

/** An upstream with what this host knows of it. */
export interface Candidate {
    readonly upstream: routing.Upstream;
    readonly health: health.UpstreamHealth;
}

/** What placement goes by. */
export interface PlacementTerms {
    /** Availability zone to prefer: bytes between zones are billed and memory moves at half the rate. */
    readonly availabilityZone: string;
    /** Sends in flight that another zone must save before it is taken. */
    readonly zonePenalty: number;
    /** Draws from 0 to 1; hosts that see equal upstreams must not all choose the same. */
    readonly random: () => number;
}

/** A failed send costs the time of the send and of the next one, so failures weigh more than load. */
const FAILURE_PENALTY = 30;
/** Weight of the random part, in sends in flight: enough to spread equal upstreams, too little to hide load. */
const SPREAD = 0.9;

/** Expected cost of a send in units of one send in flight; smaller is better. */
function cost({ upstream, health }: Candidate, terms: PlacementTerms, now: decision.Milliseconds): number {
    const load = (health.inFlight + 1) * Math.max(1, health.slownessRatio);
    const zone = upstream.availabilityZone === terms.availabilityZone ? 0 : terms.zonePenalty;
    const warmUp = upstream.warmUpLeftMs > 0 ? 1 : 0;
    return load + zone + warmUp + FAILURE_PENALTY * health.failureShare(now) + SPREAD * terms.random();
}

/**
 * Orders upstreams for a send, best first. Suspended upstreams come last, so that they are tried only when nothing else
 * is left; upstreams that were full just now come before them.
 */
export function rank(
    candidates: readonly Candidate[],
    terms: PlacementTerms,
    now: decision.Milliseconds,
): Candidate[] {
    return candidates
        .map((candidate) => ({
            candidate,
            tier: candidate.health.suspended(now) ? 2 : candidate.health.full(now) ? 1 : 0,
            cost: cost(candidate, terms, now),
        }))
        .sort((one, other) => one.tier - other.tier || one.cost - other.cost)
        .map((ranked) => ranked.candidate);
}
