import type * as decision from "@citronlead/decision";
import type * as engineModels from "./engines.js";
import * as fleets from "./fleet.js";
import type * as scenarios from "./scenario.js";
import * as workloads from "./workload.js";

/** What the pool offers in a scenario, in whole engines. */
export interface PoolSize {
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    readonly links: number;
}

/** The engines that are left of a pool once a scenario's faults are taken off. */
export function sizeUnderFaults(scenario: scenarios.Scenario, prefillEngines: number, decodeEngines: number): PoolSize {
    const crashed = scenario.crashPeriodMs > 0 ? fleets.RESTART_TIME_MS / scenario.crashPeriodMs : 0;
    // Streams of a decode engine that is slower than the target never count.
    const slowDecode = scenario.slowDecode > 1 ? 1 : 0;
    return {
        prefillEngines: prefillEngines - (scenario.slowPrefill > 1 ? 1 - 1 / scenario.slowPrefill : 0),
        decodeEngines: decodeEngines - crashed - slowDecode,
        links: prefillEngines - (scenario.slowLink > 1 ? 1 - 1 / scenario.slowLink : 0),
    };
}

interface Level {
    level: decision.Milliseconds;
}

/**
 * The requests of a run that an ideal pool would serve within both targets: prefill, decode and links are each one queue
 * that never idles while it has work, every shared prefix is cached, and a request counts if what is queued before it
 * leaves it its own shortest time to the first token.
 */
export function idealRequests(
    requests: readonly workloads.ModelRequest[],
    speeds: engineModels.EngineSpeeds,
    size: PoolSize,
    firstTokenTargetMs: decision.Milliseconds,
): ReadonlySet<string> {
    const served = new Set<string>();
    const prefill: Level = { level: 0 };
    const decode: Level = { level: 0 };
    const link: Level = { level: 0 };
    let at = 0;
    for (const request of requests) {
        const elapsed = request.arrivesAt - at;
        at = request.arrivesAt;
        [prefill, decode, link].forEach((one) => one.level = Math.max(0, one.level - elapsed));
        const work = workloads.leastWork(request, speeds);
        const shortest = work.prefillMs + work.transferMs + speeds.stepMs + speeds.stepMsPerStream;
        const waits = Math.max(prefill.level, decode.level, link.level);
        const wholeMs = shortest + work.decodeSlotMs;
        if (request.cancelsAt >= request.arrivesAt + wholeMs && waits + shortest <= firstTokenTargetMs) {
            served.add(request.id);
            prefill.level += work.prefillMs / size.prefillEngines;
            decode.level += work.decodeSlotMs / (size.decodeEngines * speeds.slots);
            link.level += work.transferMs / size.links;
        }
    }
    return served;
}

/** Shares out an amount by weight, none more than its demand (max-min fairness). */
export function fairShares(
    amount: number,
    demands: ReadonlyMap<string, number>,
    weightOf: (workspace: string) => number,
): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    const open = new Map(demands);
    let left = amount;
    while (open.size > 0) {
        const weight = [...open.keys()].reduce((sum, workspace) => sum + weightOf(workspace), 0);
        const level = left / weight;
        const full = [...open].filter(([workspace, demand]) => demand <= level * weightOf(workspace));
        if (full.length === 0) {
            open.forEach((_, workspace) => shares.set(workspace, level * weightOf(workspace)));
            return shares;
        }
        for (const [workspace, demand] of full) {
            shares.set(workspace, demand);
            open.delete(workspace);
            left -= demand;
        }
    }
    return shares;
}
