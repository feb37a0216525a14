import type * as decision from "@citronlead/decision";

/** Whether and how a route's requests may be retried. */
export enum RouteKind {
    /** May run any number of times. */
    Idempotent = "idempotent",
    /** Runs at most once per caller's request. */
    NonIdempotent = "nonIdempotent",
    /** Responds with an event stream; runs at most once unless the route is resumable. */
    Streaming = "streaming",
}

/** A service that takes a share of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    /** Share of the requests, relative to the other targets of the route. */
    readonly weight: number;
}

/** Maps the requests of one host name and path prefix to services. */
export interface Route {
    readonly name: string;
    /** Host name in lower case, without a port. */
    readonly hostName: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Maximum time from arrival to the final response. */
    readonly timeoutMs: decision.Milliseconds;
    /** Time within which a response, or the first event of a stream, counts as on time. */
    readonly latencyTargetMs: decision.Milliseconds;
    /** Longest gap between events that counts as on time. */
    readonly eventGapTargetMs: decision.Milliseconds | undefined;
    /** Smaller values are more urgent; 0 comes first. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of upstreams that may run one request. */
    readonly maxAttempts: number;
    /** Whether requests are accepted without a key. */
    readonly allowsAnonymous: boolean;
    /** Whether requests carry a prompt and run on model engines. */
    readonly generative: boolean;
    /** Whether a broken stream may be continued by another engine after the last event. */
    readonly resumable: boolean;
    /** Regions that the route's requests may use; undefined or empty for all. */
    readonly allowedRegions?: readonly string[] | undefined;
}

/** Capacity and limits of the model engines of a service. */
export interface EngineLimits {
    /** Maximum number of requests in one batch. */
    readonly slots: number;
    /** Capacity of the KV cache, in tokens. */
    readonly kvCacheTokens: number;
    /** Longest time for which a reservation of memory is granted; undefined if engines grant none. */
    readonly maxReservationMs: decision.Milliseconds | undefined;
    /** Output tokens in one event of a stream. */
    readonly tokensPerEvent: number;
    /** How long an engine keeps the result of a prefill. */
    readonly prefillTtlMs: decision.Milliseconds;
}

/** How the upstreams of a service warm up after a start. */
export interface WarmUpLimits {
    readonly durationMs: decision.Milliseconds;
    /** Requests per second that an upstream bears from all hosts together while it warms up. */
    readonly requestsPerSecond: number;
}

/** A service and how its upstreams are reached. */
export interface Service {
    readonly name: string;
    /** Maximum number of connections that one upstream accepts from all hosts together. */
    readonly connectionLimit: number;
    /** Path at which an upstream tells whether it is healthy; undefined if there is none. */
    readonly healthPath: string | undefined;
    /** Undefined for a plain service. */
    readonly engine: EngineLimits | undefined;
    /** Undefined if its upstreams bear their usual rate at once. */
    readonly warmUp?: WarmUpLimits | undefined;
}

/** Unit of a workspace's rate and burst. */
export enum RateUnit {
    Requests = "requests",
    Tokens = "tokens",
}

/** A workspace with its keys and its rate limit across all hosts. */
export interface Workspace {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the priority of the route. */
    readonly priority: number | undefined;
    readonly unit: RateUnit;
    /** Cost of a request that states no token counts, in tokens. */
    readonly defaultCostTokens: number;
    /** Units per second; 0 for no limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
    /** Regions that the workspace's requests may use; undefined or empty for all. */
    readonly allowedRegions?: readonly string[] | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: decision.Milliseconds;
    readonly idleTimeoutMs: decision.Milliseconds;
}

/** One version of the operators' configuration of routes, services and workspaces. */
export interface RoutingConfiguration {
    /** Increases with each change, not necessarily by one. */
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    /** Undefined if workspaces are not configured; then no request needs a key. */
    readonly workspaces: readonly Workspace[] | undefined;
    readonly limits: CallerLimits;
}
