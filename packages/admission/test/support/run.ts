import * as callers from "./callers.js";
import * as faultInjection from "./faults.js";
import * as fleets from "./fleet.js";

/** What a seeded run came to. */
export interface RunSummary {
    readonly requests: number;
    readonly granted: number;
    readonly events: number;
    readonly messages: number;
    /** The lowest level of a virtual bucket relative to its burst; below 0 would be a broken bound. */
    readonly lowest: number;
}

/** One fleet under all faults at once. Throws if any window of any workspace gets more than rate and burst. */
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
        lost: 0.02,
        repeated: 0.02,
        late: 0.02,
        configurationDelayMs: 5_000,
    });
    let requests = 0;
    let granted = 0;
    fleet.onResult = (result) => {
        requests++;
        if (result.granted) {
            granted++;
            settleLater(fleet, result.requestId);
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
        const load = { meanTokens: 150, largestTokens: 3_000, patienceMs: 2_000, leaving: 0.02 };
        const tokensPerSecond = fleet.random.pick([2_500, 6_000]);
        callers.sendRequests(fleet, { workspace, tokensPerSecond, ...load }, lengthMs);
    }
    fleet.agenda.runUntil(lengthMs);
    fleet.checkFinalUse();
    const { eventCount: events, messageCount: messages } = fleet;
    return { requests, granted, events, messages, lowest: fleet.checker.lowest };
}

const LONGEST_RUN_MS = 3_000;

/** Ends a granted request after a while, at the host that has it. */
function settleLater(fleet: fleets.Fleet, requestId: string): void {
    const { agenda, random } = fleet;
    const share = random.chance(0.05) ? 1.2 : random.fraction();
    agenda.after(random.fraction() * LONGEST_RUN_MS, () => fleet.settle(requestId, share));
}
