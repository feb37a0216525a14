import type * as records from "./records.js";

/** The process that owns a partition. */
export interface Owner extends records.HostId {
    /** Fencing token; increases with each change of owner. */
    readonly fencing: number;
}

/** The owners by partition. Partitions without an owner are left out. */
export type OwnershipTable = Readonly<Record<string, Owner>>;

interface StoredTable {
    readonly hosts: readonly records.HostId[];
    /** The index of the owner in `hosts` for each partition in order, -1 for none. */
    readonly owners: readonly number[];
    /** The fencing token of each partition in order, 0 for those without an owner. */
    readonly fencing: readonly number[];
}

/** Serializes a table for the key-value service. Entries follow the order of the given partitions. */
export function serializeTable(partitions: readonly string[], table: OwnershipTable): string {
    const indexes = new Map<string, number>();
    const hosts: records.HostId[] = [];
    const owners = partitions.map((partition) => {
        const owner = table[partition];
        if (!owner) {
            return -1;
        }
        const name = `${owner.host}/${owner.incarnation}`;
        const index = indexes.get(name) ?? hosts.push({ host: owner.host, incarnation: owner.incarnation }) - 1;
        indexes.set(name, index);
        return index;
    });
    const fencing = partitions.map((partition) => table[partition]?.fencing ?? 0);
    return JSON.stringify({ hosts, owners, fencing } satisfies StoredTable);
}

/** Parses a stored table. The partitions must be the list that it was serialized with. */
export function parseTable(partitions: readonly string[], stored: string): OwnershipTable {
    const { hosts, owners, fencing } = JSON.parse(stored) as StoredTable;
    const table: Record<string, Owner> = {};
    partitions.forEach((partition, position) => {
        const host = hosts[owners[position] ?? -1];
        if (host) {
            table[partition] = { ...host, fencing: fencing[position] ?? 0 };
        }
    });
    return table;
}

/** Returns a table with new owners for some partitions; each of them gets the next fencing token. */
export function assignOwners(table: OwnershipTable, owners: Readonly<Record<string, records.HostId>>): OwnershipTable {
    const changed: Record<string, Owner> = { ...table };
    for (const [partition, { host, incarnation }] of Object.entries(owners)) {
        changed[partition] = { host, incarnation, fencing: (table[partition]?.fencing ?? 0) + 1 };
    }
    return changed;
}
