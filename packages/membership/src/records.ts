import type * as tables from "./table.js";

/** One process of a host. */
export interface HostId {
    readonly host: string;
    readonly incarnation: string;
}

/** The host that may promise another one not to take it over. */
export interface Successor {
    readonly host: string;
    /** The session of the successor's record: a host that joins again is another successor. */
    readonly session: string;
}

/** What a host's record in the key-value service says. */
export interface HostRecord extends HostId {
    /** New each time the host joins, even in the place of its own former record. */
    readonly session: string;
    readonly availabilityZone: string;
    readonly peerAddress: string;
    /** The only hosts whose promises count for this one; none while it is alone. */
    readonly successors: readonly Successor[];
}

/** A host as read from the key-value service. */
export interface SeenHost {
    readonly record: HostRecord;
    /** The service's revision at which the record was last written. */
    readonly version: number;
    /** The lease that the host holds at the service, or undefined if it has lapsed. */
    readonly leaseId?: string;
}

/** What was read from the key-value service about hosts and owners. */
export interface View {
    /** The service's revision up to which the hosts are known. */
    readonly hostsRevision: number;
    /** The service's revision up to which the table is known. */
    readonly tableRevision: number;
    readonly hosts: Readonly<Record<string, SeenHost>>;
    /** The table's version, 0 if there is none yet. */
    readonly tableVersion: number;
    readonly table: tables.Table;
}

/** The key of the ownership table. */
export const TABLE_KEY = "/citronlead/ownership";

/** The common start of the keys that hold records and leases of hosts. */
export const HOSTS_PREFIX = "/citronlead/host";

const RECORD_PREFIX = "/citronlead/hosts/";
const LEASE_PREFIX = "/citronlead/hostleases/";

/** The key of a host's record. It outlives the host's lease. */
export function recordKey(host: string): string {
    return RECORD_PREFIX + host;
}

/** The key that ends with the host's lease. */
export function leaseKey(host: string): string {
    return LEASE_PREFIX + host;
}

/** One entry of the key-value service. */
export interface StoredEntry {
    readonly key: string;
    readonly value: string;
    readonly modRevision: number;
}

/** The view of a service that nothing was read from. */
export const EMPTY_VIEW: View = { hostsRevision: 0, tableRevision: 0, hosts: {}, tableVersion: 0, table: {} };

/** Puts the hosts together from their entries. Lease keys hold the identifier of the lease. */
export function readHosts(entries: readonly StoredEntry[]): Readonly<Record<string, SeenHost>> {
    const leases = new Map(
        entries.filter((entry) => entry.key.startsWith(LEASE_PREFIX))
            .map((entry) => [entry.key.slice(LEASE_PREFIX.length), entry.value]),
    );
    const hosts: Record<string, SeenHost> = {};
    for (const entry of entries.filter((candidate) => candidate.key.startsWith(RECORD_PREFIX))) {
        const record = JSON.parse(entry.value) as HostRecord;
        hosts[record.host] = { record, version: entry.modRevision, leaseId: leases.get(record.host) };
    }
    return hosts;
}

/** Whether both name the same successors in the same order. */
export function sameSuccessors(left: readonly Successor[], right: readonly Successor[]): boolean {
    const names = (successors: readonly Successor[]) => successors.map((one) => `${one.host}@${one.session}`).join();
    return names(left) === names(right);
}

/** Whether the record that a successor was named by is still there. */
export function isThere(view: View, successor: Successor): boolean {
    return view.hosts[successor.host]?.record.session === successor.session;
}

/** The version to compare a host's record with: that of its record, or 0 if it has none. */
export function versionOf(view: View, host: string): number {
    return view.hosts[host]?.version ?? 0;
}

/** Whether the record of this very process is in the view. */
export function isPresent(view: View, id: HostId): boolean {
    return view.hosts[id.host]?.record.incarnation === id.incarnation;
}

/** The hosts that have a record, as last seen. */
export function presentHosts(view: View): readonly HostRecord[] {
    return Object.values(view.hosts).map((seen) => seen.record);
}

/** The hosts that hold a lease of the service, as last seen. */
export function liveHosts(view: View): readonly HostRecord[] {
    return Object.values(view.hosts).filter((seen) => seen.leaseId !== undefined).map((seen) => seen.record);
}

/** Whether a host's record names a successor under this version. */
export function namesAt(seen: SeenHost, version: number, successor: Successor): boolean {
    return seen.version === version
        && seen.record.successors.some((one) => one.host === successor.host && one.session === successor.session);
}

/** This host as its own record lets others name it; the session is empty while it has none. */
export function ownStay({ host }: HostId, own: SeenHost | undefined): Successor {
    return { host, session: own?.record.session ?? "" };
}
