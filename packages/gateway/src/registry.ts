import type * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";
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
    /** Availability zones of the hosts that tell them, by address. */
    readonly hostZones: ReadonlyMap<string, string>;
    /** Fingerprints of requests that crash upstreams. */
    readonly barred: readonly string[];
    /** The software versions of services, by service. */
    readonly versions: ReadonlyMap<string, StoredVersions>;
}

/** The software versions of a service as they stand in the store. */
export interface StoredVersions {
    readonly history: dispatch.VersionHistory;
    /** Revision of the store at which they were written. */
    readonly revision: number;
}

/** The software version at which a stream began. */
export interface StreamRecord {
    /** Id of the caller's attempt that began the stream. */
    readonly requestId: string;
    readonly softwareVersion: string;
}

/** Access to the platform's store of configuration, upstreams and hosts. Failures are returned as outcomes. */
export interface Registry {
    /** The latest era of the store that a response has shown. Responses of earlier eras are failures. */
    readonly storeEra: () => number;
    /** Waits for a configuration that has not been read yet; undefined if none arrives within one watch. */
    readonly waitForConfiguration: () => Promise<decision.Outcome<routing.RoutingConfiguration | undefined>>;
    /** Reads the newest configuration; undefined if there is none. */
    readonly readConfiguration: () => Promise<decision.Outcome<routing.RoutingConfiguration | undefined>>;
    /** The emptied zones as of the newest read of the configuration, which reads them too; undefined before the first. */
    readonly evacuations: () => routing.EvacuationListing | undefined;
    /** Lists all registered upstreams. */
    readonly listUpstreams: () => Promise<decision.Outcome<UpstreamListing>>;
    /** Registers this host, or renews its registration. The zone is told where zones are in several regions. */
    readonly registerHost: (
        host: string,
        address: string,
        availabilityZone?: string,
    ) => Promise<decision.Outcome<undefined>>;
    /** Removes this host's registration. */
    readonly unregisterHost: () => Promise<decision.Outcome<undefined>>;
    /**
     * Takes a duty that one host of the fleet has, until its registration ends, or proves that this host has it. The
     * value is the fencing token, which rises with each holder; undefined if another host has the duty.
     */
    readonly holdDuty: (host: string) => Promise<decision.Outcome<number | undefined>>;
    /** Lists what hosts have written, in one call. */
    readonly listFleet: () => Promise<decision.Outcome<FleetListing>>;
    /** Reads the software versions of a service; undefined if no host has written any. */
    readonly readVersions: (service: string) => Promise<decision.Outcome<StoredVersions | undefined>>;
    /**
     * Replaces the software versions of a service if they are still at the given revision; 0 if there are none. The value
     * is what stands in the store then.
     */
    readonly replaceVersions: (
        service: string,
        history: dispatch.VersionHistory,
        revision: number,
    ) => Promise<decision.Outcome<StoredVersions | undefined>>;
    /** Keeps the software versions of streams for as long as callers may resume them. */
    readonly recordStreams: (records: readonly StreamRecord[]) => Promise<decision.Outcome<undefined>>;
    /** Reads the software version of a stream; undefined if it has no record. */
    readonly readStreamVersion: (requestId: string) => Promise<decision.Outcome<string | undefined>>;
    /** Keeps a barred fingerprint for as long as hosts remember it. */
    readonly saveBarred: (fingerprint: string) => Promise<decision.Outcome<undefined>>;
    /** Removes a fingerprint that turned out to be sound. */
    readonly removeBarred: (fingerprint: string) => Promise<decision.Outcome<undefined>>;
}
