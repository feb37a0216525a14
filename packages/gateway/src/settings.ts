import type * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";

/** An address to listen on. */
export interface ListenAddress {
    readonly address: string;
    readonly port: number;
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
    /** What operators put up with beyond a workspace's limit in a window: a share of the limit, and units on top. */
    readonly quotaTolerance: { readonly share: number; readonly units: number; };
    /** Span over which a workspace's rate and burst are counted. */
    readonly quotaWindowMs: decision.Milliseconds;
    readonly retries: dispatch.RetryTerms;
}
