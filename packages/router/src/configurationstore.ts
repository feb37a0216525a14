import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import * as crypto from "node:crypto";

/** The key under which the head of the configuration is kept. */
export const CONFIGURATION_KEY = "/citronlead/configuration";

/** The prefix of the keys under which its parts are kept, by their hash. It does not begin like the head's key. */
const PART_PREFIX = "/citronlead/parts/";

/** Above this number of missing parts all are read with one call. */
const SINGLE_READS = 8;
const READ_TRIES = 3;

/** The head as it was read, and the revision of its key at the key-value service; 0 before the first change. */
export interface ReadHead {
    readonly head: configuration.ConfigurationHead | undefined;
    readonly modRevision: number;
    /** Whether there is a head that this version cannot read. */
    readonly unreadable: boolean;
}

/** The configuration as it was read from the key-value service. */
export interface ReadConfiguration extends ReadHead {
    readonly configuration: configuration.Configuration | undefined;
}

/** Reads the head of the configuration. */
export async function readHead(keyValue: platform.KeyValue): Promise<decision.Outcome<ReadHead>> {
    return platform.map(await keyValue.read(CONFIGURATION_KEY), (snapshot) => toHead(snapshot.entries[0]));
}

function toHead(entry: platform.Entry | undefined): ReadHead {
    const head = entry && configuration.readHead(entry.value);
    return { head, modRevision: entry?.modRevision ?? 0, unreadable: entry !== undefined && head === undefined };
}

/** Reads the parts of a head that are not held yet and adds them. Tells whether all are held then. */
export async function readParts(
    keyValue: platform.KeyValue,
    head: configuration.ConfigurationHead,
    held: Map<string, string>,
): Promise<decision.Outcome<boolean>> {
    const missing = configuration.partHashes(head).filter((hash) => !held.has(hash));
    const reads = missing.length > SINGLE_READS
        ? [keyValue.readPrefix(PART_PREFIX)]
        : missing.map((hash) => keyValue.read(PART_PREFIX + hash));
    for (const outcome of await Promise.all(reads)) {
        if (outcome.effect !== decision.Effect.Known) {
            return outcome;
        }
        outcome.value.entries.forEach((entry) => addPart(head, held, entry.value));
    }
    return decision.known(missing.every((hash) => held.has(hash)));
}

/** Adds a part if the head names it. */
export function addPart(head: configuration.ConfigurationHead, held: Map<string, string>, text: string): void {
    const hash = configuration.hashPart(text);
    if (configuration.partHashes(head).includes(hash)) {
        held.set(hash, text);
    }
}

/** Reads the configuration as it is stored now. */
export async function readConfiguration(keyValue: platform.KeyValue): Promise<decision.Outcome<ReadConfiguration>> {
    const held = new Map<string, string>();
    for (let tries = 0; tries < READ_TRIES; tries++) {
        const read = await readHead(keyValue);
        if (read.effect !== decision.Effect.Known) {
            return read;
        }
        const { head } = read.value;
        if (!head) {
            return decision.known({ ...read.value, configuration: undefined });
        }
        const parts = await readParts(keyValue, head, held);
        if (parts.effect !== decision.Effect.Known) {
            return parts;
        }
        if (parts.value) {
            const joined = configuration.joinConfiguration({ head, parts: held });
            return decision.known({ ...read.value, configuration: joined, unreadable: joined === undefined });
        }
    }
    return decision.unknownEffect("the configuration changed while it was read");
}

/**
 * Writes a configuration in place of the one that was read: the head, the parts that the former head lacks, and the end
 * of the parts that became obsolete before. The result tells whether another operator was faster.
 */
export function swapConfiguration(
    keyValue: platform.KeyValue,
    next: configuration.Configuration,
    formerModRevision: number,
    former?: configuration.ConfigurationHead,
    writeId: string = crypto.randomUUID(),
): Promise<decision.Outcome<platform.Swap>> {
    const { head, parts } = configuration.splitConfiguration(next, writeId, former);
    const stored = new Set(former ? configuration.partHashes(former) : []);
    const puts = [...parts].filter(([hash]) => !stored.has(hash));
    const doomed = (former?.obsolete ?? []).filter((hash) => !parts.has(hash) && !head.obsolete.includes(hash));
    return keyValue.swap([{ key: CONFIGURATION_KEY, modRevision: formerModRevision }], [
        { kind: platform.ChangeKind.Put, key: CONFIGURATION_KEY, value: configuration.writeHead(head) },
        ...puts.map(([hash, value]): platform.Change => ({
            kind: platform.ChangeKind.Put,
            key: PART_PREFIX + hash,
            value,
        })),
        ...doomed.map((hash): platform.Change => ({ kind: platform.ChangeKind.Delete, key: PART_PREFIX + hash })),
    ]);
}

/** What a failed comparison says is stored. */
export function currentHead(swap: platform.Swap): configuration.ConfigurationHead | undefined {
    return toHead(swap.current[0]).head;
}
