import type * as decision from "@citronlead/decision";
import * as orderedMap from "./orderedmap.js";

/** The latest use of a prefix: its number among all uses recorded in the index, and its time. */
interface LastUse {
    readonly useNumber: number;
    readonly at: decision.Milliseconds;
}

/** The part of the index that belongs to one engine. */
interface EngineEntry {
    /** The sequence number of the latest cache event; undefined before the first. */
    readonly sequence: number | undefined;
    /** Prefix hashes by the number of their latest use, least recently used first. */
    readonly byRecency: orderedMap.OrderedMap<number, string>;
    readonly lastUses: orderedMap.OrderedMap<string, LastUse>;
}

/**
 * An estimate of which engines have which prompt prefixes cached. The scheduler's own placements update it immediately,
 * cache events when they arrive. Each engine's entries are limited to what its memory can hold and evicted least recently
 * used first, so lost events do little harm. A delayed event does not undo the effect of a placement made after the event
 * happened.
 */
export interface PrefixIndex {
    readonly byEngine: orderedMap.OrderedMap<string, EngineEntry>;
    /** The engines that have each prefix hash cached. */
    readonly enginesByHash: orderedMap.OrderedMap<string, readonly string[]>;
    /** How many uses have been recorded; numbers the next one. */
    readonly useCount: number;
}

export function emptyIndex(): PrefixIndex {
    return {
        byEngine: orderedMap.OrderedMap.empty(orderedMap.compareStrings),
        enginesByHash: orderedMap.OrderedMap.empty(orderedMap.compareStrings),
        useCount: 0,
    };
}

function emptyEntry(): EngineEntry {
    return {
        sequence: undefined,
        byRecency: orderedMap.OrderedMap.empty((left, right) => left - right),
        lastUses: orderedMap.OrderedMap.empty(orderedMap.compareStrings),
    };
}

/** A prefix and the engines that have it cached. */
export interface CachedPrefix {
    readonly engines: readonly string[];
    /** The length of the prefix in hashes. */
    readonly length: number;
}

/** Finds the longest prefix that any engine has cached. */
export function longestCachedPrefix(index: PrefixIndex, hashes: readonly string[]): CachedPrefix | undefined {
    for (let length = hashes.length; length > 0; length--) {
        const engines = index.enginesByHash.get(hashes[length - 1] ?? "");
        if (engines) {
            return { engines, length };
        }
    }
    return undefined;
}

/** The length, in hashes, of the longest prefix that an engine has cached. */
export function cachedPrefixLength(index: PrefixIndex, engine: string, hashes: readonly string[]): number {
    const lastUses = index.byEngine.get(engine)?.lastUses;
    let length = lastUses ? hashes.length : 0;
    while (length > 0 && !lastUses?.has(hashes[length - 1] ?? "")) {
        length--;
    }
    return length;
}

/** A use of a prompt's prefixes on an engine. */
export interface PrefixUse {
    readonly engine: string;
    readonly hashes: readonly string[];
    /** How many prefix hashes fit in the engine's memory. */
    readonly capacity: number;
    readonly at: decision.Milliseconds;
}

/** Records that an engine has stored or reused prefixes. Evicts its least recently used hashes beyond the capacity. */
export function recordUse(index: PrefixIndex, use: PrefixUse): PrefixIndex {
    return use.hashes.reduce((next, hash) => recordHash(next, use, hash), index);
}

function recordHash(index: PrefixIndex, use: PrefixUse, hash: string): PrefixIndex {
    const { engine, capacity, at } = use;
    const entry = index.byEngine.get(engine) ?? emptyEntry();
    const previous = entry.lastUses.get(hash);
    const useCount = index.useCount + 1;
    const byRecency = (previous === undefined ? entry.byRecency : entry.byRecency.delete(previous.useNumber)).set(
        useCount,
        hash,
    );
    const enginesByHash = previous === undefined
        ? index.enginesByHash.set(hash, [...index.enginesByHash.get(hash) ?? [], engine])
        : index.enginesByHash;
    const lastUses = entry.lastUses.set(hash, { useNumber: useCount, at });
    const next = { byEngine: index.byEngine.set(engine, { ...entry, byRecency, lastUses }), enginesByHash, useCount };
    const oldest = byRecency.size > capacity ? byRecency.first()?.[1] : undefined;
    return oldest === undefined ? next : removeHash(next, engine, oldest);
}

/** Records that an engine no longer has a prefix cached. */
export function removeHash(index: PrefixIndex, engine: string, hash: string): PrefixIndex {
    const entry = index.byEngine.get(engine);
    const use = entry?.lastUses.get(hash);
    if (!entry || use === undefined) {
        return index;
    }
    const remaining = (index.enginesByHash.get(hash) ?? []).filter((name) => name !== engine);
    return {
        ...index,
        byEngine: index.byEngine.set(engine, {
            ...entry,
            byRecency: entry.byRecency.delete(use.useNumber),
            lastUses: entry.lastUses.delete(hash),
        }),
        enginesByHash: remaining.length === 0
            ? index.enginesByHash.delete(hash)
            : index.enginesByHash.set(hash, remaining),
    };
}

/** Removes everything recorded for an engine. */
export function removeEngine(index: PrefixIndex, engine: string): PrefixIndex {
    const hashes = [...index.byEngine.get(engine)?.lastUses.entries() ?? []].map(([hash]) => hash);
    const emptied = hashes.reduce((next, hash) => removeHash(next, engine, hash), index);
    return { ...emptied, byEngine: emptied.byEngine.delete(engine) };
}

/** A change of an engine's prefix cache, as the engine publishes it. */
export interface CacheChange {
    readonly engine: string;
    /** Increases by one with each event of the engine. */
    readonly sequence: number;
    /** True if the prefix was stored, false if it was evicted. */
    readonly stored: boolean;
    readonly hash: string;
}

/**
 * Applies a cache event. Events with an old sequence number are ignored. The event happened earlier, at `happenedAt`, so it
 * is also ignored for a prefix that was used after that time.
 */
export function applyCacheChange(
    index: PrefixIndex,
    change: CacheChange,
    capacity: number,
    happenedAt: decision.Milliseconds,
): PrefixIndex {
    const entry = index.byEngine.get(change.engine) ?? emptyEntry();
    if (entry.sequence !== undefined && change.sequence <= entry.sequence) {
        return index;
    }
    const withSequence = {
        ...index,
        byEngine: index.byEngine.set(change.engine, { ...entry, sequence: change.sequence }),
    };
    const use = entry.lastUses.get(change.hash);
    if (use !== undefined && use.at > happenedAt) {
        return withSequence;
    }
    return change.stored
        ? recordHash(withSequence, { engine: change.engine, hashes: [], capacity, at: happenedAt }, change.hash)
        : removeHash(withSequence, change.engine, change.hash);
}
