import * as lifecycle from "@citronlead/lifecycle";
import * as upstream from "@citronlead/upstream";
import type * as configurations from "../configurationshell.js";
import type * as contexts from "../context.js";
import * as schedulings from "../schedulingshell.js";
import type * as upstreams from "../upstreams.js";
import * as shards from "./shards.js";

/** The policies that the scheduler is measured against; no fleet is run with them. */
export enum BaselinePolicy {
    /** One engine after another. */
    RoundRobin = "round-robin",
    /** The engine with the least load by its latest report. */
    LeastLoad = "least-load",
}

const POLICY_VARIABLE = "CITRONLEAD_MEASURED_POLICY";
const LOAD_PERIOD_MS = 1_000;
const LOAD_TIMEOUT_MS = 500;
const RETRY_AFTER_MS = 1_000;

/** The baseline that the environment asks for, or undefined. */
export function wantedBaseline(): BaselinePolicy | undefined {
    return Object.values(BaselinePolicy).find((policy) => policy === process.env[POLICY_VARIABLE]);
}

/** Starts a baseline: every host chooses by itself, without queue and reservations. */
export function startBaseline(
    policy: BaselinePolicy,
    context: contexts.Context,
    configuration: configurations.ConfigurationInForce,
    known: upstreams.Upstreams,
): schedulings.Scheduling {
    const turns = new Map<upstream.EngineRole, number>();
    lifecycle.every(context.scope, LOAD_PERIOD_MS, () => {
        const fleet = configuration.current()?.fleet;
        const names = fleet ? shards.allShards(fleet, (pool) => known.all(pool).length) : [];
        names.flatMap((name) => known.all(name.pool)).forEach((engine) => void readLoad(context, known, engine));
    });
    const choose = (engines: readonly upstreams.KnownUpstream[], role: upstream.EngineRole) => {
        const usable = engines.filter((engine) => engine.load?.role === role);
        if (policy === BaselinePolicy.RoundRobin) {
            const turn = turns.get(role) ?? 0;
            turns.set(role, turn + 1);
            return usable[turn % Math.max(1, usable.length)];
        }
        const load = (engine: upstreams.KnownUpstream) =>
            (role === upstream.EngineRole.Prefill ? engine.load?.queuedTokens : engine.load?.running) ?? 0;
        return usable.reduce<upstreams.KnownUpstream | undefined>(
            (least, engine) => least && load(least) <= load(engine) ? least : engine,
            undefined,
        );
    };
    return {
        place: async (wish) => {
            const engines = known.usable(wish.pool).filter((engine) => !wish.avoid.includes(engine.name));
            const prefill = choose(engines, upstream.EngineRole.Prefill);
            const decode = choose(engines, upstream.EngineRole.Decode);
            return prefill && decode
                ? { placed: true, placement: { prefill, decode, startAfterMs: 0, end: () => undefined } }
                : { placed: false, refusal: schedulings.PlacementRefusal.Shed, retryAfterMs: RETRY_AFTER_MS };
        },
    };
}

async function readLoad(
    context: contexts.Context,
    known: upstreams.Upstreams,
    engine: upstreams.KnownUpstream,
): Promise<void> {
    const target = { address: engine.address, agent: context.agent, timeoutMs: LOAD_TIMEOUT_MS };
    const outcome = await upstream.readLoad(target);
    if (outcome.result === upstream.CallResult.Done) {
        known.noteLoad(engine.name, outcome.value);
    }
}
