import type * as decision from "@citronlead/decision";
import * as upstream from "@citronlead/upstream";
import type * as contexts from "../context.js";
import type * as upstreams from "../upstreams.js";

/** Two engines for a request, chosen without the owner of their shard. */
export interface LocalChoice {
    readonly prefill: upstreams.KnownUpstream;
    readonly decode: upstreams.KnownUpstream;
}

const LOAD_TIMEOUT_MS = 300;
/** Loads that this host has read itself are used for so long. */
const LOADS_KEEP_MS = 500;

/**
 * Chooses engines by their own word while nobody can be asked who knows what is reserved. The engines refuse what they
 * have no room for, so a wrong choice costs a try and no answer.
 */
export class LocalPlacement {
    private readAt: decision.Milliseconds = -Infinity;
    private reading: Promise<void> | undefined;

    constructor(private readonly context: contexts.Context, private readonly known: upstreams.Upstreams) {}

    /** Chooses the least loaded engines of each role, or undefined if one role has none that can be reached. */
    async choose(
        engines: readonly upstreams.KnownUpstream[],
        avoid: readonly string[],
    ): Promise<LocalChoice | undefined> {
        await this.refresh(engines);
        const usable = engines
            .map((engine) => this.known.find(engine.name))
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
        if (this.context.clock() - this.readAt < LOADS_KEEP_MS) {
            return;
        }
        this.reading ??= this.readAll(engines);
        await this.reading;
        this.reading = undefined;
    }

    private async readAll(engines: readonly upstreams.KnownUpstream[]): Promise<void> {
        await Promise.all(engines.map(async (engine) => {
            const target = { address: engine.address, agent: this.context.agent, timeoutMs: LOAD_TIMEOUT_MS };
            const outcome = await upstream.readLoad(target);
            if (outcome.result === upstream.CallResult.Done) {
                this.known.noteLoad(engine.name, outcome.value);
            }
        }));
        this.readAt = this.context.clock();
    }
}

function leastLoaded(
    engines: readonly upstreams.KnownUpstream[],
    role: upstream.EngineRole,
    measure: (load: upstream.LoadReport) => number,
): upstreams.KnownUpstream | undefined {
    const candidates = engines.filter((engine) => engine.load?.role === role);
    const loadOf = (engine: upstreams.KnownUpstream) => engine.load ? measure(engine.load) : Infinity;
    const least = Math.min(...candidates.map(loadOf));
    const best = candidates.filter((engine) => loadOf(engine) === least);
    return best[Math.floor(Math.random() * best.length)];
}
