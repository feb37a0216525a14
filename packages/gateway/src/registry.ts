import type * as decision from "@citronlead/decision";
import type * as routing from "@citronlead/routing";

/** The upstreams that are registered at a revision of the store. */
export interface UpstreamListing {
    readonly upstreams: readonly routing.Upstream[];
    /** Era of the store; see `routing.ListingVersion`. */
    readonly era: number;
    readonly revision: number;
}

/** What the hosts of the fleet have written to the store. It may be some seconds old. */
export interface FleetListing {
    /** Addresses of the registered hosts. */
    readonly hosts: readonly string[];
    /** Fingerprints of requests that crash upstreams. */
    readonly barred: readonly string[];
}

/** Access to the platform's store of configuration, upstreams and hosts. Failures are returned as outcomes. */
export interface Registry {
    /** The latest era of the store that a response has shown. Responses of earlier eras are failures. */
    readonly storeEra: () => number;
    /** Waits for a configuration that has not been read yet; undefined if none arrives within one watch. */
    readonly waitForConfiguration: () => Promise<decision.Outcome<routing.RoutingConfiguration | undefined>>;
    /** Reads the newest configuration; undefined if there is none. */
    readonly readConfiguration: () => Promise<decision.Outcome<routing.RoutingConfiguration | undefined>>;
    /** Lists all registered upstreams. */
    readonly listUpstreams: () => Promise<decision.Outcome<UpstreamListing>>;
    /** Registers this host, or renews its registration. */
    readonly registerHost: (host: string, address: string) => Promise<decision.Outcome<undefined>>;
    /** Removes this host's registration. */
    readonly unregisterHost: () => Promise<decision.Outcome<undefined>>;
    /**
     * Takes a duty that one host of the fleet has, until its registration ends, or proves that this host has it. The
     * value is the fencing token, which rises with each holder; undefined if another host has the duty.
     */
    readonly holdDuty: (host: string) => Promise<decision.Outcome<number | undefined>>;
    /** Lists what hosts have written, in one call. */
    readonly listFleet: () => Promise<decision.Outcome<FleetListing>>;
    /** Keeps a barred fingerprint for as long as hosts remember it. */
    readonly saveBarred: (fingerprint: string) => Promise<decision.Outcome<undefined>>;
    /** Removes a fingerprint that turned out to be sound. */
    readonly removeBarred: (fingerprint: string) => Promise<decision.Outcome<undefined>>;
}
