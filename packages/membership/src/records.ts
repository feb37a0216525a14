import type * as tables from "./table.js";

/** Identifies one process of a host. */
export interface HostId {
    readonly host: string;
    readonly incarnation: string;
}

/** A host that grants successor leases to another one, which names it in its record. */
export interface Successor {
    readonly host: string;
    /** The session of the successor's record: a host that joins again is a different successor. */
    readonly session: string;
}

/** A host's record in the key-value service. */
export interface HostRecord extends HostId {
    /** Changes with each join, also when the record replaces that of a former process of the host. */
    readonly session: string;
    readonly availabilityZone: string;
    readonly peerAddress: string;
    /** The only hosts whose successor leases are valid for this host; empty while it is alone. */
    readonly successors: readonly Successor[];
}

/** A host as read from the key-value service. */
export interface ObservedHost {
    readonly record: HostRecord;
    /** The key-value service's revision at which the record was last written. */
    readonly version: number;
    /** The host lease, or undefined if it has expired. */
    readonly leaseId?: string;
}

/** A snapshot of the hosts and the ownership table in the key-value service. */
export interface View {
    /** The key-value service's revision of the hosts; 0 before the first read. */
    readonly hostsRevision: number;
    /** The key-value service's revision of the table; 0 before the first read. */
    readonly tableRevision: number;
    readonly hosts: Readonly<Record<string, ObservedHost>>;
    /** The revision at which the table was last written, 0 if it does not exist yet. */
    readonly tableVersion: number;
    readonly table: tables.OwnershipTable;
}

/** The key of the ownership table. */
export const OWNERSHIP_TABLE_KEY = "/citronlead/ownership";

/** The common prefix of the keys of host records and host leases. */
export const HOSTS_PREFIX = "/citronlead/host";

const RECORD_PREFIX = "/citronlead/hosts/";
const LEASE_PREFIX = "/citronlead/hostleases/";

/** The key of a host's record. The record outlives the host lease. */
export function recordKey(host: string): string {
    return RECORD_PREFIX + host;
}

/** The key that is bound to the host lease; the key-value service deletes it when the lease ends. */
export function leaseKey(host: string): string {
    return LEASE_PREFIX + host;
}

/** One entry of the key-value service. */
export interface StoredEntry {
    readonly key: string;
    readonly value: string;
    readonly modRevision: number;
}

/** The view before the first read. */
export const EMPTY_VIEW: View = { hostsRevision: 0, tableRevision: 0, hosts: {}, tableVersion: 0, table: {} };

/** Builds the hosts from their record and lease entries. The value of a lease entry is the identifier of the lease. */
export function parseHosts(entries: readonly StoredEntry[]): Readonly<Record<string, ObservedHost>> {
    const leaseIds = new Map(
        entries.filter((entry) => entry.key.startsWith(LEASE_PREFIX))
            .map((entry) => [entry.key.slice(LEASE_PREFIX.length), entry.value]),
    );
    const hosts: Record<string, ObservedHost> = {};
    for (const entry of entries.filter((candidate) => candidate.key.startsWith(RECORD_PREFIX))) {
        const record = JSON.parse(entry.value) as HostRecord;
        hosts[record.host] = { record, version: entry.modRevision, leaseId: leaseIds.get(record.host) };
    }
    return hosts;
}

/** Whether both lists name the same successors in the same order. */
export function sameSuccessors(left: readonly Successor[], right: readonly Successor[]): boolean {
    const names = (successors: readonly Successor[]) => successors.map((one) => `${one.host}@${one.session}`).join();
    return names(left) === names(right);
}

/** Whether the host still has the record, of the same session, that it was named by as successor. */
export function isSessionRegistered(view: View, successor: Successor): boolean {
    return view.hosts[successor.host]?.record.session === successor.session;
}

/** The version of a host's record for the comparisons of a write, 0 if it has none. */
export function recordVersionOf(view: View, host: string): number {
    return view.hosts[host]?.version ?? 0;
}

/** Whether the view has a record of exactly this process. */
export function isRegistered(view: View, id: HostId): boolean {
    return view.hosts[id.host]?.record.incarnation === id.incarnation;
}

/** The hosts that have a record, with or without a host lease. */
export function registeredHosts(view: View): readonly HostRecord[] {
    return Object.values(view.hosts).map((observed) => observed.record);
}

/** The hosts that hold a host lease. */
export function liveHosts(view: View): readonly HostRecord[] {
    return Object.values(view.hosts).filter((observed) => observed.leaseId !== undefined).map((observed) =>
        observed.record
    );
}

/** Whether a host's record has this version and names the given successor. */
export function namesSuccessor(observed: ObservedHost, version: number, successor: Successor): boolean {
    return observed.version === version
        && observed.record.successors.some((one) => one.host === successor.host && one.session === successor.session);
}

/** This host as other records name it; the session is empty while it has no record. */
export function asSuccessor({ host }: HostId, ownEntry: ObservedHost | undefined): Successor {
    return { host, session: ownEntry?.record.session ?? "" };
}
