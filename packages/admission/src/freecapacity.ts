/** The least free capacity of a bucket from one version of it until the version of the next entry. */
export interface FreeCapacityEntry {
    readonly version: number;
    /** Capacity minus level. */
    readonly freeTokens: number;
}

/**
 * Answers what the least free capacity of a bucket was since any of its versions. Free capacities increase from entry
 * to entry, so the first entry from a version on has the minimum since then.
 */
export type FreeCapacityHistory = readonly FreeCapacityEntry[];

const MAX_ENTRIES = 64;

/** Adds the free capacity at a new version, which must be larger than all recorded ones. */
export function recordFreeCapacity(
    history: FreeCapacityHistory,
    version: number,
    freeTokens: number,
): FreeCapacityHistory {
    let kept = history.length;
    while (kept > 0 && history[kept - 1]!.freeTokens >= freeTokens) {
        kept--;
    }
    return mergeOldest([...history.slice(0, kept), { version, freeTokens }]);
}

/**
 * Merges the two oldest entries when there are too many. The minimum since an old version becomes less exact, but never
 * too large.
 */
function mergeOldest(history: FreeCapacityHistory): FreeCapacityHistory {
    const [oldest, second] = history;
    return history.length > MAX_ENTRIES && oldest && second
        ? [{ version: second.version, freeTokens: oldest.freeTokens }, ...history.slice(2)]
        : history;
}

/** The least free capacity since a version, in tokens. */
export function minimumSince(history: FreeCapacityHistory, version: number): number {
    return history.find((entry) => entry.version >= version)?.freeTokens ?? Infinity;
}

/** The history as it would have been with more tokens in the bucket since a version. */
export function withTokensAddedSince(
    history: FreeCapacityHistory,
    version: number,
    tokens: number,
): FreeCapacityHistory {
    const adjusted = history.map((entry) =>
        entry.version >= version ? { ...entry, freeTokens: entry.freeTokens - tokens } : entry
    );
    return adjusted.filter((entry, index) =>
        adjusted.slice(index + 1).every((later) => later.freeTokens > entry.freeTokens)
    );
}
