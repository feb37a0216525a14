import * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import * as crypto from "node:crypto";

/** Key of the configuration's head, which names the parts by their hashes. */
export const CONFIGURATION_KEY = "/citronlead/configuration";

/** Key prefix of the parts, by hash. Must not start with CONFIGURATION_KEY, the prefix of watches of the head. */
const PART_PREFIX = "/citronlead/parts/";

/** Above this number of missing parts, all parts are read with one call instead of one call each. */
const MAX_SINGLE_READS = 8;
const MAX_READ_ATTEMPTS = 3;

/** The stored head, and the revision of its key at the key-value service, which is 0 before the first write. */
export interface HeadSnapshot {
    readonly head: configuration.ConfigurationHead | undefined;
    readonly modRevision: number;
    /** Whether there is a head that this version cannot parse. */
    readonly unreadable: boolean;
}

/** The stored head and the configuration that it names; undefined if there is none or it cannot be read. */
export interface ConfigurationSnapshot extends HeadSnapshot {
    readonly configuration: configuration.Configuration | undefined;
}

/** Reads the head of the configuration. */
export async function readHead(keyValue: platform.KeyValue): Promise<decision.Outcome<HeadSnapshot>> {
    return platform.mapOutcome(
        await keyValue.read(CONFIGURATION_KEY),
        (snapshot) => toHeadSnapshot(snapshot.entries[0]),
    );
}

function toHeadSnapshot(entry: platform.Entry | undefined): HeadSnapshot {
    const head = entry && configuration.parseHead(entry.value);
    return { head, modRevision: entry?.modRevision ?? 0, unreadable: entry !== undefined && head === undefined };
}

/** Reads the parts of a head that are missing and adds them. Returns whether all are present afterwards. */
export async function readMissingParts(
    keyValue: platform.KeyValue,
    head: configuration.ConfigurationHead,
    parts: Map<string, string>,
): Promise<decision.Outcome<boolean>> {
    const missing = configuration.partHashes(head).filter((hash) => !parts.has(hash));
    const reads = missing.length > MAX_SINGLE_READS
        ? [keyValue.readPrefix(PART_PREFIX)]
        : missing.map((hash) => keyValue.read(PART_PREFIX + hash));
    for (const outcome of await Promise.all(reads)) {
        if (outcome.effect !== decision.Effect.Known) {
            return outcome;
        }
        outcome.value.entries.forEach((entry) => addPart(head, parts, entry.value));
    }
    return decision.knownEffect(missing.every((hash) => parts.has(hash)));
}

/** Adds a part if the head names its hash. */
export function addPart(head: configuration.ConfigurationHead, parts: Map<string, string>, text: string): void {
    const hash = configuration.hashPart(text);
    if (configuration.partHashes(head).includes(hash)) {
        parts.set(hash, text);
    }
}

/** Reads the whole stored configuration. */
export async function readConfiguration(keyValue: platform.KeyValue): Promise<decision.Outcome<ConfigurationSnapshot>> {
    const parts = new Map<string, string>();
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
        const read = await readHead(keyValue);
        if (read.effect !== decision.Effect.Known) {
            return read;
        }
        const { head } = read.value;
        if (!head) {
            return decision.knownEffect({ ...read.value, configuration: undefined });
        }
        const outcome = await readMissingParts(keyValue, head, parts);
        if (outcome.effect !== decision.Effect.Known) {
            return outcome;
        }
        if (outcome.value) {
            const joined = configuration.joinConfiguration({ head, parts });
            return decision.knownEffect({ ...read.value, configuration: joined, unreadable: joined === undefined });
        }
    }
    return decision.unknownEffect("the configuration changed while it was read");
}

/**
 * Replaces the stored configuration by compare-and-swap on the head's revision. Writes the head and the parts that the
 * former head lacks, and deletes the parts that were already obsolete. The swap fails if another operator was faster.
 */
export function swapConfiguration(
    keyValue: platform.KeyValue,
    next: configuration.Configuration,
    formerModRevision: number,
    former?: configuration.ConfigurationHead,
    writeId: string = crypto.randomUUID(),
): Promise<decision.Outcome<platform.SwapResult>> {
    const { head, parts } = configuration.splitConfiguration(next, writeId, former);
    const stored = new Set(former ? configuration.partHashes(former) : []);
    const puts = [...parts].filter(([hash]) => !stored.has(hash));
    const obsolete = (former?.obsolete ?? []).filter((hash) => !parts.has(hash) && !head.obsolete.includes(hash));
    return keyValue.swap([{ key: CONFIGURATION_KEY, modRevision: formerModRevision }], [
        { kind: platform.ChangeKind.Put, key: CONFIGURATION_KEY, value: configuration.serializeHead(head) },
        ...puts.map(([hash, value]): platform.Change => ({
            kind: platform.ChangeKind.Put,
            key: PART_PREFIX + hash,
            value,
        })),
        ...obsolete.map((hash): platform.Change => ({ kind: platform.ChangeKind.Delete, key: PART_PREFIX + hash })),
    ]);
}

/** The head that a failed swap found in the key-value service. */
export function currentHead(swap: platform.SwapResult): configuration.ConfigurationHead | undefined {
    return toHeadSnapshot(swap.current[0]).head;
}
