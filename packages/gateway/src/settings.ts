import type * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";

/** An address to listen on. */
export interface ListenAddress {
    readonly address: string;
    readonly port: number;
}

/** How fresh what a host knows from the store has to be. */
export interface Freshness {
    /** Period of listings of upstreams; half of the time in which a departure has to be known. */
    readonly listingPeriodMs: decision.Milliseconds;
    /** Longest wait of one watch for a configuration: the time in which one has to be in force. */
    readonly configurationWatchMs: decision.Milliseconds;
}

/** Checked settings of a gateway process. */
export interface GatewaySettings {
    readonly host: string;
    readonly availabilityZone: string;
    readonly callers: ListenAddress;
    /** Where the platform's balancer asks for readiness. */
    readonly readiness: ListenAddress;
    readonly metrics: ListenAddress & { readonly path: string; };
    /** UDP address for messages between hosts; the port is the same on all hosts. */
    readonly peers: ListenAddress;
    /** Time from SIGTERM until the process is killed. */
    readonly stopPeriodMs: decision.Milliseconds;
    /** Units that a workspace may get beyond its limit while hosts cannot talk to each other. */
    readonly quotaTolerance: number;
    /** Span over which a workspace's rate and burst are counted. */
    readonly quotaWindowMs: decision.Milliseconds;
    readonly retries: dispatch.RetryLimits;
    readonly freshness: Freshness;
}
