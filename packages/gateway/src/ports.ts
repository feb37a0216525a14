import type * as decision from "@citronlead/decision";
import type * as routing from "@citronlead/routing";

/** Reads of what operators and upstreams keep in the platform's store. Failures are outcomes. */
export interface Registry {
    /** Waits until a configuration newer than the version may exist, then reads it; undefined if there is none. */
    readonly nextConfiguration: (
        afterVersion: number,
    ) => Promise<decision.Outcome<routing.RoutedConfiguration | undefined>>;
    /** All upstreams that are registered. */
    readonly listUpstreams: () => Promise<decision.Outcome<readonly routing.Upstream[]>>;
    /** Registers this host, or renews its registration. */
    readonly announceHost: (host: string, address: string) => Promise<decision.Outcome<undefined>>;
    /** Ends this host's registration. */
    readonly withdrawHost: () => Promise<decision.Outcome<undefined>>;
    /** Addresses of the hosts that are registered. */
    readonly listHosts: () => Promise<decision.Outcome<readonly string[]>>;
}
