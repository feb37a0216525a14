import type * as decision from "@citronlead/decision";
import * as upstreams from "./upstream.js";

/** An upstream that the directory knows. */
export interface KnownUpstream {
    readonly upstream: upstreams.Upstream;
    /** When the listing first lacked it, on the monotonic clock; undefined while it is listed. */
    readonly missingSince: decision.Milliseconds | undefined;
}

/** The upstreams by id, from successive listings. */
export interface Directory {
    readonly known: ReadonlyMap<string, KnownUpstream>;
    /** When the last listing arrived; undefined before the first. */
    readonly listedAt: decision.Milliseconds | undefined;
    /** Until when upstreams missing from a listing still count: registrations return after an outage of the store. */
    readonly graceUntil: decision.Milliseconds;
}

/** Durations by which the directory judges listings. */
export interface DirectoryTerms {
    /** A pause between listings after which registrations may have lapsed although their upstreams live. */
    readonly outageMs: decision.Milliseconds;
    /** How long lapsed registrations take to return after an outage. */
    readonly returnMs: decision.Milliseconds;
}

/** A directory before its first listing. */
export const emptyDirectory: Directory = { known: new Map(), listedAt: undefined, graceUntil: -Infinity };

/** Takes a listing in. The listing was asked for at `asked` and is as of some moment since. */
export function applyListing(
    directory: Directory,
    listing: readonly upstreams.Upstream[],
    terms: DirectoryTerms,
    asked: decision.Milliseconds,
    now: decision.Milliseconds,
): Directory {
    const outage = directory.listedAt !== undefined && asked - directory.listedAt > terms.outageMs;
    const graceUntil = outage ? now + terms.returnMs : directory.graceUntil;
    const known = new Map<string, KnownUpstream>();
    for (const upstream of listing) {
        const former = directory.known.get(upstream.id)?.upstream;
        known.set(upstream.id, { upstream: former ? newer(former, upstream) : upstream, missingSince: undefined });
    }
    for (const [id, entry] of directory.known) {
        if (!known.has(id) && now < graceUntil) {
            known.set(id, { ...entry, missingSince: entry.missingSince ?? now });
        }
    }
    return { known, listedAt: now, graceUntil };
}

/** The later of two registrations of one id: an older incarnation, or one that has left, does not come back. */
function newer(former: upstreams.Upstream, listed: upstreams.Upstream): upstreams.Upstream {
    if (listed.startedAt < former.startedAt) {
        return former;
    }
    const sameIncarnation = listed.startedAt === former.startedAt;
    return sameIncarnation && former.state === upstreams.UpstreamState.Draining ? former : listed;
}

/** The upstreams of a service that take new work, by the newest listing. */
export function takingWork(directory: Directory, service: string): upstreams.Upstream[] {
    const found: upstreams.Upstream[] = [];
    for (const { upstream } of directory.known.values()) {
        if (upstream.service === service && upstream.state === upstreams.UpstreamState.Ready) {
            found.push(upstream);
        }
    }
    return found;
}
