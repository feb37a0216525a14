import type * as decision from "@citronlead/decision";
import type * as routing from "@citronlead/routing";
import type * as http from "node:http";

/** Metadata in the headers of a caller's request. */
export interface RequestMetadata {
    readonly requestId: string | undefined;
    readonly key: string | undefined;
    /** How long the caller waits for the response after sending the request. */
    readonly timeoutMs: decision.Milliseconds | undefined;
    readonly promptTokens: number;
    /** Maximum number of output tokens. */
    readonly maxOutputTokens: number;
    /** The caller's estimate of the output length, in tokens. */
    readonly estimatedOutputTokens: number | undefined;
    /** Id of the last event that the caller received of a stream that it resumes. */
    readonly lastEventId: string | undefined;
    /** Id of the caller's attempt that brought the first event of the stream that it resumes. */
    readonly resumedRequestId: string | undefined;
    /** Ids of the parts of the prompt that other requests may have too, in order. */
    readonly sharedPromptParts: readonly string[];
}

/** Metadata that the gateway adds to a request when it forwards it to an upstream. */
export interface ForwardingMetadata {
    readonly expectedUpstream: string;
    readonly timeLeftMs: decision.Milliseconds;
    readonly workspace: string | undefined;
    readonly priority: number | undefined;
    /** Whether the engine is to run the prefill only. */
    readonly prefillOnly: boolean;
    /** Address and handle of the prefill result to decode from. */
    readonly prefillSource: string | undefined;
    readonly reservation: string | undefined;
    /** Id of the last event that was relayed, for a stream that continues at another engine. */
    readonly resumeAfterEventId: string | undefined;
}

/** Metadata in the headers of an upstream's response. */
export interface ResponseMetadata {
    readonly requestId: string | undefined;
    /** Whether the response carries the upstream's signature. */
    readonly signed: boolean;
    /** Whether the upstream states that it did not run the request and will not run it. */
    readonly notRun: boolean;
    /** Requests per second that the upstream takes from all hosts together while it says so. */
    readonly limitPerSecond: number | undefined;
    /** How long the upstream goes on to warm up; undefined if the response does not say. */
    readonly warmUpLeftMs?: decision.Milliseconds | undefined;
    /** Whether the upstream says that it leaves. */
    readonly leaving: boolean;
    /** Time in which the upstream wants nothing from this host, if it turns a request away; undefined if it names none. */
    readonly retryAfterMs: decision.Milliseconds | undefined;
    /** Notices about the upstream that mean nothing, each as name and value. */
    readonly unreadableNotices: readonly string[];
}

/** A control call to an engine, such as a reservation. The body is sent as JSON. */
export interface EngineCall {
    readonly method: string;
    readonly path: string;
    readonly body: unknown;
}

/** An order to an engine to change its stage. */
export interface StageOrder {
    readonly stage: routing.EngineStage;
    readonly holder: string;
    readonly fencing: number;
    /** Number of orders that the engine has accepted so far; it refuses the order if that differs. */
    readonly expectedOrders: number;
}

/** Header names, paths and body formats of callers and upstreams, as the platform defines them. */
export interface WireFormat {
    readonly parseRequest: (headers: http.IncomingHttpHeaders) => RequestMetadata;
    /**
     * Headers of a forwarded request, as a flat list of names and values: the caller's own, with those that only the
     * gateway may set replaced by the forwarding metadata.
     */
    readonly upstreamHeaders: (callerHeaders: readonly string[], forwarding: ForwardingMetadata) => string[];
    readonly parseResponse: (headers: http.IncomingHttpHeaders) => ResponseMetadata;
    /** Headers of the gateway's own response, as a flat list of names and values. */
    readonly refusalHeaders: (
        requestId: string | undefined,
        retryAfterMs: decision.Milliseconds | undefined,
    ) => string[];
    /** Headers of a control call to an engine, as a flat list of names and values. */
    readonly engineCallHeaders: (expectedUpstream: string) => string[];
    /** The handle in the response to a prefill, or undefined if there is none. */
    readonly parsePrefillHandle: (body: unknown) => string | undefined;
    /** The source from which a decode engine fetches the result of a prefill. */
    readonly prefillSource: (address: string, handle: string) => string;
    readonly reserveCall: (tokens: number, timeToLiveMs: decision.Milliseconds) => EngineCall;
    /** The reservation id in the response to a reserve call, or undefined if there is none. */
    readonly parseReservationId: (body: unknown) => string | undefined;
    readonly releaseReservationCall: (reservation: string) => EngineCall;
    readonly stageOrderCall: (order: StageOrder) => EngineCall;
    readonly releasePrefillCall: (handle: string) => EngineCall;
    /** Path at which an engine tells its state, whatever its load. */
    readonly engineStatePath: string;
    /** Path of the load balancer's readiness probe. */
    readonly readinessPath: string;
}
