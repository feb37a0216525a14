import type * as decision from "@citronlead/decision";
import * as derived from "./derived.js";
import * as durations from "./durations.js";
import type * as records from "./records.js";
import type * as states from "./state.js";
import type * as tables from "./table.js";

/** When the right to act from the successor lease ends; -Infinity if there is no valid one. */
function successorLeaseUntil(state: states.MemberState): decision.Milliseconds {
    const { successorLease, own: ownEntry, supersededVersion } = state;
    if (
        !successorLease || !ownEntry || successorLease.version !== ownEntry.version
        || successorLease.version === supersededVersion
    ) {
        return -Infinity;
    }
    return Math.min(successorLease.until, state.leaseUntil + durations.MAX_OUTAGE_MS);
}

/** When this host's right to act ends, on its own clock: with its host lease or successor lease, whichever is later. */
export function rightUntil(state: states.MemberState): decision.Milliseconds {
    return state.own && !state.left ? Math.max(state.leaseUntil, successorLeaseUntil(state)) : -Infinity;
}

/** Whether this host has the right to act for the partitions that it owns. */
export function holdsRight(state: states.MemberState, now: decision.Milliseconds): boolean {
    return now < rightUntil(state);
}

/** Whether the owner in the table is this process in its present session, with or without the right to act. */
export function isOwnedHere(state: states.MemberState, owner: tables.Owner | undefined): boolean {
    const { settings, own: ownEntry, view } = state;
    return ownEntry !== undefined
        && view.tableRevision >= state.joinRevision
        && owner?.host === settings.host
        && owner.incarnation === settings.incarnation;
}

const partitionsByOwner = derived.memoizePerView((view) => {
    const byOwner = new Map<string, string[]>();
    for (const [partition, { host, incarnation }] of Object.entries(view.table)) {
        const name = `${host}/${incarnation}`;
        const owned = byOwner.get(name) ?? [];
        owned.push(partition);
        byOwner.set(name, owned);
    }
    return byOwner;
});

/** The partitions that this process owns according to the table. */
export function ownedPartitions(state: states.MemberState): readonly string[] {
    const { host, incarnation } = state.settings;
    const owned = partitionsByOwner(state.view).get(`${host}/${incarnation}`) ?? [];
    return isOwnedHere(state, state.view.table[owned[0] ?? ""]) ? owned : [];
}

/** The right to act for a partition. */
export interface Right {
    /** Fencing token of the ownership; increases with each change of owner. */
    readonly fencing: number;
    /** When the right ends, on this host's clock. */
    readonly until: decision.Milliseconds;
}

/** This host's right to act for a partition now, or undefined. Check it before each action: a pause may outlast it. */
export function rightFor(
    state: states.MemberState,
    partition: string,
    now: decision.Milliseconds,
): Right | undefined {
    const owner = state.view.table[partition];
    const until = rightUntil(state);
    const released = state.handOver !== undefined && (state.stopping || partition in state.handOver.next);
    return owner && !released && now < until && isOwnedHere(state, owner)
        ? { fencing: owner.fencing, until }
        : undefined;
}

const sortedHosts = derived.memoizePerView((view) =>
    Object.keys(view.hosts).sort().map((host) => (view.hosts[host] as records.ObservedHost).record)
);

/** The hosts of the roster, sorted by name. */
export function roster(state: states.MemberState): readonly records.HostRecord[] {
    return sortedHosts(state.view);
}
