import * as configuration from "@citronlead/configuration";
import * as membership from "@citronlead/membership";
import type * as scheduling from "@citronlead/scheduling";
import type * as upstreams from "../upstreams.js";

/** The most engines that one owner looks after. */
const SHARD_ENGINES = 16;

/** Into how many shards the engines of a pool are cut. */
export function shardCount(engines: number): number {
    return Math.max(1, Math.ceil(engines / SHARD_ENGINES));
}

/**
 * The engines of one shard. Names go round the shards in their order, so that engines with neighbouring names, which have
 * the same role as a rule, are spread evenly.
 */
export function shardEngines(
    engines: readonly upstreams.KnownUpstream[],
    shard: number,
): readonly upstreams.KnownUpstream[] {
    const count = shardCount(engines.length);
    return [...engines]
        .sort((left, right) => left.name < right.name ? -1 : 1)
        .filter((_, index) => index % count === shard);
}

/** The shard that a request goes to. */
export function shardOf(requestId: string, engines: number): number {
    return membership.hashNumber(requestId) % shardCount(engines);
}

/** Names a shard of a pool. */
export interface ShardName {
    readonly pool: string;
    readonly shard: number;
}

/** The shards of all pools of model engines. */
export function allShards(
    fleet: configuration.Fleet,
    engineCount: (pool: string) => number,
): readonly ShardName[] {
    return Object.entries(fleet.pools)
        .filter(([, pool]) => pool.kind === configuration.PoolKind.Model)
        .flatMap(([pool]) => Array.from({ length: shardCount(engineCount(pool)) }, (_, shard) => ({ pool, shard })));
}

/** Tokens between two neighbours in the list of a request's prefix hashes. */
export const PREFIX_TOKENS = 341;
const FIRST_PREFILL_TOKENS_PER_SECOND = 10_000;
const FIRST_TOKEN_MS = 30;
/** Reports may be a second old when they are read, and are read with a period of their own. */
const REPORT_LAG_MS = 1_500;

/** What the scheduler needs to know of a pool, or undefined if the configuration has no such pool of model engines. */
export function schedulerSettings(fleet: configuration.Fleet, poolName: string): scheduling.Settings | undefined {
    const pool = fleet.pools[poolName];
    if (pool?.kind !== configuration.PoolKind.Model) {
        return undefined;
    }
    const profiles = Object.values(fleet.models)
        .filter((model) => model.pool === poolName)
        .flatMap((model) => fleet.profiles[model.profile] ?? []);
    const terms = Object.values(fleet.profiles).flatMap((profile) => Object.entries(profile.workspaces));
    return {
        pool: poolName,
        pieceTokens: pool.pieceTokens,
        prefillSurvivalMs: pool.prefillSurvival,
        cacheBytesPerToken: pool.cacheBytesPerToken,
        linkBytesPerSecond: pool.linkBytesPerSecond,
        betweenTokensTargetMs: Math.min(...profiles.map((profile) => profile.betweenTokensTarget)),
        reportLagMs: REPORT_LAG_MS,
        prefixTokens: PREFIX_TOKENS,
        weights: Object.fromEntries(terms.map(([workspace, one]) => [workspace, one.weight])),
        prefillTokensPerSecond: FIRST_PREFILL_TOKENS_PER_SECOND,
        tokenMs: FIRST_TOKEN_MS,
    };
}
