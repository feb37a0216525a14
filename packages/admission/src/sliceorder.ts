import * as membership from "@citronlead/membership";

/** How close the owner of a slice is to this host, as last known. */
export enum Proximity {
    SameHost = 0,
    SameAvailabilityZone = 1,
    Elsewhere = 2,
    /** No owner is known. */
    Unknown = 3,
}

/**
 * The order in which a request asks the slices: nearest first. The request's hash spreads load over equally near ones.
 */
export function orderSlices(requestId: string, nearnessOf: (slice: number) => Proximity): readonly number[] {
    const firstSlice = membership.stableHash(requestId) % membership.SLICE_COUNT;
    return Array.from({ length: membership.SLICE_COUNT }, (_, index) => (firstSlice + index) % membership.SLICE_COUNT)
        .map((slice) => ({ slice, nearness: nearnessOf(slice) }))
        .sort((left, right) => left.nearness - right.nearness)
        .map((candidate) => candidate.slice);
}
