import * as configuration from "@citronlead/configuration";
import * as membership from "@citronlead/membership";
import type * as scheduling from "@citronlead/scheduling";
import type * as upstreams from "../upstreams.js";

const MAX_ENGINES_PER_SHARD = 16;

/** The number of shards for a pool with this many engines. */
export function shardCount(engines: number): number {
    return Math.max(1, Math.ceil(engines / MAX_ENGINES_PER_SHARD));
}

/**
 * The engines of one shard. Engines are sorted by name and assigned to the shards in turn: neighbours in this order
 * usually have the same role, so each role is spread evenly over the shards.
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

/** The index of the shard that places a request. */
export function shardOf(requestId: string, engines: number): number {
    return membership.stableHash(requestId) % shardCount(engines);
}

/** Identifies a shard: its pool and its index in the pool. */
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

/** Tokens between two consecutive prefix hashes of a request: 1,024 bytes at an estimated 3 bytes per token. */
export const PREFIX_STEP_TOKENS = 341;
/** Assumed speeds of an engine until it has been measured. */
const INITIAL_PREFILL_TOKENS_PER_SECOND = 10_000;
const INITIAL_TOKEN_MS = 30;
/** A load report may be a second old when it is read, and the interval between reads adds to that. */
const REPORT_LAG_MS = 1_500;

/** The scheduler's settings for a pool, or undefined if the configuration has no such pool of model engines. */
export function schedulerSettings(fleet: configuration.Fleet, poolName: string): scheduling.Settings | undefined {
    const pool = fleet.pools[poolName];
    if (pool?.kind !== configuration.PoolKind.Model) {
        return undefined;
    }
    const profiles = Object.values(fleet.models)
        .filter((model) => model.pool === poolName)
        .flatMap((model) => fleet.profiles[model.profile] ?? []);
    const workspaceTerms = Object.values(fleet.profiles).flatMap((profile) => Object.entries(profile.workspaces));
    return {
        pool: poolName,
        pieceTokens: pool.pieceTokens,
        prefillSurvivalMs: pool.prefillSurvival,
        cacheBytesPerToken: pool.cacheBytesPerToken,
        linkBytesPerSecond: pool.linkBytesPerSecond,
        betweenTokensTargetMs: Math.min(...profiles.map((profile) => profile.betweenTokensTarget)),
        reportLagMs: REPORT_LAG_MS,
        prefixTokens: PREFIX_STEP_TOKENS,
        weights: Object.fromEntries(workspaceTerms.map(([workspace, entry]) => [workspace, entry.weight])),
        prefillTokensPerSecond: INITIAL_PREFILL_TOKENS_PER_SECOND,
        tokenMs: INITIAL_TOKEN_MS,
    };
}
