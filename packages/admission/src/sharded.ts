/** An immutable map in small parts, so that one change copies little. */
export type ShardedMap<Value> = readonly ReadonlyMap<string, Value>[];

const PART_COUNT = 128;

/** Makes an empty map. */
export function emptyMap<Value>(): ShardedMap<Value> {
    return Array.from({ length: PART_COUNT }, () => new Map());
}

/** Finds an entry. */
export function find<Value>(map: ShardedMap<Value>, key: string): Value | undefined {
    return map[partOf(key)]?.get(key);
}

/** Every entry's value. */
export function values<Value>(map: ShardedMap<Value>): readonly Value[] {
    return map.flatMap((part) => [...part.values()]);
}

/** Puts an entry and drops those of the part that it falls into which are no longer to be kept. */
export function put<Value>(
    map: ShardedMap<Value>,
    key: string,
    value: Value,
    keep: (value: Value) => boolean = () => true,
): ShardedMap<Value> {
    const index = partOf(key);
    const part = new Map<string, Value>();
    map[index]?.forEach((known, knownKey) => {
        if (keep(known)) {
            part.set(knownKey, known);
        }
    });
    part.set(key, value);
    return map.with(index, part);
}

/** Removes an entry if it is there. */
export function remove<Value>(map: ShardedMap<Value>, key: string): ShardedMap<Value> {
    const index = partOf(key);
    const part = new Map(map[index]);
    return part.delete(key) ? map.with(index, part) : map;
}

function partOf(key: string): number {
    let hash = 0;
    for (let index = 0; index < key.length; index++) {
        hash = (hash * 31 + key.charCodeAt(index)) | 0;
    }
    return (hash >>> 0) % PART_COUNT;
}
