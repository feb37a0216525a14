import * as partitions from "./partitions.js";
import type * as records from "./records.js";

const SLICE_NAME = /^slice-(\d+)-/;
const hashCache = new Map<string, number>();
const HASH_CACHE_LIMIT = 10_000;

/** The hash of a name, cached so that each score takes only a few operations. */
function cachedHash(name: string): number {
    const cached = hashCache.get(name);
    if (cached !== undefined) {
        return cached;
    }
    if (hashCache.size >= HASH_CACHE_LIMIT) {
        hashCache.clear();
    }
    const hash = partitions.stableHash(name);
    hashCache.set(name, hash);
    return hash;
}

/** The rendezvous hashing score of a host for a partition: both hashes mixed by the finalizer of MurmurHash3. */
function rendezvousScore(partition: string, host: string): number {
    let mixed = cachedHash(partition) ^ Math.imul(cachedHash(host), 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

function highestScoringHost(partition: string, hosts: readonly records.HostRecord[]): records.HostRecord | undefined {
    let best: records.HostRecord | undefined;
    let bestScore = -1;
    for (const host of hosts) {
        const ownScore = rendezvousScore(partition, host.host);
        if (ownScore > bestScore || (ownScore === bestScore && host.host < (best?.host ?? ""))) {
            best = host;
            bestScore = ownScore;
        }
    }
    return best;
}

/**
 * The desired owner of each partition, by rendezvous hashing. Slice k of a workspace is placed in the k-th availability
 * zone, so that the loss of an availability zone affects only one slice of a workspace.
 */
export function desiredOwners(
    partitionNames: readonly string[],
    hosts: readonly records.HostRecord[],
): Readonly<Record<string, records.HostRecord>> {
    const zones = [...new Set(hosts.map((host) => host.availabilityZone))].sort();
    const byZone = zones.map((zone) => hosts.filter((host) => host.availabilityZone === zone));
    const owners: Record<string, records.HostRecord> = {};
    for (const name of partitionNames) {
        const slice = SLICE_NAME.exec(name)?.[1];
        const candidates = slice === undefined ? hosts : byZone[Number(slice) % zones.length] ?? hosts;
        const owner = highestScoringHost(name, candidates);
        if (owner) {
            owners[name] = owner;
        }
    }
    return owners;
}

/**
 * The other hosts in the order in which they follow a name on a hash ring. All hosts choose their successors on one
 * ring, so that dead hosts name each other in a cycle only if the whole fleet is dead.
 */
export function ringOrder(name: string, hosts: readonly records.HostRecord[]): readonly records.HostRecord[] {
    const start = cachedHash(name);
    const distance = (host: string) => (cachedHash(host) - start) >>> 0;
    return hosts.filter((host) => host.host !== name)
        .sort((left, right) => distance(left.host) - distance(right.host) || (left.host < right.host ? -1 : 1));
}

/** From this number of hosts on, each names two successors: the death of one then stops no other host in an outage. */
const TWO_SUCCESSORS_MIN_HOSTS = 6;

/**
 * The successors that a host should name: the next on the ring, if possible in availability zones other than its own
 * and each other's.
 */
export function desiredSuccessors(
    ownRecord: records.HostRecord,
    hosts: readonly records.HostRecord[],
    limit: number = hosts.length < TWO_SUCCESSORS_MIN_HOSTS ? 1 : 2,
): readonly records.HostRecord[] {
    const ring = ringOrder(ownRecord.host, hosts);
    const first = firstInOtherZone(ring, [ownRecord]);
    if (!first) {
        return [];
    }
    const others = ring.filter((host) => host !== first);
    const second = firstInOtherZone(others, [ownRecord, first]);
    return (second ? [first, second] : [first]).slice(0, limit);
}

/** The first host outside all availability zones of `avoid`, or else outside that of its first host, or else any. */
function firstInOtherZone(
    ring: readonly records.HostRecord[],
    avoid: readonly records.HostRecord[],
): records.HostRecord | undefined {
    const inOtherZone = (host: records.HostRecord, other: records.HostRecord | undefined) =>
        host.availabilityZone !== other?.availabilityZone;
    return ring.find((host) => avoid.every((other) => inOtherZone(host, other)))
        ?? ring.find((host) => inOtherZone(host, avoid[0]))
        ?? ring[0];
}
