import type * as decision from "@citronlead/decision";
import type * as http from "node:http";
import type * as authenticate from "./authenticate.js";
import type * as traces from "./trace.js";

/** One request of a caller, from its arrival to its final answer. */
export interface CallerRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query as sent. */
    readonly pathAndQuery: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
    readonly credential: authenticate.Credential | undefined;
    readonly arrivedAt: decision.Milliseconds;
    /** When the request must have its final answer, on this process's clock. */
    readonly deadline: decision.Milliseconds;
    /** Aborts when the caller goes, its key is withdrawn or the deadline passes. */
    readonly signal: AbortSignal;
    readonly note: traces.Note;
}

/** Why a request's signal was aborted. */
export enum AbortCause {
    CallerGone = "caller-gone",
    DeadlinePassed = "deadline-passed",
    KeyWithdrawn = "key-withdrawn",
}

/** The cause with which a request's signal was aborted, or undefined if it was not. */
export function abortCause(signal: AbortSignal): AbortCause | undefined {
    return signal.aborted ? signal.reason as AbortCause : undefined;
}

/** When a request reached the marks of its way, in milliseconds since its arrival; undefined for those not reached. */
export interface Timings {
    /** The start at an upstream. */
    queueing: decision.Milliseconds | undefined;
    firstToken: decision.Milliseconds | undefined;
    /** Tokens sent to the caller. */
    outputTokens: number;
}

/** The timings of a request that has just arrived. */
export function emptyTimings(): Timings {
    return { queueing: undefined, firstToken: undefined, outputTokens: 0 };
}
