import * as dispatch from "@citronlead/dispatch";
import type * as routing from "@citronlead/routing";
import type * as exchanges from "../exchange.js";
import * as regions from "../regions.js";

/** Where a request is best sent. */
export type RankingOptions = Omit<dispatch.PlacementOptions, "random">;

/**
 * The upstreams of a request's service that accept new work and the given request, best first. Those that are down for several
 * hosts are left out, unless all are that run the same stage.
 */
export function rankUpstreams(
    exchange: exchanges.Exchange,
    options: RankingOptions,
    isEligible: (upstream: routing.Upstream) => boolean,
): dispatch.Candidate[] {
    const { context, service } = exchange;
    const now = context.clock();
    const candidates = context.pool.candidates(service, now);
    const isUp = ({ health }: dispatch.Candidate) => !health.isDown(now);
    const upStages = new Set(candidates.filter(isUp).map(({ upstream }) => upstream.stage));
    const eligible = candidates.filter((candidate) =>
        regions.mayUse(exchange, candidate.upstream) && isEligible(candidate.upstream)
        && (isUp(candidate) || !upStages.has(candidate.upstream.stage))
    );
    return dispatch.rankCandidates(eligible, { ...options, random: context.random }, now);
}
