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
    /** Addresses of the hosts that are registered; they may be seconds old. */
    readonly listHosts: () => Promise<decision.Outcome<readonly string[]>>;
    /** The registrations of all hosts as they are now. */
    readonly readRegistrations: () => Promise<decision.Outcome<readonly HostRegistration[]>>;
    /** This host's registration as of its last renewal; undefined before the first. */
    readonly registration: () => OwnRegistration | undefined;
}

/** A host's registration in the store. */
export interface HostRegistration {
    readonly address: string;
    /** Grows with each registration in the fleet, so it also serves as a fencing number. */
    readonly revision: number;
}

/** This host's own registration. */
export interface OwnRegistration {
    /** How long the store keeps a registration after a renewal was sent. */
    readonly lifeMs: decision.Milliseconds;
    /** When the last renewal that succeeded was sent, on the monotonic clock. */
    readonly renewedAt: decision.Milliseconds;
    /** The same moment as time of day, which goes on while the machine is suspended. */
    readonly renewedAtTimeOfDay: decision.Milliseconds;
}
