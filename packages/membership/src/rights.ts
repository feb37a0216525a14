import type * as decision from "@citronlead/decision";
import * as derived from "./derived.js";
import * as durations from "./durations.js";
import type * as records from "./records.js";
import type * as states from "./state.js";
import type * as tables from "./table.js";

/** Until when the successor's promise counts. */
function promisedUntil(state: states.MemberState): decision.Milliseconds {
    const { promised, own, barredVersion } = state;
    if (!promised || !own || promised.version !== own.version || promised.version === barredVersion) {
        return -Infinity;
    }
    return Math.min(promised.until, state.leaseUntil + durations.LONGEST_OUTAGE_MS);
}

/** When this host's right to act ends, on its own clock: with its lease or its successor's promise, whichever is later. */
export function rightUntil(state: states.MemberState): decision.Milliseconds {
    return state.own && !state.left ? Math.max(state.leaseUntil, promisedUntil(state)) : -Infinity;
}

/** Whether this host may act at all. */
export function holdsRight(state: states.MemberState, now: decision.Milliseconds): boolean {
    return now < rightUntil(state);
}

/** What this host owns by the table, whether it may act or not. */
export function owns(state: states.MemberState, owner: tables.Owner | undefined): boolean {
    const { settings, own, view } = state;
    return own !== undefined
        && view.tableRevision >= state.joinedAt
        && owner?.host === settings.host
        && owner.incarnation === settings.incarnation;
}

const partitionsByOwner = derived.derived((view) => {
    const byOwner = new Map<string, string[]>();
    for (const [partition, { host, incarnation }] of Object.entries(view.table)) {
        const name = `${host}/${incarnation}`;
        const owned = byOwner.get(name) ?? [];
        owned.push(partition);
        byOwner.set(name, owned);
    }
    return byOwner;
});

/** The partitions that this host owns by the table. */
export function ownedPartitions(state: states.MemberState): readonly string[] {
    const { host, incarnation } = state.settings;
    const owned = partitionsByOwner(state.view).get(`${host}/${incarnation}`) ?? [];
    return owns(state, state.view.table[owned[0] ?? ""]) ? owned : [];
}

/** The right to act for a partition. */
export interface Right {
    readonly fencing: number;
    /** On this host's clock. */
    readonly until: decision.Milliseconds;
}

/** This host's right to act for a partition now, or undefined. Asked at every act, since a pause may have outlived it. */
export function rightFor(
    state: states.MemberState,
    partition: string,
    now: decision.Milliseconds,
): Right | undefined {
    const owner = state.view.table[partition];
    const until = rightUntil(state);
    const released = state.handOver !== undefined && (state.stopping || partition in state.handOver.next);
    return owner && !released && now < until && owns(state, owner) ? { fencing: owner.fencing, until } : undefined;
}

const sortedHosts = derived.derived((view) =>
    Object.keys(view.hosts).sort().map((host) => (view.hosts[host] as records.SeenHost).record)
);

/** The hosts of the roster, in the order of their names. */
export function roster(state: states.MemberState): readonly records.HostRecord[] {
    return sortedHosts(state.view);
}
