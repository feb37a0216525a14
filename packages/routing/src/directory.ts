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
}

/** Durations that control how missing registrations are treated. */
export interface DirectoryTiming {
    /** A gap between listings after which registrations may have expired although their upstreams are running. */
    readonly outageThresholdMs: decision.Milliseconds;
    /** How long expired registrations take to reappear after an outage. */
    readonly recoveryMs: decision.Milliseconds;
}

/** A directory before its first listing. */
export const emptyDirectory: Directory = { entries: new Map(), listedAt: undefined, graceUntil: -Infinity };

/**
 * Applies a listing that was requested at `requestedAt`; it reflects the store at some time since then.
 */
export function applyListing(
    directory: Directory,
    listing: readonly upstreams.Upstream[],
    timing: DirectoryTiming,
    requestedAt: decision.Milliseconds,
    now: decision.Milliseconds,
): Directory {
    const outage = directory.listedAt !== undefined && requestedAt - directory.listedAt > timing.outageThresholdMs;
    const graceUntil = outage ? now + timing.recoveryMs : directory.graceUntil;
    const known = new Map<string, DirectoryEntry>();
    for (const upstream of listing) {
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
    return { entries: known, listedAt: now, graceUntil };
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
