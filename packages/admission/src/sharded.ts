import type * as decision from "@citronlead/decision";

/** An entry that may be dropped once its time has passed. */
export interface Expiring {
    readonly until: decision.Milliseconds;
}

/** An immutable map in small parts, so that one change copies little. Entries expire. */
export type ShardedMap<Value extends Expiring> = readonly ReadonlyMap<string, Value>[];

const PART_COUNT = 128;

/** Makes an empty map. */
export function emptyMap<Value extends Expiring>(): ShardedMap<Value> {
    return Array.from({ length: PART_COUNT }, () => new Map());
}

/** Finds an entry. It may have expired already. */
export function find<Value extends Expiring>(map: ShardedMap<Value>, key: string): Value | undefined {
    return map[partOf(key)]?.get(key);
}

/** Puts an entry and drops the expired ones of the part that it falls into. */
export function put<Value extends Expiring>(
    map: ShardedMap<Value>,
    key: string,
    value: Value,
    now: decision.Milliseconds,
): ShardedMap<Value> {
    const index = partOf(key);
    const part = new Map<string, Value>();
    map[index]?.forEach((known, knownKey) => {
        if (known.until > now) {
            part.set(knownKey, known);
        }
    });
    part.set(key, value);
    return map.with(index, part);
}

function partOf(key: string): number {
    let hash = 0;
    for (let index = 0; index < key.length; index++) {
        hash = (hash * 31 + key.charCodeAt(index)) | 0;
    }
    return (hash >>> 0) % PART_COUNT;
}
