/** An immutable map that is divided into shards, so that a change copies only one of them. */
export type ShardedMap<Value> = readonly ReadonlyMap<string, Value>[];

const SHARD_COUNT = 128;

export function emptyMap<Value>(): ShardedMap<Value> {
    return Array.from({ length: SHARD_COUNT }, () => new Map());
}

export function find<Value>(map: ShardedMap<Value>, key: string): Value | undefined {
    return map[shardIndex(key)]?.get(key);
}

export function values<Value>(map: ShardedMap<Value>): readonly Value[] {
    return map.flatMap((shard) => [...shard.values()]);
}

/** Puts an entry, and drops the entries of its shard that `keep` rejects. */
export function put<Value>(
    map: ShardedMap<Value>,
    key: string,
    value: Value,
    keep: (value: Value) => boolean = () => true,
): ShardedMap<Value> {
    const index = shardIndex(key);
    const shard = new Map<string, Value>();
    map[index]?.forEach((known, knownKey) => {
        if (keep(known)) {
            shard.set(knownKey, known);
        }
    });
    shard.set(key, value);
    return map.with(index, shard);
}

export function remove<Value>(map: ShardedMap<Value>, key: string): ShardedMap<Value> {
    const index = shardIndex(key);
    const shard = new Map(map[index]);
    return shard.delete(key) ? map.with(index, shard) : map;
}

function shardIndex(key: string): number {
    let hash = 0;
    for (let index = 0; index < key.length; index++) {
        hash = (hash * 31 + key.charCodeAt(index)) | 0;
    }
    return (hash >>> 0) % SHARD_COUNT;
}
