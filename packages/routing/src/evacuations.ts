import type * as decision from "@citronlead/decision";

/** An availability zone that operators empty: its upstreams get nothing new until they take it back. */
export interface EmptiedZone {
    readonly zone: string;
    /** Revision of the store at which the operators have asked for it. */
    readonly revision: number;
}

/** The zones that are emptied at a revision of the store. */
export interface EvacuationListing {
    /** Era of the store; see `ListingVersion`. */
    readonly era: number;
    readonly revision: number;
    readonly zones: readonly EmptiedZone[];
}

/** One change to what operators have asked for. */
export interface EvacuationChange {
    readonly zone: string;
    readonly revision: number;
    /** Whether the zone is emptied; otherwise it is taken back. */
    readonly emptied: boolean;
}

/** What a host knows of emptied zones. */
export interface Evacuations {
    /** Undefined before the first. */
    readonly listing: EvacuationListing | undefined;
    /** The zones to which nothing new is sent, by name. */
    readonly zones: ReadonlyMap<string, EmptiedZone>;
    /** Until when zones count that a store which came back from a copy does not list, by name. */
    readonly keptUntil: ReadonlyMap<string, decision.Milliseconds>;
}

/** What a host knows before it has read the store. */
export const noEvacuations: Evacuations = { listing: undefined, zones: new Map(), keptUntil: new Map() };

/** Time for operators to write again what a store that came back from a copy has lost. */
const REWRITE_MS = 10_000;

/** Whether a listing is of a later time than another. An earlier era is older, whatever its revision. */
export function isNewerListing(listing: EvacuationListing, known: EvacuationListing | undefined): boolean {
    return known === undefined || listing.era > known.era
        || (listing.era === known.era && listing.revision > known.revision);
}

/** A listing after the changes up to `revision`; changes that the listing already has are passed over. */
export function changeListing(
    listing: EvacuationListing,
    changes: readonly EvacuationChange[],
    revision: number,
): EvacuationListing {
    if (revision <= listing.revision) {
        return listing;
    }
    const zones = new Map(listing.zones.map((emptied) => [emptied.zone, emptied]));
    for (const change of changes) {
        if (change.revision <= listing.revision) {
            continue;
        }
        if (change.emptied) {
            zones.set(change.zone, { zone: change.zone, revision: change.revision });
        }
        else {
            zones.delete(change.zone);
        }
    }
    return { era: listing.era, revision, zones: [...zones.values()] };
}

/**
 * Adopts a listing if it is newer. Answers for a whole fleet that learns of an evacuation at different times and ways: older
 * listings never bring a zone back, nor empty one again that was taken back. If the store has come back from a copy, the zones
 * that it has lost count for a time in which operators write them again.
 */
export function adoptListing(
    known: Evacuations,
    listing: EvacuationListing,
    now: decision.Milliseconds,
): Evacuations {
    if (!isNewerListing(listing, known.listing)) {
        return known;
    }
    const zones = new Map(listing.zones.map((emptied) => [emptied.zone, emptied]));
    const keptUntil = new Map<string, decision.Milliseconds>();
    const isRestored = known.listing !== undefined && listing.era > known.listing.era;
    for (const [zone, emptied] of known.zones) {
        const until = known.keptUntil.get(zone) ?? (isRestored ? now + REWRITE_MS : -Infinity);
        if (!zones.has(zone) && now < until) {
            zones.set(zone, emptied);
            keptUntil.set(zone, until);
        }
    }
    return { listing, zones, keptUntil };
}

/** Whether nothing new may be sent to the upstreams of a zone. */
export function isEmptied({ zones, keptUntil }: Evacuations, zone: string, now: decision.Milliseconds): boolean {
    return zones.has(zone) && now < (keptUntil.get(zone) ?? Infinity);
}

/** The zones to which nothing new is sent now. */
export function emptiedZones(evacuations: Evacuations, now: decision.Milliseconds): EmptiedZone[] {
    return [...evacuations.zones.values()].filter(({ zone }) => isEmptied(evacuations, zone, now));
}
