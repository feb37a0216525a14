import type * as decision from "@citronlead/decision";
import * as crypto from "node:crypto";
import * as upstreams from "./upstream.js";

/** A part of the fleet in which a few hosts read the store and tell the rest what they saw. */
export interface ReaderGroup {
    /** The other hosts of the group. */
    readonly others: readonly string[];
    /** Whether this host reads for the group. */
    readonly reader: boolean;
}

/** How the fleet is split. */
export interface ReaderTerms {
    /** Hosts in a group at most. */
    readonly groupSize: number;
    /** Hosts of a group that read. */
    readonly readers: number;
}

/**
 * The group of a host. Load: calls to the store and messages that must not grow with the fleet, for each host. Hosts are
 * ordered by a hash, so that the readers of a group are rarely in one availability zone.
 */
export function readerGroup(hosts: readonly string[], self: string, terms: ReaderTerms): ReaderGroup {
    const ordered = [...new Set([...hosts, self])]
        .map((host) => ({ host, rank: crypto.createHash("sha1").update(host).digest("hex") }))
        .sort((one, other) => one.rank < other.rank ? -1 : 1)
        .map(({ host }) => host);
    const index = ordered.indexOf(self);
    const start = index - index % terms.groupSize;
    return {
        others: ordered.slice(start, start + terms.groupSize).filter((host) => host !== self),
        reader: index - start < terms.readers,
    };
}

/** What a reader tells its group. */
export interface StoreNews {
    /** Revision of the store at which the upstreams were listed. */
    readonly revision: number;
    /** Digest of the upstreams as listed. */
    readonly upstreams: string;
    /** Time since that listing was asked for. */
    readonly ageMs: decision.Milliseconds;
    /** Newest version of the configuration; undefined while the reader cannot vouch for it. */
    readonly configuration: number | undefined;
}

/** A listing by what identifies it. */
export interface ListingMark {
    readonly revision: number;
    readonly digest: string;
}

/** How what another host listed compares to the own listing. */
export enum NewsComparison {
    /** The same upstreams, as of a later moment. */
    Same = "same",
    /** Other upstreams, as of a later moment. */
    Newer = "newer",
    /** As of an earlier moment. */
    Older = "older",
}

/** Compares what another host listed to the own listing. */
export function compareListing(own: ListingMark | undefined, news: StoreNews): NewsComparison {
    if (own && news.revision < own.revision) {
        return NewsComparison.Older;
    }
    return own?.digest === news.upstreams ? NewsComparison.Same : NewsComparison.Newer;
}

/** Digest of all that decides whether and how upstreams are used; the rest changes with each of their heartbeats. */
export function digestOf(listing: readonly upstreams.Upstream[]): string {
    const lines = listing.map((upstream) =>
        [
            upstreams.incarnationOf(upstream),
            upstream.service,
            upstream.address,
            upstream.availabilityZone,
            upstream.state,
            upstream.slots,
            upstream.stage,
            upstream.warmUpLeftMs > 0,
        ].join(" ")
    );
    return crypto.createHash("sha1").update(lines.sort().join("\n")).digest("base64url").slice(0, 16);
}
