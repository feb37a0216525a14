import type * as decision from "@citronlead/decision";
import * as routing from "@citronlead/routing";
import type * as logs from "./log.js";
import type * as ports from "./ports.js";
import type * as pools from "./upstreampool.js";

/** A pause between listings after which registrations may have lapsed: two beats of an upstream. */
const OUTAGE_MS = 2_400;
/** Time in which lapsed registrations are back after an outage, with one listing period to spare. */
const RETURN_MS = 2_800;
const TERMS: routing.DirectoryTerms = { outageMs: OUTAGE_MS, returnMs: RETURN_MS };

/** The upstreams as the store lists them, and as the pool may use them. */
export class UpstreamDirectory {
    private directory = routing.emptyDirectory;
    private listing: readonly routing.Upstream[] = [];
    private known: routing.ListingMark | undefined;

    constructor(
        private readonly clock: decision.Clock,
        private readonly log: logs.DecisionLog,
        private readonly pool: pools.UpstreamPool,
    ) {}

    /** Identifies the newest listing; undefined before the first. */
    get mark(): routing.ListingMark | undefined {
        return this.known;
    }

    /** Takes in what was listed by a call that was made at `asked`. */
    listed({ upstreams, revision }: ports.UpstreamListing, asked: decision.Milliseconds): void {
        this.listing = upstreams;
        this.known = { revision, digest: routing.digestOf(upstreams) };
        this.apply(asked);
    }

    /** Compares what another host listed to the newest listing. */
    compare(news: routing.StoreNews): routing.NewsComparison {
        return routing.compareListing(this.known, news);
    }

    /** Takes in that another host has just listed the same, at the given revision. */
    confirmed(revision: number, agoMs: decision.Milliseconds): void {
        if (this.known) {
            this.known = { ...this.known, revision };
            this.apply(this.clock() - agoMs);
        }
    }

    private apply(asked: decision.Milliseconds): void {
        const next = routing.applyListing(this.directory, this.listing, TERMS, asked, this.clock());
        logChanges(this.log, this.directory, next);
        this.directory = next;
        this.pool.update(next);
    }
}

function logChanges(log: logs.DecisionLog, former: routing.Directory, next: routing.Directory): void {
    for (const [id, { upstream, missingSince }] of next.known) {
        const before = former.known.get(id);
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
                missing: missingSince !== undefined,
            });
        }
    }
    for (const id of former.known.keys()) {
        if (!next.known.has(id)) {
            log.decision("upstream gone", { upstream: id });
        }
    }
}
