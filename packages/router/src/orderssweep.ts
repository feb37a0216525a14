import type * as decision from "@citronlead/decision";
import * as orders from "@citronlead/orders";
import * as upstream from "@citronlead/upstream";
import type * as contexts from "./context.js";
import type * as memberships from "./membershipshell.js";
import type * as upstreams from "./upstreams.js";

/** Releases engine memory that nobody answers for any more. */
export interface Sweep {
    /** Asks the next engine of a pool what it holds and releases what belongs to router processes that are gone. */
    readonly next: (pool: string) => void;
}

const CALL_TIMEOUT_MS = 2_000;

/** Makes the sweep. One engine of a pool is asked at a time. */
export function makeSweep(
    context: contexts.Context,
    owners: memberships.Membership,
    known: upstreams.Upstreams,
    graceMs: decision.Milliseconds,
): Sweep {
    let state = orders.startSweep({ graceMs });
    const turns = new Map<string, number>();
    const sweep = async (engine: upstreams.KnownUpstream) => {
        const target = { address: engine.address, agent: context.agent, timeoutMs: CALL_TIMEOUT_MS };
        const read = await upstream.readHeld(target);
        if (read.result !== upstream.CallResult.Done) {
            return;
        }
        const event: orders.SweepEvent = {
            engine: engine.name,
            holders: read.value.held.map((holding) => holding.holder),
            present: owners.roster().map(({ host, incarnation }) => `${host}/${incarnation}`),
        };
        const next = orders.decideSweep(state, event, context.clock());
        state = next.state;
        for (const { release } of next.actions) {
            const outcome = await upstream.release(target, release);
            context.log.info({ engine: engine.name, release, result: outcome.result }, "engine memory released");
        }
    };
    return {
        next: (pool) => {
            const engines = known.all(pool);
            const turn = turns.get(pool) ?? 0;
            turns.set(pool, turn + 1);
            const engine = engines[turn % Math.max(1, engines.length)];
            if (engine) {
                void sweep(engine);
            }
        },
    };
}
