import type * as decision from "@citronlead/decision";
import * as orderedMap from "./orderedmap.js";

/** When a prefix was last used: a count over all uses, and the time. */
interface Use {
    readonly count: number;
    readonly at: decision.Milliseconds;
}

/** One engine's share of the index. */
interface Shelf {
    /** The sequence number of the latest cache event; undefined before the first. */
    readonly sequence: number | undefined;
    /** Hashes by their last use. */
    readonly byUse: orderedMap.OrderedMap<number, string>;
    readonly uses: orderedMap.OrderedMap<string, Use>;
}

/**
 * Which engine holds which prefixes, as far as is known: from the owner's own placements at once, from cache events when
 * they come. What is held is bounded as the engine's own memory is, oldest use first out, so lost events do little harm;
 * an event that comes late does not undo what was placed after it happened.
 */
export interface Prefixes {
    readonly shelves: orderedMap.OrderedMap<string, Shelf>;
    /** The engines that hold a hash. */
    readonly holders: orderedMap.OrderedMap<string, readonly string[]>;
    readonly count: number;
}

/** The index before anything is known. */
export function emptyPrefixes(): Prefixes {
    return {
        shelves: orderedMap.OrderedMap.empty(orderedMap.compareText),
        holders: orderedMap.OrderedMap.empty(orderedMap.compareText),
        count: 0,
    };
}

function emptyShelf(): Shelf {
    return {
        sequence: undefined,
        byUse: orderedMap.OrderedMap.empty((left, right) => left - right),
        uses: orderedMap.OrderedMap.empty(orderedMap.compareText),
    };
}

/** A prefix that engines hold. */
export interface HeldPrefix {
    readonly engines: readonly string[];
    /** How many hashes long the prefix is. */
    readonly length: number;
}

/** Finds the longest prefix that any engine holds. */
export function longestHeld(prefixes: Prefixes, hashes: readonly string[]): HeldPrefix | undefined {
    for (let length = hashes.length; length > 0; length--) {
        const engines = prefixes.holders.get(hashes[length - 1] ?? "");
        if (engines) {
            return { engines, length };
        }
    }
    return undefined;
}

/** How many leading hashes an engine holds. */
export function heldLength(prefixes: Prefixes, engine: string, hashes: readonly string[]): number {
    const uses = prefixes.shelves.get(engine)?.uses;
    let length = uses ? hashes.length : 0;
    while (length > 0 && !uses?.has(hashes[length - 1] ?? "")) {
        length--;
    }
    return length;
}

/** A use of prefixes at an engine. */
export interface PrefixUse {
    readonly engine: string;
    readonly hashes: readonly string[];
    /** How many hashes the engine has memory for. */
    readonly limit: number;
    readonly at: decision.Milliseconds;
}

/** Takes note that an engine holds prefixes or has just used them. */
export function store(prefixes: Prefixes, use: PrefixUse): Prefixes {
    return use.hashes.reduce((next, hash) => storeOne(next, use, hash), prefixes);
}

function storeOne(prefixes: Prefixes, use: PrefixUse, hash: string): Prefixes {
    const { engine, limit, at } = use;
    const shelf = prefixes.shelves.get(engine) ?? emptyShelf();
    const former = shelf.uses.get(hash);
    const count = prefixes.count + 1;
    const byUse = (former === undefined ? shelf.byUse : shelf.byUse.delete(former.count)).set(count, hash);
    const holders = former === undefined
        ? prefixes.holders.set(hash, [...prefixes.holders.get(hash) ?? [], engine])
        : prefixes.holders;
    const uses = shelf.uses.set(hash, { count, at });
    const next = { shelves: prefixes.shelves.set(engine, { ...shelf, byUse, uses }), holders, count };
    const oldest = byUse.size > limit ? byUse.first()?.[1] : undefined;
    return oldest === undefined ? next : drop(next, engine, oldest);
}

/** Takes note that an engine does not hold a prefix. */
export function drop(prefixes: Prefixes, engine: string, hash: string): Prefixes {
    const shelf = prefixes.shelves.get(engine);
    const use = shelf?.uses.get(hash);
    if (!shelf || use === undefined) {
        return prefixes;
    }
    const left = (prefixes.holders.get(hash) ?? []).filter((holder) => holder !== engine);
    return {
        ...prefixes,
        shelves: prefixes.shelves.set(engine, {
            ...shelf,
            byUse: shelf.byUse.delete(use.count),
            uses: shelf.uses.delete(hash),
        }),
        holders: left.length === 0 ? prefixes.holders.delete(hash) : prefixes.holders.set(hash, left),
    };
}

/** Forgets all that an engine holds. */
export function forget(prefixes: Prefixes, engine: string): Prefixes {
    const hashes = [...prefixes.shelves.get(engine)?.uses.entries() ?? []].map(([hash]) => hash);
    const emptied = hashes.reduce((next, hash) => drop(next, engine, hash), prefixes);
    return { ...emptied, shelves: emptied.shelves.delete(engine) };
}

/** A change of an engine's prefix cache, as the engine publishes it. */
export interface CacheChange {
    readonly engine: string;
    /** Counts up by one at each engine. */
    readonly sequence: number;
    readonly stored: boolean;
    readonly hash: string;
}

/** Takes in a cache event. It is as old as the lag, so it says nothing of prefixes that were used since. */
export function takeChange(
    prefixes: Prefixes,
    change: CacheChange,
    limit: number,
    happenedAt: decision.Milliseconds,
): Prefixes {
    const shelf = prefixes.shelves.get(change.engine) ?? emptyShelf();
    if (shelf.sequence !== undefined && change.sequence <= shelf.sequence) {
        return prefixes;
    }
    const seen = {
        ...prefixes,
        shelves: prefixes.shelves.set(change.engine, { ...shelf, sequence: change.sequence }),
    };
    const use = shelf.uses.get(change.hash);
    if (use !== undefined && use.at > happenedAt) {
        return seen;
    }
    return change.stored
        ? storeOne(seen, { engine: change.engine, hashes: [], limit, at: happenedAt }, change.hash)
        : drop(seen, change.engine, change.hash);
}
