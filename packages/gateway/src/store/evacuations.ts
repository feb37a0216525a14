import type * as decision from "@citronlead/decision";
import * as routing from "@citronlead/routing";
import type * as logs from "../log.js";
import type * as metrics from "../metrics.js";
import type * as pools from "../upstream/pool.js";

/** Tells the pool which zones are emptied, from this host's own reads and from those of other hosts. */
export class EvacuationKeeper {
    private known = routing.noEvacuations;
    private readonly knownSince = new Map<string, decision.Milliseconds>();

    constructor(
        private readonly clock: decision.Clock,
        private readonly log: logs.DecisionLog,
        private readonly metrics: Pick<metrics.GatewayMetrics, "emptiedZones">,
        private readonly pool: Pick<pools.UpstreamPool, "setEvacuations">,
    ) {}

    /** The newest listing; undefined before the first. */
    get listing(): routing.EvacuationListing | undefined {
        return this.known.listing;
    }

    /** Adopts a listing if it is newer. `source` says where it was read. Returns whether another set of zones is emptied. */
    adopt(listing: routing.EvacuationListing | undefined, source: string): boolean {
        const before = this.known;
        if (listing) {
            this.known = routing.adoptListing(before, listing, this.clock());
        }
        if (this.known === before) {
            return false;
        }
        this.pool.setEvacuations(this.known, this.clock());
        return this.logChanges(before, this.known, source);
    }

    private logChanges(before: routing.Evacuations, next: routing.Evacuations, source: string): boolean {
        const at = { era: next.listing?.era, atRevision: next.listing?.revision, source };
        let changed = false;
        for (const { zone, revision } of next.zones.values()) {
            if (before.zones.get(zone)?.revision !== revision) {
                changed = true;
                if (!this.knownSince.has(zone)) {
                    this.knownSince.set(zone, this.clock());
                    this.metrics.emptiedZones.set({ zone }, Date.now() / 1_000);
                }
                this.log.notice("zone emptied", { zone, revision, ...at });
            }
            else if (next.keptUntil.has(zone) && !before.keptUntil.has(zone)) {
                this.log.notice("zone still emptied although the store has lost it", { zone, revision, ...at });
            }
        }
        for (const { zone, revision } of before.zones.values()) {
            if (!next.zones.has(zone)) {
                changed = true;
                const sinceMs = Math.round(this.clock() - (this.knownSince.get(zone) ?? this.clock()));
                this.knownSince.delete(zone);
                this.metrics.emptiedZones.remove({ zone });
                this.log.notice("zone taken back", { zone, revision, afterMs: sinceMs, ...at });
            }
        }
        return changed;
    }
}
