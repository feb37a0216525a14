import type * as decision from "@citronlead/decision";
import * as derived from "./derived.js";
import * as durations from "./durations.js";
import * as records from "./records.js";
import * as rights from "./rights.js";
import * as states from "./state.js";
import * as tables from "./table.js";
import * as wanted from "./wanted.js";

type Owners = Readonly<Record<string, records.HostRecord>>;

/** What a write of the ownership table compares and changes. */
export interface TableWrite {
    readonly comparisons: readonly states.Comparison[];
    readonly writes: readonly states.Write[];
}

function tableComparison(state: states.MemberState): states.Comparison {
    return { key: records.TABLE_KEY, modRevision: state.view.tableVersion };
}

function hostComparisons(state: states.MemberState, hosts: Iterable<string>): readonly states.Comparison[] {
    return [...new Set([state.settings.host, ...hosts])]
        .map((host) => ({ key: records.recordKey(host), modRevision: records.versionOf(state.view, host) }));
}

function putTable(state: states.MemberState, owners: Owners): states.Write {
    const table = tables.assign(state.view.table, owners);
    return { key: records.TABLE_KEY, value: tables.writeTable(state.settings.partitions, table) };
}

const absentOwners = derived.derived((view) => {
    const owned = Object.entries(view.table);
    const absent = owned.filter(([, owner]) => !records.isPresent(view, owner)).map(([partition]) => partition);
    return { owned: owned.length, absent };
});

function hasUnowned(view: records.View, partitions: readonly string[]): boolean {
    const { owned, absent } = absentOwners(view);
    return absent.length > 0 || owned < partitions.length;
}

function unowned(view: records.View, partitions: readonly string[]): readonly string[] {
    const absent = new Set(absentOwners(view).absent);
    return partitions.filter((partition) => absent.has(partition) || view.table[partition] === undefined);
}

/** Partitions without an owner in the roster, with their wanted owners. One host of the fleet assigns them all. */
export function findAssignment(state: states.MemberState): TableWrite | undefined {
    const { view, settings } = state;
    const assigner = wanted.clockwise("", records.liveHosts(view))[0];
    if (assigner?.host !== settings.host || view.tableRevision < state.joinedAt) {
        return undefined;
    }
    const gone = hasUnowned(view, settings.partitions) ? unowned(view, settings.partitions) : [];
    const owners = wanted.wantedOwners(gone, records.liveHosts(view));
    if (Object.keys(owners).length === 0) {
        return undefined;
    }
    // A former owner that joined again in the meantime keeps its partitions: its record has another version by then.
    const former = gone.flatMap((partition) => view.table[partition]?.host ?? []);
    return {
        comparisons: [tableComparison(state), ...hostComparisons(state, former)],
        writes: [putTable(state, owners)],
    };
}

/** The partitions of this host that others should own, at most one batch of them; all of them for a planned stop. */
export function findMoves(state: states.MemberState, now: decision.Milliseconds): Owners {
    const { settings, stopping, view } = state;
    if (!stopping && now < state.nextHandOverAt) {
        return {};
    }
    const others = records.liveHosts(view).filter((host) => host.host !== settings.host);
    const owned = rights.ownedPartitions(state);
    if (stopping) {
        return wanted.wantedOwners(owned, others);
    }
    const misplaced = owned.filter((partition) => {
        const next = state.wanted[partition];
        return next !== undefined && next.host !== settings.host && view.hosts[next.host]?.leaseId !== undefined;
    });
    const batch = misplaced.slice(0, durations.HAND_OVER_BATCH);
    return Object.fromEntries(batch.map((partition) => [partition, state.wanted[partition] as records.HostRecord]));
}

/** The write that hands over the released partitions. */
export function handOverWrite(state: states.MemberState, handOver: states.HandOver): TableWrite | undefined {
    const next = Object.fromEntries(
        Object.entries(handOver.next).flatMap(([partition, id]) => {
            const seen = state.view.hosts[id.host];
            return seen?.record.incarnation === id.incarnation ? [[partition, seen.record]] : [];
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

/** The write that ends a planned stop: hands over what is left and deletes the record and the lease's key. */
export function leaveWrite(state: states.MemberState): TableWrite {
    const handedOver = state.handOver && handOverWrite(state, state.handOver);
    const { host } = state.settings;
    return {
        comparisons: handedOver?.comparisons ?? hostComparisons(state, []),
        writes: [
            ...(handedOver?.writes ?? []),
            { key: records.recordKey(host) },
            { key: records.leaseKey(host) },
        ],
    };
}
