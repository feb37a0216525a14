import * as configuration from "@citronlead/configuration";

/** The authenticated API key of a request and the workspace that owns it. */
export interface Credential {
    /** The key in plain text, kept while the request runs so that it can be withheld from upstreams. */
    readonly key: string;
    readonly hash: string;
    readonly workspace: string;
}

const BEARER = /^Bearer +([^\s]+) *$/i;

/** Reads the bearer token of an Authorization header. Returns undefined when it has none. */
export function parseBearerKey(authorization: string | undefined): string | undefined {
    return authorization === undefined ? undefined : BEARER.exec(authorization)?.[1];
}

/** Looks up the workspace of a key. Returns undefined if the key is unknown or was withdrawn. */
export function authenticate(
    current: configuration.Configuration,
    key: string,
    index: ReadonlyMap<string, string> = workspacesByKeyHash(current),
): Credential | undefined {
    const hash = configuration.hashKey(key);
    const workspace = index.get(hash);
    return workspace === undefined ? undefined : { key, hash, workspace };
}

const keyIndexes = new WeakMap<configuration.Configuration, ReadonlyMap<string, string>>();

/** Maps key hashes to workspaces. The map is cached for each configuration. */
export function workspacesByKeyHash(current: configuration.Configuration): ReadonlyMap<string, string> {
    const cached = keyIndexes.get(current);
    if (cached) {
        return cached;
    }
    const built = new Map(current.keys.map((record) => [record.hash, record.workspace]));
    keyIndexes.set(current, built);
    return built;
}
