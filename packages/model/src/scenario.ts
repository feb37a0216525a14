import type * as decision from "@citronlead/decision";

/** Load and faults of a run. */
export interface Scenario {
    readonly name: string;
    /** Offered load as a fraction of the pool's capacity. */
    readonly load: number;
    readonly durationMs: decision.Milliseconds;
    /** Requests that arrive before this are not counted. */
    readonly countFromMs: decision.Milliseconds;
    /** Fraction of prompts that begin with a prefix shared within the workspace. */
    readonly sharedPrefixRatio: number;
    /** The workspace that exceeds its usual rate, or empty for none, and the factor by which it does. */
    readonly floodingWorkspace: string;
    readonly floodFactor: number;
    /** Fraction of requests that their callers may cancel before they end. */
    readonly cancelRatio: number;
    /** Time between two crashes, each of another decode engine; 0 for no crashes. */
    readonly crashPeriodMs: decision.Milliseconds;
    /** Factors by which one decode engine, one prefill engine and the link of that prefill engine are slower. */
    readonly decodeSlowdown: number;
    readonly prefillSlowdown: number;
    readonly linkSlowdown: number;
    /** Requests due in this interval all arrive at its end, as after an outage. */
    readonly outageFromMs: decision.Milliseconds;
    readonly outageUntilMs: decision.Milliseconds;
    readonly faulty: boolean;
}

const DEFAULT_SCENARIO: Scenario = {
    name: "",
    load: 0.9,
    durationMs: 70_000,
    countFromMs: 15_000,
    sharedPrefixRatio: 0.25,
    floodingWorkspace: "",
    floodFactor: 1,
    cancelRatio: 0,
    crashPeriodMs: 0,
    decodeSlowdown: 1,
    prefillSlowdown: 1,
    linkSlowdown: 1,
    outageFromMs: 0,
    outageUntilMs: 0,
    faulty: false,
};

const LOADS = [0.7, 0.9, 1.0, 1.2, 2.0];
const FLOOD_FACTOR = 5;
const MINUTE_MS = 60_000;
const FAULT_LOAD = 0.9;

/** Returns the measured scenarios. The workspaces must be sorted by rate, largest first; the first two are flooded. */
export function scenarioList(workspaces: readonly string[]): readonly Scenario[] {
    const [largest = "", second = ""] = workspaces;
    const faulty = { ...DEFAULT_SCENARIO, load: FAULT_LOAD, faulty: true };
    const crash = { ...faulty, crashPeriodMs: MINUTE_MS, durationMs: 3 * MINUTE_MS };
    return [
        ...LOADS.map((load) => ({ ...DEFAULT_SCENARIO, name: `load-${load.toFixed(1)}`, load })),
        { ...DEFAULT_SCENARIO, name: "flood-largest", floodingWorkspace: largest, floodFactor: FLOOD_FACTOR },
        { ...DEFAULT_SCENARIO, name: "flood-second", floodingWorkspace: second, floodFactor: FLOOD_FACTOR },
        { ...DEFAULT_SCENARIO, name: "shared-prefixes", load: 1.0, sharedPrefixRatio: 0.75 },
        { ...crash, name: "crash" },
        { ...crash, name: "crash-1.2", load: 1.2 },
        { ...faulty, name: "slow-decode", decodeSlowdown: 10 },
        { ...faulty, name: "slow-prefill", prefillSlowdown: 10 },
        { ...faulty, name: "slow-link", linkSlowdown: 10 },
        { ...faulty, name: "cancels", cancelRatio: 0.1 },
        { ...faulty, name: "burst", load: 0.7, outageFromMs: 20_000, outageUntilMs: 30_000 },
    ];
}
