import * as callers from "./callers.js";
import * as faultInjection from "./faults.js";
import * as fleets from "./fleet.js";

/** The results of a seeded run. */
export interface RunSummary {
    readonly requests: number;
    readonly granted: number;
    readonly events: number;
    readonly messages: number;
    /** The lowest level of any virtual bucket relative to its burst. Below 0 the rate limit was exceeded. */
    readonly lowestLevelRatio: number;
}

/** Runs one fleet under all faults at once. Throws if a workspace exceeds its rate and burst in any time window. */
export function runUnderFaults(seed: number, hostCount: number, workspaceCount: number, lengthMs: number): RunSummary {
    const workspaces = Object.fromEntries(
        Array.from({ length: workspaceCount }, (_, index) => [
            `workspace-${index}`,
            { tokensPerSecond: 3_000, burstTokens: 3_000 * (1 + index % 3) },
        ]),
    );
    const fleet = new fleets.Fleet(seed, {
        hostCount,
        zoneCount: 3,
        workspaces,
        lossProbability: 0.02,
        duplicateProbability: 0.02,
        lateProbability: 0.02,
        configurationDelayMs: 5_000,
    });
    let requests = 0;
    let granted = 0;
    fleet.onResult = (result) => {
        requests++;
        if (result.granted) {
            granted++;
            scheduleSettlement(fleet, result.requestId);
        }
    };
    faultInjection.injectFaults(fleet, {
        killEveryMs: 5_000,
        pauseEveryMs: 3_000,
        handOverEveryMs: 2_000,
        outageEveryMs: 30_000,
        configureEveryMs: 7_000,
    });
    for (const workspace of Object.keys(workspaces)) {
        const load = { meanTokens: 150, maxTokens: 3_000, patienceMs: 2_000, cancelProbability: 0.02 };
        const tokensPerSecond = fleet.random.pick([2_500, 6_000]);
        callers.sendRequests(fleet, { workspace, tokensPerSecond, ...load }, lengthMs);
    }
    fleet.scheduler.runUntil(lengthMs);
    fleet.checkFinalUse();
    const { eventCount: events, messageCount: messages } = fleet;
    return { requests, granted, events, messages, lowestLevelRatio: fleet.checker.lowestLevelRatio };
}

const MAX_REQUEST_DURATION_MS = 3_000;

/** Ends a granted request after a random time. 5% use more tokens than were charged. */
function scheduleSettlement(fleet: fleets.Fleet, requestId: string): void {
    const { scheduler, random } = fleet;
    const usedFraction = random.chance(0.05) ? 1.2 : random.fraction();
    scheduler.after(random.fraction() * MAX_REQUEST_DURATION_MS, () => fleet.settle(requestId, usedFraction));
}
