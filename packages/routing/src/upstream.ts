import type * as decision from "@citronlead/decision";

/** State that an upstream reports in its registration. */
export enum UpstreamState {
    Ready = "ready",
    /** Finishes the work in flight and accepts no more. */
    Draining = "draining",
}

/** The stages of a generation that an engine runs. */
export enum EngineStage {
    Prefill = "prefill",
    Decode = "decode",
    /** Both prefill and decode. */
    Whole = "whole",
}

/** The registration of one incarnation of an upstream. */
export interface Upstream {
    readonly id: string;
    readonly service: string;
    /** Address and port. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly state: UpstreamState;
    readonly slots: number;
    /** Undefined for plain services. */
    readonly stage: EngineStage | undefined;
    /** Version of its software, not of the weights that it serves. */
    readonly softwareVersion: string;
    /** Start of this incarnation, in Unix milliseconds; 0 if the upstream does not report it. */
    readonly startedAt: number;
    /** Number of this registration within the incarnation, counted upwards; undefined if the upstream does not count. */
    readonly registrationNumber?: number | undefined;
    /** Time until it reaches full speed after its start. */
    readonly warmUpLeftMs: decision.Milliseconds;
}

/** Identifies an incarnation: an upstream that restarts may keep its id. */
export function incarnationOf(upstream: Upstream): string {
    return `${upstream.id}@${upstream.startedAt}`;
}
