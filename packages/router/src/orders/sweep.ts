import type * as decision from "@citronlead/decision";
import * as orders from "@citronlead/orders";
import * as upstream from "@citronlead/upstream";
import type * as contexts from "../context.js";
import type * as memberships from "../membership/shell.js";
import type * as upstreams from "../upstreams.js";

/** Releases engine memory that belongs to router processes that are gone. */
export interface MemorySweep {
    /** Asks the next engine of a pool which memory it holds, and releases what belongs to processes that are gone. */
    readonly sweepNextEngine: (pool: string) => void;
}

const CALL_TIMEOUT_MS = 2_000;

/** Makes the sweep, which takes the engines of each pool in turn, one for each call. */
export function makeMemorySweep(
    context: contexts.Context,
    membership: memberships.Membership,
    upstreamList: upstreams.Upstreams,
    graceMs: decision.Milliseconds,
): MemorySweep {
    let state = orders.startSweep({ graceMs });
    const turnByPool = new Map<string, number>();
    const sweepEngine = async (engine: upstreams.KnownUpstream) => {
        const target = { address: engine.address, agent: context.agent, timeoutMs: CALL_TIMEOUT_MS };
        const read = await upstream.readHeldMemory(target);
        if (read.result !== upstream.CallResult.Done) {
            return;
        }
        const event: orders.SweepEvent = {
            engine: engine.name,
            holders: read.value.held.map((holding) => holding.holder),
            present: membership.roster().map(({ host, incarnation }) => `${host}/${incarnation}`),
        };
        const next = orders.decideSweep(state, event, context.clock());
        state = next.state;
        for (const { release } of next.actions) {
            const outcome = await upstream.release(target, release);
            context.log.info({ engine: engine.name, release, result: outcome.result }, "engine memory released");
        }
    };
    return {
        sweepNextEngine: (pool) => {
            const engines = upstreamList.all(pool);
            const turn = turnByPool.get(pool) ?? 0;
            turnByPool.set(pool, turn + 1);
            const engine = engines[turn % Math.max(1, engines.length)];
            if (engine) {
                void sweepEngine(engine);
            }
        },
    };
}
