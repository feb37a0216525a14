import type * as decision from "@citronlead/decision";
import * as upstreams from "./upstream.js";

/** An upstream in the directory. */
export interface DirectoryEntry {
    readonly upstream: upstreams.Upstream;
    /** When it was first missing from a listing, on the monotonic clock; undefined while it is listed. */
    readonly missingSince: decision.Milliseconds | undefined;
}

/** The upstreams by id, built from successive listings of the store. */
export interface Directory {
    readonly entries: ReadonlyMap<string, DirectoryEntry>;
    /** When the last listing arrived; undefined before the first. */
    readonly listedAt: decision.Milliseconds | undefined;
    /** Until when missing upstreams are kept: registrations reappear some time after an outage of the store. */
    readonly graceUntil: decision.Milliseconds;
    /** The incarnations that were removed lately, and when. */
    readonly removed: ReadonlyMap<string, decision.Milliseconds>;
    /** Until when removed incarnations stay out although they are listed. */
    readonly ghostsUntil: decision.Milliseconds;
}

/** Durations that control how missing registrations are treated. */
export interface DirectoryTiming {
    /** A gap between listings after which registrations may have expired although their upstreams are running. */
    readonly outageThresholdMs: decision.Milliseconds;
    /** How long expired registrations take to reappear after an outage. */
    readonly recoveryMs: decision.Milliseconds;
    /** Maximum age of the copy that the store comes back from: how long removed incarnations are remembered. */
    readonly maxCopyAgeMs: decision.Milliseconds;
    /** How long a registration that is no longer renewed stays in the store. */
    readonly lapseMs: decision.Milliseconds;
}

/** A directory before its first listing. */
export const emptyDirectory: Directory = {
    entries: new Map(),
    listedAt: undefined,
    graceUntil: -Infinity,
    removed: new Map(),
    ghostsUntil: -Infinity,
};

/**
 * Applies a listing that was requested at `requestedAt`; it reflects the store at some time since then. `restored` says
 * that the store has come back from a copy since the previous listing: registrations that are missing may reappear, and
 * those of upstreams that have left may have come back with it.
 */
export function applyListing(
    directory: Directory,
    listing: readonly upstreams.Upstream[],
    timing: DirectoryTiming,
    requestedAt: decision.Milliseconds,
    now: decision.Milliseconds,
    restored = false,
): Directory {
    const outage = directory.listedAt !== undefined && requestedAt - directory.listedAt > timing.outageThresholdMs;
    const graceUntil = outage || restored ? now + timing.recoveryMs : directory.graceUntil;
    const ghostsUntil = restored ? now + timing.lapseMs : directory.ghostsUntil;
    const known = new Map<string, DirectoryEntry>();
    for (const upstream of listing) {
        if (now < ghostsUntil && directory.removed.has(upstreams.incarnationOf(upstream))) {
            continue;
        }
        const previous = directory.entries.get(upstream.id)?.upstream;
        known.set(upstream.id, {
            upstream: previous ? newerRegistration(previous, upstream) : upstream,
            missingSince: undefined,
        });
    }
    for (const [id, entry] of directory.entries) {
        if (!known.has(id) && now < graceUntil) {
            known.set(id, { ...entry, missingSince: entry.missingSince ?? now });
        }
    }
    const removed = removedIncarnations(directory, known, timing, now);
    return { entries: known, listedAt: now, graceUntil, removed, ghostsUntil };
}

/** The incarnations that were removed lately, including those that are not known any more. */
function removedIncarnations(
    { entries, removed, ghostsUntil }: Directory,
    known: ReadonlyMap<string, DirectoryEntry>,
    { maxCopyAgeMs }: DirectoryTiming,
    now: decision.Milliseconds,
): Map<string, decision.Milliseconds> {
    const remembered = new Map<string, decision.Milliseconds>();
    for (const [incarnation, removedAt] of removed) {
        if (now - removedAt < maxCopyAgeMs || now < ghostsUntil) {
            remembered.set(incarnation, removedAt);
        }
    }
    for (const { upstream } of known.values()) {
        remembered.delete(upstreams.incarnationOf(upstream));
    }
    for (const { upstream } of entries.values()) {
        const incarnation = upstreams.incarnationOf(upstream);
        const listed = known.get(upstream.id)?.upstream;
        if (!listed || upstreams.incarnationOf(listed) !== incarnation) {
            remembered.set(incarnation, now);
        }
    }
    return remembered;
}

/** The newer of two registrations of one id. An older incarnation or one that has begun to drain does not come back. */
function newerRegistration(previous: upstreams.Upstream, listed: upstreams.Upstream): upstreams.Upstream {
    if (listed.startedAt < previous.startedAt) {
        return previous;
    }
    const sameIncarnation = listed.startedAt === previous.startedAt;
    return sameIncarnation && previous.state === upstreams.UpstreamState.Draining ? previous : listed;
}

/** The upstreams of a service that accept new work. */
export function acceptingUpstreams(directory: Directory, service: string): upstreams.Upstream[] {
    const found: upstreams.Upstream[] = [];
    for (const { upstream } of directory.entries.values()) {
        if (upstream.service === service && upstream.state === upstreams.UpstreamState.Ready) {
            found.push(upstream);
        }
    }
    return found;
}
