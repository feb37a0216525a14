import * as dispatch from "@citronlead/dispatch";
import type * as routing from "@citronlead/routing";
import type * as exchanges from "../exchange.js";
import * as regions from "../regions.js";

/** Where a request is best sent. */
export type RankingOptions = Omit<dispatch.PlacementOptions, "random">;

/** The upstreams of a request's service that accept new work and the given request, best first. */
export function rankUpstreams(
    exchange: exchanges.Exchange,
    options: RankingOptions,
    isEligible: (upstream: routing.Upstream) => boolean,
): dispatch.Candidate[] {
    const { context, service } = exchange;
    const now = context.clock();
    const candidates = context.pool.candidates(service, now)
        .filter(({ upstream }) => regions.mayUse(exchange, upstream) && isEligible(upstream));
    return dispatch.rankCandidates(candidates, { ...options, random: context.random }, now);
}
