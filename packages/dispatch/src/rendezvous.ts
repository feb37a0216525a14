import * as crypto from "node:crypto";

function score(host: string, key: string): string {
    return crypto.createHash("sha1").update(`${host}\n${key}`).digest("hex");
}

/** The host that owns a key by rendezvous hashing, or undefined if there is no host. */
export function ownerOf(hosts: readonly string[], key: string): string | undefined {
    let owner: string | undefined;
    let best = "";
    for (const host of hosts) {
        const value = score(host, key);
        if (value > best) {
            best = value;
            owner = host;
        }
    }
    return owner;
}
