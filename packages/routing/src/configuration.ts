import type * as decision from "@citronlead/decision";

/** Whether and how a route's requests may be repeated. */
export enum RouteKind {
    /** May run any number of times. */
    Idempotent = "idempotent",
    /** Runs at most once for each request of a caller. */
    NonIdempotent = "nonIdempotent",
    /** Answers with an event stream; runs at most once unless the route allows it to be resumed. */
    Streaming = "streaming",
}

/** A service that takes a share of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    /** Share of the requests, relative to the other targets of the route. */
    readonly weight: number;
}

/** Sends the requests of one host name and path prefix to services. */
export interface Route {
    readonly name: string;
    /** Host name in lower case, without a port. */
    readonly hostName: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest time from arrival to the final answer. */
    readonly timeoutMs: decision.Milliseconds;
    /** Time within which an answer, or the first event of a stream, counts as on time. */
    readonly latencyTargetMs: decision.Milliseconds;
    /** Longest pause between events that counts as on time. */
    readonly pauseTargetMs: decision.Milliseconds | undefined;
    /** Urgency, 0 first. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Upstreams that may run one request. */
    readonly attempts: number;
    /** Whether requests need no key. */
    readonly open: boolean;
    /** Whether requests carry a prompt and run on model engines. */
    readonly generative: boolean;
    /** Whether a stream may go on at another engine after its last event. */
    readonly resumable: boolean;
}

/** Figures of the model engines of a service. */
export interface EngineTerms {
    /** Requests in one batch. */
    readonly slots: number;
    /** Memory for KV cache, in tokens. */
    readonly memoryTokens: number;
    /** Longest time for which a reservation of memory is granted. */
    readonly reservationLimitMs: decision.Milliseconds;
    /** Output tokens in one event of a stream. */
    readonly tokensAnEvent: number;
    /** How long the result of a prefill is kept. */
    readonly handleLifeMs: decision.Milliseconds;
}

/** A service and how its upstreams are reached. */
export interface Service {
    readonly name: string;
    /** Connections that one upstream accepts from all hosts together. */
    readonly connectionLimit: number;
    /** Undefined for a plain service. */
    readonly engine: EngineTerms | undefined;
}

/** What a workspace's rate and burst are counted in. */
export enum RateUnit {
    Requests = "requests",
    Tokens = "tokens",
}

/** A workspace with its keys and its rate over all hosts together. */
export interface Workspace {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the priority of the route. */
    readonly priority: number | undefined;
    readonly unit: RateUnit;
    /** What a request that names no tokens counts, in tokens. */
    readonly plainCost: number;
    /** Units a second; 0 for no limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: decision.Milliseconds;
    readonly idleTimeoutMs: decision.Milliseconds;
}

/** One version of the operators' configuration. */
export interface RoutedConfiguration {
    /** Grows with each change, in uneven steps. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    /** Undefined if the operators have no workspaces: then no request needs a key. */
    readonly workspaces: readonly Workspace[] | undefined;
    readonly limits: CallerLimits;
}
