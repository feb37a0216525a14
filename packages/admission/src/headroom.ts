/** The least room that a bucket had from one of its steps on until the next entry's step. */
export interface HeadroomEntry {
    readonly step: number;
    /** Capacity less level, in tokens. */
    readonly room: number;
}

/**
 * The least room that a bucket had since any of its steps. Rooms grow with the steps, so the first entry from a step on
 * has the least room since then.
 */
export type HeadroomHistory = readonly HeadroomEntry[];

const ENTRY_LIMIT = 64;

/** Adds the room at a new step. Steps only grow. */
export function noteRoom(history: HeadroomHistory, step: number, room: number): HeadroomHistory {
    let kept = history.length;
    while (kept > 0 && history[kept - 1]!.room >= room) {
        kept--;
    }
    return bounded([...history.slice(0, kept), { step, room }]);
}

/** Joins the two oldest entries when there are too many; what is known of the older steps gets less exact, not larger. */
function bounded(history: HeadroomHistory): HeadroomHistory {
    const [oldest, second] = history;
    return history.length > ENTRY_LIMIT && oldest && second
        ? [{ step: second.step, room: oldest.room }, ...history.slice(2)]
        : history;
}

/** The least room since a step. */
export function leastRoomSince(history: HeadroomHistory, step: number): number {
    return history.find((entry) => entry.step >= step)?.room ?? Infinity;
}

/** The history as it would have been with more tokens in the bucket since a step. */
export function withTokensSince(history: HeadroomHistory, step: number, tokens: number): HeadroomHistory {
    const raised = history.map((entry) => entry.step >= step ? { ...entry, room: entry.room - tokens } : entry);
    return raised.filter((entry, index) => raised.slice(index + 1).every((later) => later.room > entry.room));
}
