import type * as decision from "@citronlead/decision";
import * as routing from "@citronlead/routing";
import type * as logs from "../log.js";
import type * as registries from "../registry.js";
import type * as pools from "../upstream/pool.js";

/** A gap between listings after which registrations may have expired: two heartbeats of an upstream. */
const MIN_OUTAGE_THRESHOLD_MS = 2_400;
/**
 * Listing periods without an update from the readers after which a host reads the store itself: such a silence
 * means that a message or a reader was lost.
 */
export const MAX_SILENT_PERIODS = 1.3;
/**
 * Time for a call that fails and is repeated. Without an outage, listings are up to the longest silence and such a call
 * apart; where periods are long, that gap must not count as an outage and keep upstreams that have left.
 */
const FAILED_CALL_MS = 1_000;
/** Time within which expired registrations reappear after an outage, plus one listing period as a margin. */
const RECOVERY_MS = 2_800;
/** The platform's copies are some seconds old; twice the longest expected age. */
const MAX_COPY_AGE_MS = 30_000;
/** Three heartbeats of an upstream, plus one listing period as a margin. */
const LAPSE_MS = 5_000;

/** How missing registrations are treated, for a period between listings. */
export function directoryTiming(listingPeriodMs: decision.Milliseconds): routing.DirectoryTiming {
    return {
        outageThresholdMs: Math.max(MIN_OUTAGE_THRESHOLD_MS, MAX_SILENT_PERIODS * listingPeriodMs + FAILED_CALL_MS),
        recoveryMs: RECOVERY_MS,
        maxCopyAgeMs: MAX_COPY_AGE_MS,
        lapseMs: LAPSE_MS,
    };
}

/** Former listings that the next change may start from: that of the other reader, and one whose message was lost. */
const FORMER_LISTINGS = 2;
/** Number of updates in which a change is told. */
const CHANGE_TELLS = 3;

/** Tracks the listings of upstreams in the store and updates the pool from them. */
export class UpstreamDirectory {
    private directory = routing.emptyDirectory;
    private listing: readonly routing.Upstream[] = [];
    private former: (readonly routing.Upstream[])[] = [];
    private listingVersion: routing.ListingVersion | undefined;
    private change: routing.Change | undefined;
    private changeTells = 0;

    constructor(
        private readonly clock: decision.Clock,
        private readonly log: logs.DecisionLog,
        private readonly pool: pools.UpstreamPool,
        private readonly listingPeriodMs: () => decision.Milliseconds,
    ) {}

    /** Version of the newest listing; undefined before the first. */
    get version(): routing.ListingVersion | undefined {
        return this.listingVersion;
    }

    /** Applies a listing that was requested at `requestedAt`. */
    applyListing({ upstreams, era, revision }: registries.UpstreamListing, requestedAt: decision.Milliseconds): void {
        const restored = this.listingVersion !== undefined && era > this.listingVersion.era;
        const digest = routing.digestUpstreams(upstreams);
        if (this.listingVersion && digest !== this.listingVersion.digest) {
            this.change = routing.diffListings(this.listing, upstreams);
            this.changeTells = CHANGE_TELLS;
        }
        this.replaceListing(upstreams, { era, revision, digest });
        this.apply(requestedAt, restored);
    }

    /** Applies the change that another host has read. Returns whether this host's listing is now the same as that one's. */
    applyChange({ era, revision, upstreams: digest, upstreamsChange, ageMs }: routing.StoreUpdate): boolean {
        if (!upstreamsChange || era !== this.listingVersion?.era) {
            return false;
        }
        for (const base of [this.listing, ...this.former]) {
            const next = routing.applyListingChange(base, upstreamsChange, digest);
            if (next) {
                this.replaceListing(next, { era, revision, digest });
                this.apply(this.clock() - ageMs);
                return true;
            }
        }
        return false;
    }

    /** The latest change of the listing, in the first updates after it. */
    takeChange(): routing.Change | undefined {
        return this.changeTells-- > 0 ? this.change : undefined;
    }

    private replaceListing(upstreams: readonly routing.Upstream[], version: routing.ListingVersion): void {
        if (version.digest !== this.listingVersion?.digest) {
            this.former = [this.listing, ...this.former].slice(0, FORMER_LISTINGS);
        }
        this.listing = upstreams;
        this.listingVersion = version;
    }

    /** Compares another host's listing to the newest one of this host. */
    compareListing(update: routing.StoreUpdate): routing.ListingComparison {
        return routing.compareListing(this.listingVersion, update);
    }

    /** Records that another host listed the same upstreams at the given revision, `agoMs` ago. */
    confirmListing(revision: number, agoMs: decision.Milliseconds): void {
        if (this.listingVersion) {
            this.listingVersion = { ...this.listingVersion, revision };
            this.apply(this.clock() - agoMs);
        }
    }

    private apply(requestedAt: decision.Milliseconds, restored = false): void {
        const timing = directoryTiming(this.listingPeriodMs());
        const next = routing.applyListing(this.directory, this.listing, timing, requestedAt, this.clock(), restored);
        logChanges(this.log, this.directory, next);
        this.directory = next;
        this.pool.update(next);
    }
}

function logChanges(log: logs.DecisionLog, previous: routing.Directory, next: routing.Directory): void {
    for (const [id, { upstream, missingSince }] of next.entries) {
        const before = previous.entries.get(id);
        if (
            before?.upstream.state !== upstream.state
            || before.upstream.startedAt !== upstream.startedAt
            || before.missingSince !== missingSince
        ) {
            log.decision("upstream changed", {
                upstream: id,
                service: upstream.service,
                address: upstream.address,
                state: upstream.state,
                stage: upstream.stage,
                softwareVersion: upstream.softwareVersion,
                missing: missingSince !== undefined,
            });
        }
    }
    for (const id of previous.entries.keys()) {
        if (!next.entries.has(id)) {
            log.decision("upstream removed", { upstream: id });
        }
    }
}
