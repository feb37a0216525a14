import type * as decision from "@citronlead/decision";
import * as upstream from "@citronlead/upstream";
import type * as contexts from "../context.js";
import type * as upstreams from "../upstreams.js";

/** The two engines chosen for a request. */
export interface EnginePair {
    readonly prefill: upstreams.KnownUpstream;
    readonly decode: upstreams.KnownUpstream;
}

const LOAD_TIMEOUT_MS = 300;
/** How long load reports are used before they are read again. */
const LOAD_MAX_AGE_MS = 500;

/**
 * Chooses engines by their load reports while the owner of the shard, which knows the reservations, is unreachable.
 * Engines refuse work they have no capacity for, so a wrong choice costs an attempt but never the response.
 */
export class LocalPlacement {
    private loadsReadAt: decision.Milliseconds = -Infinity;
    private refreshing: Promise<void> | undefined;

    constructor(private readonly context: contexts.Context, private readonly upstreamList: upstreams.Upstreams) {}

    /** Chooses the least loaded engine of each role. Returns undefined if a role has no engine with a load report. */
    async choose(
        engines: readonly upstreams.KnownUpstream[],
        avoid: readonly string[],
    ): Promise<EnginePair | undefined> {
        await this.refresh(engines);
        const usable = engines
            .map((engine) => this.upstreamList.find(engine.name))
            .filter((engine) => engine?.load && !engine.load.departing && !avoid.includes(engine.name))
            .map((engine) => engine as upstreams.KnownUpstream);
        const prefill = leastLoaded(usable, upstream.EngineRole.Prefill, (load) => load.queuedTokens);
        const decode = leastLoaded(
            usable,
            upstream.EngineRole.Decode,
            (load) => load.running / Math.max(1, load.slots),
        );
        return prefill && decode ? { prefill, decode } : undefined;
    }

    private async refresh(engines: readonly upstreams.KnownUpstream[]): Promise<void> {
        if (this.context.clock() - this.loadsReadAt < LOAD_MAX_AGE_MS) {
            return;
        }
        this.refreshing ??= this.readLoads(engines);
        await this.refreshing;
        this.refreshing = undefined;
    }

    private async readLoads(engines: readonly upstreams.KnownUpstream[]): Promise<void> {
        await Promise.all(engines.map(async (engine) => {
            const target = { address: engine.address, agent: this.context.agent, timeoutMs: LOAD_TIMEOUT_MS };
            const outcome = await upstream.readLoad(target);
            if (outcome.result === upstream.CallResult.Done) {
                this.upstreamList.recordLoad(engine.name, outcome.value);
            }
        }));
        this.loadsReadAt = this.context.clock();
    }
}

function leastLoaded(
    engines: readonly upstreams.KnownUpstream[],
    role: upstream.EngineRole,
    loadMeasure: (load: upstream.LoadReport) => number,
): upstreams.KnownUpstream | undefined {
    const candidates = engines.filter((engine) => engine.load?.role === role);
    const loadOf = (engine: upstreams.KnownUpstream) => engine.load ? loadMeasure(engine.load) : Infinity;
    const least = Math.min(...candidates.map(loadOf));
    const best = candidates.filter((engine) => loadOf(engine) === least);
    return best[Math.floor(Math.random() * best.length)];
}
