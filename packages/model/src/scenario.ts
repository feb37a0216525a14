import type * as decision from "@citronlead/decision";

/** What one run of the model does to the pool. */
export interface Scenario {
    readonly name: string;
    /** Offered load over what the pool can carry. */
    readonly load: number;
    readonly durationMs: decision.Milliseconds;
    /** Requests that arrive before this are not counted. */
    readonly countFromMs: decision.Milliseconds;
    /** The share of prompts that begin with a prefix that others of the workspace use. */
    readonly sharedPrefixes: number;
    /** The workspace that sends several times its rate, and how many times. */
    readonly flooding: string;
    readonly floodFactor: number;
    readonly cancelShare: number;
    /** A decode engine crashes with this period, another one each time; 0 for never. */
    readonly crashPeriodMs: decision.Milliseconds;
    readonly slowDecode: number;
    readonly slowPrefill: number;
    /** The factor by which the link of one prefill engine is slower. */
    readonly slowLink: number;
    /** Callers of this time come back all at once at its end. */
    readonly outageFromMs: decision.Milliseconds;
    readonly outageUntilMs: decision.Milliseconds;
    readonly faulty: boolean;
}

const PLAIN: Scenario = {
    name: "",
    load: 0.9,
    durationMs: 70_000,
    countFromMs: 15_000,
    sharedPrefixes: 0.25,
    flooding: "",
    floodFactor: 1,
    cancelShare: 0,
    crashPeriodMs: 0,
    slowDecode: 1,
    slowPrefill: 1,
    slowLink: 1,
    outageFromMs: 0,
    outageUntilMs: 0,
    faulty: false,
};

const LOADS = [0.7, 0.9, 1.0, 1.2, 2.0];
const FLOOD_FACTOR = 5;
const MINUTE_MS = 60_000;
const FAULT_LOAD = 0.9;

/** The scenarios of the measurement; flooding names a workspace by its place in the order of rates, largest first. */
export function scenarioList(workspaces: readonly string[]): readonly Scenario[] {
    const [largest = "", second = ""] = workspaces;
    const faulty = { ...PLAIN, load: FAULT_LOAD, faulty: true };
    const crash = { ...faulty, crashPeriodMs: MINUTE_MS, durationMs: 3 * MINUTE_MS };
    return [
        ...LOADS.map((load) => ({ ...PLAIN, name: `load-${load.toFixed(1)}`, load })),
        { ...PLAIN, name: "flood-largest", flooding: largest, floodFactor: FLOOD_FACTOR },
        { ...PLAIN, name: "flood-second", flooding: second, floodFactor: FLOOD_FACTOR },
        { ...PLAIN, name: "shared-prefixes", load: 1.0, sharedPrefixes: 0.75 },
        { ...crash, name: "crash" },
        { ...crash, name: "crash-1.2", load: 1.2 },
        { ...faulty, name: "slow-decode", slowDecode: 10 },
        { ...faulty, name: "slow-prefill", slowPrefill: 10 },
        { ...faulty, name: "slow-link", slowLink: 10 },
        { ...faulty, name: "cancels", cancelShare: 0.1 },
        { ...faulty, name: "burst", load: 0.7, outageFromMs: 20_000, outageUntilMs: 30_000 },
    ];
}
