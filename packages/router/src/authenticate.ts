import * as configuration from "@citronlead/configuration";

/** A key that was presented and the workspace that it belongs to. */
export interface Credential {
    /** The key itself; kept only while the request runs, to keep it from upstreams. */
    readonly key: string;
    readonly hash: string;
    readonly workspace: string;
}

const BEARER = /^Bearer +([^\s]+) *$/i;

/** Reads the key from an Authorization header. */
export function presentedKey(authorization: string | undefined): string | undefined {
    return authorization === undefined ? undefined : BEARER.exec(authorization)?.[1];
}

/** Finds the workspace of a key, or undefined if the key is unknown or was withdrawn. */
export function authenticate(
    current: configuration.Configuration,
    key: string,
    index: ReadonlyMap<string, string> = indexKeys(current),
): Credential | undefined {
    const hash = configuration.hashKey(key);
    const workspace = index.get(hash);
    return workspace === undefined ? undefined : { key, hash, workspace };
}

const indexes = new WeakMap<configuration.Configuration, ReadonlyMap<string, string>>();

/** Workspaces by the hash of their keys, made once for each configuration. */
export function indexKeys(current: configuration.Configuration): ReadonlyMap<string, string> {
    const known = indexes.get(current);
    if (known) {
        return known;
    }
    const made = new Map(current.keys.map((record) => [record.hash, record.workspace]));
    indexes.set(current, made);
    return made;
}
