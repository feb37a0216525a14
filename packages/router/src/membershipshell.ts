import type * as decision from "@citronlead/decision";
import type * as contexts from "./context.js";
import type * as peers from "./peers.js";

/** A router as the roster shows it. */
export interface RosterHost {
    readonly host: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** The base address of its peer port. */
    readonly peerAddress: string;
}

/** The right to act for a partition of shared state. */
export interface PartitionRight {
    /** Grows with each owner; orders to upstreams carry it. */
    readonly fencing: number;
    /** When the right ends, on this process's clock, unless it is renewed. */
    readonly until: decision.Milliseconds;
}

/** The roster, and who owns which partition of the shared state. */
export interface Membership {
    /** The hosts that are not known to be gone, in the order of their names. */
    readonly roster: () => readonly RosterHost[];
    /** The owner of a partition as last known, or undefined. */
    readonly ownerOf: (partition: string) => RosterHost | undefined;
    /** This host's right to act for a partition now, or undefined if it has none. Asked at every act. */
    readonly rightFor: (partition: string) => PartitionRight | undefined;
    /** Whether this host is in the roster and every partition has an owner, as last known. */
    readonly settled: () => boolean;
    /** Calls back when the roster or the owners have changed. */
    readonly onChange: (listener: () => void) => void;
    /**
     * Calls back before a partition is handed to another host, once this host has stopped acting for it. The hand-over
     * goes on when the promise resolves.
     */
    readonly beforeHandOver: (listener: (partition: string, next: RosterHost) => Promise<void>) => void;
    /** Hands over what this host owns, for a planned stop. */
    readonly handOver: () => Promise<void>;
}

/** Starts membership. */
export function startMembership(context: contexts.Context, _links: peers.Peers): Membership {
    const { settings, incarnation } = context;
    const self: RosterHost = {
        host: settings.host,
        incarnation,
        availabilityZone: settings.availabilityZone,
        peerAddress: `http://${settings.peers.address}:${settings.peers.port}`,
    };
    return {
        roster: () => [self],
        ownerOf: () => self,
        rightFor: () => ({ fencing: 1, until: Infinity }),
        settled: () => true,
        onChange: () => undefined,
        beforeHandOver: () => undefined,
        handOver: async () => undefined,
    };
}
