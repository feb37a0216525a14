import type * as decision from "@citronlead/decision";
import * as crypto from "node:crypto";
import type * as changes from "./changes.js";
import type * as evacuations from "./evacuations.js";
import * as upstreams from "./upstream.js";

/** A group of hosts: a few, the readers, read the store and send what they read to the others, the followers. */
export interface ReaderGroup {
    /** The other hosts of the group. */
    readonly otherHosts: readonly string[];
    /** Whether this host reads the store for the group. */
    readonly isReader: boolean;
}

/** How the fleet is split into groups. */
export interface ReaderGroupOptions {
    /** Maximum number of hosts in a group. */
    readonly groupSize: number;
    /** Number of hosts of a group that read the store. */
    readonly readers: number;
}

/**
 * The group of a host. Groups of bounded size keep each host's store calls and messages from growing with the fleet.
 * Hosts are ordered by a hash, so that the readers of a group are rarely all in one availability zone.
 */
export function readerGroupOf(hosts: readonly string[], self: string, options: ReaderGroupOptions): ReaderGroup {
    const ordered = [...new Set([...hosts, self])]
        .map((host) => ({ host, rank: crypto.createHash("sha1").update(host).digest("hex") }))
        .sort((one, other) => one.rank < other.rank ? -1 : 1)
        .map(({ host }) => host);
    const index = ordered.indexOf(self);
    const start = index - index % options.groupSize;
    return {
        otherHosts: ordered.slice(start, start + options.groupSize).filter((host) => host !== self),
        isReader: index - start < options.readers,
    };
}

/** What a reader sends to its group after a read. */
export interface StoreUpdate {
    /** Era of the store at the listing; see `ListingVersion`. */
    readonly era: number;
    /** Store revision of the listing of upstreams. */
    readonly revision: number;
    /** Digest of the listed upstreams; see `digestUpstreams`. */
    readonly upstreams: string;
    /** Time since the listing was requested. */
    readonly ageMs: decision.Milliseconds;
    /** Newest version of the configuration; undefined while the reader's own copy may be stale. */
    readonly configuration: number | undefined;
    /** How the listing differs from a former one; undefined if that is not told. */
    readonly upstreamsChange?: changes.Change | undefined;
    /** How the configuration differs from a former one, and the digest of the result. */
    readonly configurationChange?: changes.Change & { readonly digest: string; } | undefined;
    /** The emptied zones as of the reader's last read; undefined from hosts of builds that know of none. */
    readonly evacuations?: evacuations.EvacuationListing | undefined;
}

/** What an update says of versions, without what it holds of the store itself: news of a sender that is not known as a host. */
export function withoutContents(update: StoreUpdate): StoreUpdate {
    return { ...update, upstreamsChange: undefined, configurationChange: undefined, evacuations: undefined };
}

/** Identifies a listing of upstreams. */
export interface ListingVersion {
    /** Rises by one each time the store comes back from a copy. Its revisions go back then, and are given out again. */
    readonly era: number;
    readonly revision: number;
    readonly digest: string;
}

/** How another host's listing compares to this host's. */
export enum ListingComparison {
    /** The same upstreams, at the same or a later revision of the same era. */
    Same = "same",
    /** A later era, or other upstreams at the same or a later revision. */
    Newer = "newer",
    /** An earlier era, or an earlier revision of the same era. */
    Older = "older",
}

/** Compares another host's listing to this host's own. */
export function compareListing(own: ListingVersion | undefined, update: StoreUpdate): ListingComparison {
    if (!own || update.era > own.era) {
        return ListingComparison.Newer;
    }
    if (update.era < own.era || update.revision < own.revision) {
        return ListingComparison.Older;
    }
    return own.digest === update.upstreams ? ListingComparison.Same : ListingComparison.Newer;
}

/** Digest of the fields that affect routing. The other fields change with each heartbeat of an upstream. */
export function digestUpstreams(listing: readonly upstreams.Upstream[]): string {
    const lines = listing.map(routingFieldsOf);
    return crypto.createHash("sha1").update(lines.sort().join("\n")).digest("base64url").slice(0, 16);
}

/** The fields of an upstream that affect routing, as text. */
export function routingFieldsOf(upstream: upstreams.Upstream): string {
    return [
        upstreams.incarnationOf(upstream),
        upstream.service,
        upstream.address,
        upstream.availabilityZone,
        upstream.state,
        upstream.slots,
        upstream.stage,
        upstream.warmUpLeftMs > 0,
        upstream.softwareVersion,
    ].join(" ");
}
