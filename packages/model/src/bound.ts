import type * as decision from "@citronlead/decision";
import type * as engineModels from "./engines.js";
import * as fleets from "./fleet.js";
import type * as scenarios from "./scenario.js";
import * as workloads from "./workload.js";

/** Capacity of a pool in a scenario, counted in healthy engines; a slow engine counts as a fraction. */
export interface PoolSize {
    readonly prefillEngines: number;
    readonly decodeEngines: number;
    readonly links: number;
}

/** Subtracts the average loss caused by a scenario's faults from the size of a pool. */
export function sizeUnderFaults(scenario: scenarios.Scenario, prefillEngines: number, decodeEngines: number): PoolSize {
    const crashedOnAverage = scenario.crashPeriodMs > 0 ? fleets.RESTART_TIME_MS / scenario.crashPeriodMs : 0;
    // A slow decode engine misses the target for the time between tokens, so its streams never count as goodput.
    const slowDecodeEngines = scenario.decodeSlowdown > 1 ? 1 : 0;
    return {
        prefillEngines: prefillEngines - (scenario.prefillSlowdown > 1 ? 1 - 1 / scenario.prefillSlowdown : 0),
        decodeEngines: decodeEngines - crashedOnAverage - slowDecodeEngines,
        links: prefillEngines - (scenario.linkSlowdown > 1 ? 1 - 1 / scenario.linkSlowdown : 0),
    };
}

/** Work queued at one kind of resource, in the time that the whole pool needs for it. */
interface Backlog {
    remainingMs: decision.Milliseconds;
}

/**
 * Returns the ids of the requests that an ideal pool would serve within both targets. The ideal pool has a single queue
 * each for prefill, decode and links, which never idles while it has work, and finds every shared prefix in the cache. A
 * request is served if the longest backlog plus its own shortest time to the first token is within the target.
 */
export function idealRequests(
    requests: readonly workloads.WorkloadRequest[],
    speeds: engineModels.EngineSpeeds,
    size: PoolSize,
    firstTokenTargetMs: decision.Milliseconds,
): ReadonlySet<string> {
    const served = new Set<string>();
    const prefill: Backlog = { remainingMs: 0 };
    const decode: Backlog = { remainingMs: 0 };
    const link: Backlog = { remainingMs: 0 };
    let at = 0;
    for (const request of requests) {
        const elapsedMs = request.arrivesAt - at;
        at = request.arrivesAt;
        [prefill, decode, link].forEach((one) => one.remainingMs = Math.max(0, one.remainingMs - elapsedMs));
        const work = workloads.minimumWork(request, speeds);
        const shortestFirstTokenMs = work.prefillMs + work.transferMs + speeds.stepMs + speeds.stepMsPerStream;
        const longestBacklogMs = Math.max(prefill.remainingMs, decode.remainingMs, link.remainingMs);
        const completionMs = shortestFirstTokenMs + work.decodeSlotMs;
        if (
            request.cancelsAt >= request.arrivesAt + completionMs
            && longestBacklogMs + shortestFirstTokenMs <= firstTokenTargetMs
        ) {
            served.add(request.id);
            prefill.remainingMs += work.prefillMs / size.prefillEngines;
            decode.remainingMs += work.decodeSlotMs / (size.decodeEngines * speeds.slots);
            link.remainingMs += work.transferMs / size.links;
        }
    }
    return served;
}

/** Divides an amount by weighted max-min fairness: no workspace gets more than its demand. */
export function fairShares(
    amount: number,
    demands: ReadonlyMap<string, number>,
    weightOf: (workspace: string) => number,
): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    const unsettled = new Map(demands);
    let remaining = amount;
    while (unsettled.size > 0) {
        const weight = [...unsettled.keys()].reduce((sum, workspace) => sum + weightOf(workspace), 0);
        const sharePerWeight = remaining / weight;
        const satisfied = [...unsettled].filter(([workspace, demand]) =>
            demand <= sharePerWeight * weightOf(workspace)
        );
        if (satisfied.length === 0) {
            unsettled.forEach((_, workspace) => shares.set(workspace, sharePerWeight * weightOf(workspace)));
            return shares;
        }
        for (const [workspace, demand] of satisfied) {
            shares.set(workspace, demand);
            unsettled.delete(workspace);
            remaining -= demand;
        }
    }
    return shares;
}
