import * as demo from "@citronlead/demo";
import type * as lifecycle from "@citronlead/lifecycle";

/** Time span of a fault, by this process's monotonic clock. */
export interface Disruption {
    readonly from: number;
    /** Infinity while the fault lasts. */
    until: number;
}

/** A router that faults are injected into. */
export interface RouterUnderTest {
    readonly router: demo.FleetRouter;
    process: demo.RunningProcess;
    /** Whether its process runs and is not frozen. */
    up: boolean;
    /** Kills and freezes, each up to the end of the restart or freeze. Planned stops are not included. */
    readonly disruptions: Disruption[];
}

/** An engine that faults are injected into. */
export interface EngineUnderTest {
    readonly engine: demo.FleetUpstream;
    process: demo.RunningProcess;
    /** Whether the engine must not be chosen for another fault yet. */
    faultInProgress: boolean;
}

/** A prompt that crashes each engine that runs it, and the number of crashes so far. */
export interface CrashingPrompt {
    /** Text in the prompt on which the engines' stand-ins crash. */
    readonly mark: string;
    crashes: number;
}

/** A running fleet and the record of the faults injected into it. */
export interface FleetUnderTest {
    readonly scope: lifecycle.Scope;
    readonly fleet: demo.RunningFleet;
    readonly routers: readonly RouterUnderTest[];
    readonly engines: readonly EngineUnderTest[];
    /** Accepted configuration revisions and the times at which their acceptance was known. */
    readonly acceptedRevisions: { readonly revision: number; readonly at: number; }[];
    readonly crashingPrompts: CrashingPrompt[];
    /** Key that is not withdrawn during the run. */
    readonly key: string;
    /** Outages of the key-value service. */
    readonly outages: Disruption[];
}

/** Creates the record for a running fleet without faults. */
export function makeFleetUnderTest(scope: lifecycle.Scope, fleet: demo.RunningFleet, key: string): FleetUnderTest {
    return {
        scope,
        fleet,
        routers: fleet.routers.map((router) => ({ router, process: router.process, up: true, disruptions: [] })),
        engines: [...fleet.prefillEngines, ...fleet.decodeEngines]
            .map((engine) => ({ engine, process: engine.process, faultInProgress: false })),
        acceptedRevisions: [],
        crashingPrompts: [],
        key,
        outages: [],
    };
}

/** Whether any of the disruptions overlaps a time span. */
export function overlaps(disruptions: readonly Disruption[], from: number, until: number): boolean {
    return disruptions.some((one) => one.from <= until && one.until >= from);
}
