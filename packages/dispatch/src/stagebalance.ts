import type * as decision from "@citronlead/decision";
import * as routing from "@citronlead/routing";

/** What a mean request costs the engines of a service, from this host's own requests. */
export interface StageDemand {
    /** Time that one engine reads a prompt for. */
    readonly prefillMs: decision.Milliseconds;
    /** Time that a request stays at a decode engine. */
    readonly decodeMs: decision.Milliseconds;
    /** Memory that it holds there, in tokens. */
    readonly tokens: number;
}

/** A change of the stage of one engine. */
export interface StageChange {
    readonly upstream: routing.Upstream;
    readonly stage: routing.EngineStage.Prefill | routing.EngineStage.Decode;
}

/**
 * How busy prefill engines may be when the decode engines are full. Hosts place prefills without knowing of each other's,
 * so prompts queue long before all engines are busy.
 */
const PREFILL_UTILIZATION = 0.85;
/** Part of an engine's memory that requests fill; the rest is lost to their uneven sizes. */
const MEMORY_UTILIZATION = 0.92;
/** Engines that each stage keeps: one of them may crash. */
const LEAST_ENGINES = 2;

/** The number of prefill engines at which both stages run full together. */
export function balancedPrefillEngines(engines: number, memoryTokens: number, demand: StageDemand): number {
    const prefillWork = demand.prefillMs / PREFILL_UTILIZATION;
    const decodeWork = demand.decodeMs * demand.tokens / (memoryTokens * MEMORY_UTILIZATION);
    const share = prefillWork / (prefillWork + decodeWork);
    return Math.min(engines - LEAST_ENGINES, Math.max(LEAST_ENGINES, Math.ceil(engines * share)));
}

/**
 * The engine to give another stage, if the pools are out of balance by more than one. Load: bursts at twice the usual rate
 * with one pool full while the other has engines to spare. An engine with the least work changes, since it finishes what
 * it runs first.
 */
export function chooseStageChange(
    engines: readonly routing.Upstream[],
    memoryTokens: number,
    demand: StageDemand,
    load: (upstream: routing.Upstream) => number,
): StageChange | undefined {
    const prefill = engines.filter((engine) => engine.stage === routing.EngineStage.Prefill);
    const decode = engines.filter((engine) => engine.stage === routing.EngineStage.Decode);
    const total = prefill.length + decode.length;
    if (total < 2 * LEAST_ENGINES + 1) {
        return undefined;
    }
    const wanted = balancedPrefillEngines(total, memoryTokens, demand);
    const idlest = (pool: readonly routing.Upstream[]) =>
        [...pool].sort((one, other) => load(one) - load(other))[0] as routing.Upstream;
    if (prefill.length > wanted) {
        return { upstream: idlest(prefill), stage: routing.EngineStage.Decode };
    }
    return undefined;
}
