import * as membership from "@citronlead/membership";

/** Where a slice's owner is, as far as this host knows. */
export enum Nearness {
    SameHost = 0,
    SameAvailabilityZone = 1,
    Elsewhere = 2,
    /** No owner is known. */
    Nowhere = 3,
}

/** The slices in the order in which a request asks for them: nearest first, spread by the request among equals. */
export function orderSlices(requestId: string, nearnessOf: (slice: number) => Nearness): readonly number[] {
    const first = membership.hashNumber(requestId) % membership.SLICE_COUNT;
    return Array.from({ length: membership.SLICE_COUNT }, (_, index) => (first + index) % membership.SLICE_COUNT)
        .map((slice) => ({ slice, nearness: nearnessOf(slice) }))
        .sort((left, right) => left.nearness - right.nearness)
        .map((candidate) => candidate.slice);
}
