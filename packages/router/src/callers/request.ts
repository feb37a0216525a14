import type * as decision from "@citronlead/decision";
import type * as http from "node:http";
import type * as traces from "../trace.js";
import type * as authenticate from "./authenticate.js";

/** A caller's request, from its arrival to its final answer. */
export interface CallerRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query string as received. */
    readonly pathAndQuery: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
    readonly credential: authenticate.Credential | undefined;
    readonly arrivedAt: decision.Milliseconds;
    /** When the request must have its final answer, on the clock of this process. */
    readonly deadline: decision.Milliseconds;
    /** Aborted, with an AbortReason, when the caller disconnects, its key is withdrawn or the deadline passes. */
    readonly signal: AbortSignal;
    /** Adds a step to the trace of the request. */
    readonly addTraceStep: traces.AddTraceStep;
}

/** Why a request's signal was aborted. */
export enum AbortReason {
    CallerDisconnected = "caller-gone",
    DeadlinePassed = "deadline-passed",
    KeyWithdrawn = "key-withdrawn",
}

/** The reason for which a request's signal was aborted, or undefined if it was not. */
export function abortReason(signal: AbortSignal): AbortReason | undefined {
    return signal.aborted ? signal.reason as AbortReason : undefined;
}

/** Latencies of a request since its arrival; undefined until the event occurs. */
export interface Timings {
    /** Time until the first start at an upstream. */
    queueingMs: decision.Milliseconds | undefined;
    firstTokenMs: decision.Milliseconds | undefined;
    /** The number of tokens sent to the caller. */
    outputTokens: number;
}

/** Timings for a request that has just arrived. */
export function newTimings(): Timings {
    return { queueingMs: undefined, firstTokenMs: undefined, outputTokens: 0 };
}
