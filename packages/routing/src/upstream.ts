import type * as decision from "@citronlead/decision";

/** What an upstream says of itself. */
export enum UpstreamState {
    Ready = "ready",
    /** Finishes its work and takes no more. */
    Draining = "draining",
}

/** The part of a generation that an engine does. */
export enum EngineStage {
    Prefill = "prefill",
    Decode = "decode",
    /** Both parts, one after the other. */
    Whole = "whole",
}

/** One incarnation of an upstream, as it registered itself. */
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
    /** Start of this incarnation, in Unix milliseconds; 0 if it is not told. */
    readonly startedAt: number;
    /** How much longer it is slow after its start. */
    readonly warmUpLeftMs: decision.Milliseconds;
}

/** Names an incarnation: an upstream may start again under its former id. */
export function incarnationOf(upstream: Upstream): string {
    return `${upstream.id}@${upstream.startedAt}`;
}
