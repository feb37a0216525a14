import type * as decision from "@citronlead/decision";
import type * as http from "node:http";

/** What a caller's request says of itself. */
export interface RequestMetadata {
    readonly requestId: string | undefined;
    readonly key: string | undefined;
    /** How long the caller waits from when it sent the request. */
    readonly patienceMs: decision.Milliseconds | undefined;
    readonly promptTokens: number;
    /** Output tokens at most. */
    readonly outputTokens: number;
    /** The caller's estimate of the output, in tokens. */
    readonly estimatedOutputTokens: number | undefined;
    /** The last event that the caller has of a stream that it resumes. */
    readonly lastEventId: string | undefined;
}

/** What the gateway says to an upstream beside the caller's own request. */
export interface Forwarding {
    readonly expectedUpstream: string;
    readonly timeLeftMs: decision.Milliseconds;
    readonly workspace: string | undefined;
    readonly priority: number | undefined;
    /** Only have the prompt read. */
    readonly prefillOnly: boolean;
    /** Address and handle of the prefill to go on from. */
    readonly prefillSource: string | undefined;
    readonly reservation: string | undefined;
    /** The last event that was passed on, of a stream that goes on at another engine. */
    readonly resumeAfter: string | undefined;
}

/** What an upstream's answer says of itself. */
export interface ResponseMetadata {
    readonly requestId: string | undefined;
    /** Whether the answer bears the upstream's signature. */
    readonly signed: boolean;
    /** Whether the upstream says that it did not run the request and will not. */
    readonly notRun: boolean;
}

/** A call to an engine beside requests. */
export interface EngineCall {
    readonly method: string;
    readonly path: string;
    readonly body: unknown;
}

/** Names and formats that callers and upstreams speak. */
export interface Wire {
    readonly readCaller: (headers: http.IncomingHttpHeaders) => RequestMetadata;
    /** Headers for an upstream as a flat list of names and values: the caller's, less those that the gateway sets. */
    readonly upstreamHeaders: (callerHeaders: readonly string[], forwarding: Forwarding) => string[];
    readonly readAnswer: (headers: http.IncomingHttpHeaders) => ResponseMetadata;
    /** Headers of a refusal, as a flat list of names and values. */
    readonly refusalHeaders: (
        requestId: string | undefined,
        retryAfterMs: decision.Milliseconds | undefined,
    ) => string[];
    /** Headers of a call to an engine beside requests, as a flat list. */
    readonly callHeaders: (expectedUpstream: string) => string[];
    /** The handle in a prefill's answer, or undefined if there is none. */
    readonly readPrefill: (body: unknown) => string | undefined;
    /** Source that a decode engine fetches a prefill's result from. */
    readonly prefillSource: (address: string, handle: string) => string;
    readonly reserve: (tokens: number, lifeMs: decision.Milliseconds) => EngineCall;
    /** The reservation in the answer to reserve, or undefined if there is none. */
    readonly readReservation: (body: unknown) => string | undefined;
    readonly releaseReservation: (reservation: string) => EngineCall;
    readonly releasePrefill: (handle: string) => EngineCall;
    /** Path at which the platform's balancer asks whether the host takes connections. */
    readonly readyPath: string;
}
