import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import type * as configurations from "../configuration/shell.js";
import type * as contexts from "../context.js";
import type * as upstreams from "../upstreams.js";
import * as shards from "./shards.js";
import * as schedulings from "./shell.js";

/** Simple policies that the scheduler is benchmarked against. Not for use in a real fleet. */
export enum BaselinePolicy {
    /** Each engine of a role in turn. */
    RoundRobin = "round-robin",
    /** The engine with the lowest load in its latest report. */
    LeastLoad = "least-load",
}

const POLICY_ENVIRONMENT_VARIABLE = "CITRONLEAD_MEASURED_POLICY";
const LOAD_PERIOD_MS = 1_000;
const LOAD_TIMEOUT_MS = 500;
const RETRY_AFTER_MS = 1_000;

/** The baseline policy that the environment variable selects, or undefined. */
export function baselineFromEnvironment(): BaselinePolicy | undefined {
    return Object.values(BaselinePolicy).find((policy) => policy === process.env[POLICY_ENVIRONMENT_VARIABLE]);
}

/** Starts scheduling by a baseline policy: every host chooses engines on its own, without a queue or reservations. */
export function startBaseline(
    policy: BaselinePolicy,
    context: contexts.Context,
    configuration: configurations.ConfigurationInForce,
    upstreamList: upstreams.Upstreams,
): schedulings.Scheduling {
    const nextIndexes = new Map<upstream.EngineRole, number>();
    lifecycle.every(context.scope, LOAD_PERIOD_MS, () => {
        const fleet = configuration.current()?.fleet;
        const shardNames = fleet ? shards.allShards(fleet, (pool) => upstreamList.all(pool).length) : [];
        shardNames.flatMap((name) => upstreamList.all(name.pool)).forEach((engine) =>
            void updateLoad(context, upstreamList, engine)
        );
    });
    const chooseEngine = (engines: readonly upstreams.KnownUpstream[], role: upstream.EngineRole) => {
        const usable = engines.filter((engine) => engine.load?.role === role);
        if (policy === BaselinePolicy.RoundRobin) {
            const index = nextIndexes.get(role) ?? 0;
            nextIndexes.set(role, index + 1);
            return usable[index % Math.max(1, usable.length)];
        }
        const loadOf = (engine: upstreams.KnownUpstream) =>
            (role === upstream.EngineRole.Prefill ? engine.load?.queuedTokens : engine.load?.running) ?? 0;
        return usable.reduce<upstreams.KnownUpstream | undefined>(
            (least, engine) => least && loadOf(least) <= loadOf(engine) ? least : engine,
            undefined,
        );
    };
    return {
        place: async (request) => {
            const engines = upstreamList.usable(request.pool).filter((engine) => !request.avoid.includes(engine.name));
            const prefill = chooseEngine(engines, upstream.EngineRole.Prefill);
            const decode = chooseEngine(engines, upstream.EngineRole.Decode);
            return prefill && decode
                ? { placed: true, placement: { prefill, decode, startAfterMs: 0, end: () => undefined } }
                : { placed: false, refusal: schedulings.PlacementRefusal.Shed, retryAfterMs: RETRY_AFTER_MS };
        },
    };
}

async function updateLoad(
    context: contexts.Context,
    upstreamList: upstreams.Upstreams,
    engine: upstreams.KnownUpstream,
): Promise<void> {
    const target = { address: engine.address, agent: context.agent, timeoutMs: LOAD_TIMEOUT_MS };
    const outcome = await upstream.readLoad(target);
    if (outcome.result === upstream.CallResult.Done) {
        upstreamList.recordLoad(engine.name, outcome.value);
    }
}
