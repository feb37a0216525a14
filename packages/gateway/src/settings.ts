import type * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";

/** An address to listen on. */
export interface ListenAddress {
    readonly address: string;
    readonly port: number;
}

/** How fresh a host's view of the store must be. */
export interface Freshness {
    /** Interval between listings of upstreams: half of the time within which a departure must be noticed. */
    readonly listingPeriodMs: decision.Milliseconds;
    /** Timeout of one watch for a configuration: the time within which a new one must be applied. */
    readonly configurationWatchMs: decision.Milliseconds;
}

/** Validated settings of a gateway process. */
export interface GatewaySettings {
    readonly host: string;
    readonly availabilityZone: string;
    readonly callers: ListenAddress;
    /** Address of the readiness probe. */
    readonly readiness: ListenAddress;
    readonly metrics: ListenAddress & { readonly path: string; };
    /** UDP address for messages between hosts. The port is the same on all hosts. */
    readonly peers: ListenAddress;
    /** Time from SIGTERM until the process is killed. */
    readonly stopPeriodMs: decision.Milliseconds;
    /** Units that a workspace may exceed its limit by while hosts cannot reach each other. */
    readonly quotaTolerance: number;
    /** Window over which a workspace's rate and burst are enforced. */
    readonly quotaWindowMs: decision.Milliseconds;
    /** By how much a second may exceed the rate of upstreams that warm up. */
    readonly warmUpTolerance?: dispatch.WarmUpTolerance | undefined;
    readonly retries: dispatch.RetryLimits;
    readonly freshness: Freshness;
    /** Region of each availability zone. */
    readonly regions: ReadonlyMap<string, string>;
    /** What the machine allows this process; the bounds on what is held for callers follow from it. */
    readonly machine: dispatch.MachineLimits;
}
