import type * as records from "./records.js";

/** The owner of one partition. */
export interface Owner extends records.HostId {
    /** Grows with each change of owner. */
    readonly fencing: number;
}

/** The owners of all partitions that have one. */
export type Table = Readonly<Record<string, Owner>>;

interface StoredTable {
    readonly hosts: readonly records.HostId[];
    /** For each partition in order the index of its owner, -1 for none. */
    readonly owners: readonly number[];
    readonly fencing: readonly number[];
}

/** Writes a table as it is kept in the key-value service; partitions stand in the order given. */
export function writeTable(partitions: readonly string[], table: Table): string {
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

/** Reads a stored table. */
export function readTable(partitions: readonly string[], stored: string): Table {
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

/** The table after some partitions got new owners; each takes the next fencing number. */
export function assign(table: Table, owners: Readonly<Record<string, records.HostId>>): Table {
    const changed: Record<string, Owner> = { ...table };
    for (const [partition, { host, incarnation }] of Object.entries(owners)) {
        changed[partition] = { host, incarnation, fencing: (table[partition]?.fencing ?? 0) + 1 };
    }
    return changed;
}
