/** Sets an entry of a map in order of time, and evicts the oldest one beyond the maximum size. */
export function setNewest<Value>(map: Map<string, Value>, key: string, value: Value, maxSize: number): void {
    map.delete(key);
    map.set(key, value);
    if (map.size > maxSize) {
        map.delete(map.keys().next().value as string);
    }
}
