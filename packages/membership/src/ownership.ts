import type * as decision from "@citronlead/decision";
import * as derived from "./derived.js";
import * as durations from "./durations.js";
import * as placement from "./placement.js";
import * as records from "./records.js";
import * as rights from "./rights.js";
import * as states from "./state.js";
import * as tables from "./table.js";

type Owners = Readonly<Record<string, records.HostRecord>>;

/** Changes of keys that take effect together if all comparisons match. */
export interface ConditionalWrite {
    readonly comparisons: readonly states.Comparison[];
    readonly writes: readonly states.KeyWrite[];
}

function tableComparison(state: states.MemberState): states.Comparison {
    return { key: records.OWNERSHIP_TABLE_KEY, modRevision: state.view.tableVersion };
}

function hostComparisons(state: states.MemberState, hosts: Iterable<string>): readonly states.Comparison[] {
    return [...new Set([state.settings.host, ...hosts])]
        .map((host) => ({ key: records.recordKey(host), modRevision: records.recordVersionOf(state.view, host) }));
}

function putTable(state: states.MemberState, owners: Owners): states.KeyWrite {
    const table = tables.assignOwners(state.view.table, owners);
    return { key: records.OWNERSHIP_TABLE_KEY, value: tables.serializeTable(state.settings.partitions, table) };
}

/** The number of partitions in the table, and those whose owner has no record. */
const findOrphaned = derived.memoizePerView((view) => {
    const owned = Object.entries(view.table);
    const orphaned = owned.filter(([, owner]) => !records.isRegistered(view, owner)).map(([partition]) => partition);
    return { ownedCount: owned.length, orphaned };
});

function hasUnowned(view: records.View, partitions: readonly string[]): boolean {
    const { ownedCount, orphaned } = findOrphaned(view);
    return orphaned.length > 0 || ownedCount < partitions.length;
}

function unownedPartitions(view: records.View, partitions: readonly string[]): readonly string[] {
    const orphaned = new Set(findOrphaned(view).orphaned);
    return partitions.filter((partition) => orphaned.has(partition) || view.table[partition] === undefined);
}

/** The write that assigns partitions without a registered owner. A single live host, the first on the ring, does so. */
export function findAssignmentWrite(state: states.MemberState): ConditionalWrite | undefined {
    const { view, settings } = state;
    const assigner = placement.ringOrder("", records.liveHosts(view))[0];
    if (assigner?.host !== settings.host || view.tableRevision < state.joinRevision) {
        return undefined;
    }
    const unowned = hasUnowned(view, settings.partitions) ? unownedPartitions(view, settings.partitions) : [];
    const owners = placement.desiredOwners(unowned, records.liveHosts(view));
    if (Object.keys(owners).length === 0) {
        return undefined;
    }
    // Compared so that the write fails if a former owner has joined again in the meantime: it keeps its partitions.
    const former = unowned.flatMap((partition) => view.table[partition]?.host ?? []);
    return {
        comparisons: [tableComparison(state), ...hostComparisons(state, former)],
        writes: [putTable(state, owners)],
    };
}

/** The next owners of partitions that others should own: at most one batch, or all partitions for a planned stop. */
export function findHandOvers(state: states.MemberState, now: decision.Milliseconds): Owners {
    const { settings, stopping, view } = state;
    if (!stopping && now < state.nextHandOverAt) {
        return {};
    }
    const others = records.liveHosts(view).filter((host) => host.host !== settings.host);
    const owned = rights.ownedPartitions(state);
    if (stopping) {
        return placement.desiredOwners(owned, others);
    }
    const misplaced = owned.filter((partition) => {
        const next = state.desiredOwners[partition];
        return next !== undefined && next.host !== settings.host && view.hosts[next.host]?.leaseId !== undefined;
    });
    const batch = misplaced.slice(0, durations.HAND_OVER_BATCH_SIZE);
    return Object.fromEntries(
        batch.map((partition) => [partition, state.desiredOwners[partition] as records.HostRecord]),
    );
}

/** The write that hands over partitions this host has stopped acting for; undefined if no next owner is left. */
export function findHandOverWrite(state: states.MemberState, handOver: states.HandOver): ConditionalWrite | undefined {
    const next = Object.fromEntries(
        Object.entries(handOver.next).flatMap(([partition, id]) => {
            const observed = state.view.hosts[id.host];
            return observed?.record.incarnation === id.incarnation ? [[partition, observed.record]] : [];
        }),
    );
    if (Object.keys(next).length === 0) {
        return undefined;
    }
    return {
        comparisons: [
            tableComparison(state),
            ...hostComparisons(state, Object.values(next).map((record) => record.host)),
        ],
        writes: [putTable(state, next)],
    };
}

/** The write that ends a planned stop: hands over what is left and deletes the record and the lease key. */
export function makeLeaveWrite(state: states.MemberState): ConditionalWrite {
    const handOverWrite = state.handOver && findHandOverWrite(state, state.handOver);
    const { host } = state.settings;
    return {
        comparisons: handOverWrite?.comparisons ?? hostComparisons(state, []),
        writes: [
            ...(handOverWrite?.writes ?? []),
            { key: records.recordKey(host) },
            { key: records.leaseKey(host) },
        ],
    };
}
