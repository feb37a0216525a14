import * as crypto from "node:crypto";

function score(host: string, key: string): string {
    return crypto.createHash("sha1").update(`${host}\n${key}`).digest("hex");
}

/** The host that owns a key by rendezvous hashing, or undefined if there are no hosts. */
export function ownerOf(hosts: readonly string[], key: string): string | undefined {
    let owner: string | undefined;
    let bestScore = "";
    for (const host of hosts) {
        const hostScore = score(host, key);
        if (hostScore > bestScore) {
            bestScore = hostScore;
            owner = host;
        }
    }
    return owner;
}

/** Number of hosts that come before a host in the order of a key: 0 for its owner. */
export function rankOf(hosts: readonly string[], key: string, self: string): number {
    const own = score(self, key);
    return hosts.filter((host) => host !== self && score(host, key) > own).length;
}

/** The first hosts in the order of a key. */
export function firstOf(hosts: readonly string[], key: string, count: number): string[] {
    return hosts
        .map((host) => ({ host, score: score(host, key) }))
        .sort((one, other) => one.score > other.score ? -1 : 1)
        .slice(0, count)
        .map(({ host }) => host);
}

/** Draws at most so many of the entries; `random` draws numbers in [0, 1). */
export function drawSome<Value>(from: readonly Value[], count: number, random: () => number): Value[] {
    const left = [...from];
    const drawn: Value[] = [];
    while (drawn.length < count && left.length > 0) {
        drawn.push(...left.splice(Math.floor(random() * left.length), 1));
    }
    return drawn;
}
