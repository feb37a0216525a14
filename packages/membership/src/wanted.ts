import * as partitions from "./partitions.js";
import type * as records from "./records.js";

const SLICE_NAME = /^slice-(\d+)-/;
const numbers = new Map<string, number>();
const NUMBERS_LIMIT = 10_000;

/** The hash of a name, kept so that scores cost a few operations each. */
function nameNumber(name: string): number {
    const known = numbers.get(name);
    if (known !== undefined) {
        return known;
    }
    if (numbers.size >= NUMBERS_LIMIT) {
        numbers.clear();
    }
    const number = partitions.hashNumber(name);
    numbers.set(name, number);
    return number;
}

/** The rendezvous score of a host for a partition: the finalizer of MurmurHash3 over both hashes. */
function score(partition: string, host: string): number {
    let mixed = nameNumber(partition) ^ Math.imul(nameNumber(host), 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

function highest(partition: string, hosts: readonly records.HostRecord[]): records.HostRecord | undefined {
    let best: records.HostRecord | undefined;
    let bestScore = -1;
    for (const host of hosts) {
        const own = score(partition, host.host);
        if (own > bestScore || (own === bestScore && host.host < (best?.host ?? ""))) {
            best = host;
            bestScore = own;
        }
    }
    return best;
}

/**
 * The wanted owner of each partition. Slice k of a workspace prefers the k-th availability zone, so that the loss of a
 * zone costs a workspace one slice.
 */
export function wantedOwners(
    names: readonly string[],
    hosts: readonly records.HostRecord[],
): Readonly<Record<string, records.HostRecord>> {
    const zones = [...new Set(hosts.map((host) => host.availabilityZone))].sort();
    const byZone = zones.map((zone) => hosts.filter((host) => host.availabilityZone === zone));
    const wanted: Record<string, records.HostRecord> = {};
    for (const name of names) {
        const slice = SLICE_NAME.exec(name)?.[1];
        const candidates = slice === undefined ? hosts : byZone[Number(slice) % zones.length] ?? hosts;
        const owner = highest(name, candidates);
        if (owner) {
            wanted[name] = owner;
        }
    }
    return wanted;
}

/**
 * The hosts after a name on a ring in the order of their hashes. Successors follow one ring, so that the hosts that are
 * gone name each other in a circle only if the whole fleet is gone.
 */
export function clockwise(name: string, hosts: readonly records.HostRecord[]): readonly records.HostRecord[] {
    const start = nameNumber(name);
    const distance = (host: string) => (nameNumber(host) - start) >>> 0;
    return hosts.filter((host) => host.host !== name)
        .sort((left, right) => distance(left.host) - distance(right.host) || (left.host < right.host ? -1 : 1));
}

/** From this size on a fleet's hosts name two successors: the death of one then stops nobody in an outage. */
const TWO_SUCCESSORS_HOSTS = 6;

/**
 * The successors that a host should name: the next on the ring, in other availability zones than its own and each
 * other's where there are any.
 */
export function wantedSuccessors(
    own: records.HostRecord,
    hosts: readonly records.HostRecord[],
    limit: number = hosts.length < TWO_SUCCESSORS_HOSTS ? 1 : 2,
): readonly records.HostRecord[] {
    const ring = clockwise(own.host, hosts);
    const first = nextInZone(ring, [own]);
    if (!first) {
        return [];
    }
    const others = ring.filter((host) => host !== first);
    const second = nextInZone(others, [own, first]);
    return (second ? [first, second] : [first]).slice(0, limit);
}

/** The first of the ring that shares no zone with the hosts to avoid, or else not with the first of them. */
function nextInZone(
    ring: readonly records.HostRecord[],
    avoid: readonly records.HostRecord[],
): records.HostRecord | undefined {
    const apart = (host: records.HostRecord, other: records.HostRecord | undefined) =>
        host.availabilityZone !== other?.availabilityZone;
    return ring.find((host) => avoid.every((other) => apart(host, other)))
        ?? ring.find((host) => apart(host, avoid[0]))
        ?? ring[0];
}
