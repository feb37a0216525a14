import type * as decision from "@citronlead/decision";
import type * as routing from "@citronlead/routing";

/** The upstreams that were registered at a revision of the store. */
export interface UpstreamListing {
    readonly upstreams: readonly routing.Upstream[];
    readonly revision: number;
}

/** Reads of what operators and upstreams keep in the platform's store. Failures are outcomes. */
export interface Registry {
    /** Waits a while for a configuration that was not read yet; undefined if none came. */
    readonly nextConfiguration: () => Promise<decision.Outcome<routing.RoutedConfiguration | undefined>>;
    /** The newest configuration; undefined if there is none. */
    readonly readConfiguration: () => Promise<decision.Outcome<routing.RoutedConfiguration | undefined>>;
    /** All upstreams that are registered. */
    readonly listUpstreams: () => Promise<decision.Outcome<UpstreamListing>>;
    /** Registers this host, or renews its registration. */
    readonly announceHost: (host: string, address: string) => Promise<decision.Outcome<undefined>>;
    /** Ends this host's registration. */
    readonly withdrawHost: () => Promise<decision.Outcome<undefined>>;
    /** Addresses of the hosts that are registered. */
    readonly listHosts: () => Promise<decision.Outcome<readonly string[]>>;
}
