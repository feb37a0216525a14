import * as demo from "@citronlead/demo";
import type * as lifecycle from "@citronlead/lifecycle";

/** What happened to a router's process, by the monotonic clock of this one. */
export interface Disturbance {
    readonly from: number;
    /** Infinity while it lasts. */
    until: number;
}

/** A router under failures. */
export interface RouterSubject {
    readonly router: demo.FleetRouter;
    process: demo.RunningProcess;
    /** Whether its process runs and is not frozen. */
    up: boolean;
    /** Kills, freezes and the starts that followed them; planned stops are none. */
    readonly disturbances: Disturbance[];
}

/** An engine under failures. */
export interface EngineSubject {
    readonly engine: demo.FleetUpstream;
    process: demo.RunningProcess;
    /** Whether a failure is being brought about or mended at it. */
    taken: boolean;
}

/** A content that crashes each engine that runs it, and how many it crashed. */
export interface Poisoning {
    readonly mark: string;
    crashes: number;
}

/** A fleet under failures. */
export interface Subjects {
    readonly scope: lifecycle.Lifecycle;
    readonly fleet: demo.RunningFleet;
    readonly routers: readonly RouterSubject[];
    readonly engines: readonly EngineSubject[];
    /** Revisions that were accepted, each with its time. */
    readonly accepted: { readonly revision: number; readonly at: number; }[];
    readonly poisonings: Poisoning[];
    /** A key whose workspace stays. */
    readonly key: string;
    /** Times in which the key-value service was out of reach. */
    readonly outages: Disturbance[];
}

/** Takes a fleet that runs. */
export function takeSubjects(scope: lifecycle.Lifecycle, fleet: demo.RunningFleet, key: string): Subjects {
    return {
        scope,
        fleet,
        routers: fleet.routers.map((router) => ({ router, process: router.process, up: true, disturbances: [] })),
        engines: [...fleet.prefillEngines, ...fleet.decodeEngines]
            .map((engine) => ({ engine, process: engine.process, taken: false })),
        accepted: [],
        poisonings: [],
        key,
        outages: [],
    };
}

/** Whether any of the disturbances overlaps a span of time. */
export function overlaps(disturbances: readonly Disturbance[], from: number, until: number): boolean {
    return disturbances.some((one) => one.from <= until && one.until >= from);
}
