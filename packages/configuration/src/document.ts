import * as crypto from "node:crypto";
import * as yaml from "yaml";
import * as zod from "zod";
import * as fleets from "./fleet.js";
import * as keys from "./keys.js";

/** The configuration in force: the fleet that an operator applied and the keys granted so far, under one revision. */
export interface Configuration {
    /** Grows by one with each accepted change; 0 before the first. */
    readonly revision: number;
    readonly fleet: fleets.Fleet;
    readonly keys: readonly keys.KeyRecord[];
    /** The YAML text that the fleet was read from. */
    readonly text: string;
}

const hashSchema = zod.string().regex(/^[0-9a-f]{64}$/);

const headSchema = zod.strictObject({
    revision: zod.int().positive(),
    /** Hashes of the chunks of the operator's YAML text, in order. */
    text: zod.array(hashSchema),
    /**
     * Hashes of the chunks of the same document as JSON, in order. Hosts read the JSON because parsing YAML takes too long
     * at the design size.
     */
    fleet: zod.array(hashSchema),
    /** Hashes of the key groups. */
    keys: zod.array(hashSchema),
    /** Hashes of parts that the previous revision used and this one does not; the next write deletes them. */
    obsolete: zod.array(hashSchema).default([]),
    /** The latest writes, newest first. A writer that got no answer finds out here whether its write took effect. */
    writes: zod.array(zod.strictObject({ revision: zod.int().positive(), writeId: zod.string() })).default([]),
});

/** The manifest of a stored configuration: its revision and the hashes of its parts. It is small. */
export type ConfigurationHead = zod.output<typeof headSchema>;

/** A configuration as stored: a head, and parts keyed by the hash of their text. Each part is well below a megabyte. */
export interface StoredConfiguration {
    readonly head: ConfigurationHead;
    readonly parts: ReadonlyMap<string, string>;
}

/**
 * Chunk boundaries depend on the content: a chunk of at least the minimum length ends after a line whose hash is a
 * multiple of this number. An edit therefore changes only the chunks around it.
 */
const LINES_PER_CHUNK = 64;
const MIN_CHUNK_CHARACTERS = 16 * 1024;
const MAX_CHUNK_CHARACTERS = 128 * 1024;
/** Keys are grouped by their hash, so that granting or withdrawing a key changes one group. */
const KEY_GROUP_COUNT = 64;
const RECENT_WRITE_COUNT = 16;

/** Splits a configuration into a head and parts. The previous head determines which parts become obsolete. */
export function splitConfiguration(
    configuration: Configuration,
    writeId: string,
    previous?: ConfigurationHead,
): StoredConfiguration {
    const text = splitIntoChunks(configuration.text);
    const fleet = splitIntoChunks(JSON.stringify(yaml.parse(configuration.text), undefined, 1));
    const groups = groupKeys(configuration.keys);
    const parts = new Map([...text, ...fleet, ...groups].map((part) => [hashPart(part), part]));
    const head: ConfigurationHead = {
        revision: configuration.revision,
        text: text.map(hashPart),
        fleet: fleet.map(hashPart),
        keys: groups.map(hashPart),
        obsolete: previous ? partHashes(previous).filter((hash) => !parts.has(hash)) : [],
        writes: [{ revision: configuration.revision, writeId }, ...previous?.writes ?? []].slice(0, RECENT_WRITE_COUNT),
    };
    return { head, parts };
}

/** Returns the hashes of all parts of a configuration, each once. */
export function partHashes(head: ConfigurationHead): string[] {
    return [...new Set([...head.text, ...head.fleet, ...head.keys])];
}

/** Returns the key of a part: the SHA-256 of its text in hexadecimal. */
export function hashPart(text: string): string {
    return crypto.createHash("sha256").update(text, "utf8").digest("hex");
}

/** Serializes a head for storage. */
export function serializeHead(head: ConfigurationHead): string {
    return JSON.stringify(head);
}

/** Parses a stored head. Returns undefined if it is invalid. */
export function parseHead(stored: string): ConfigurationHead | undefined {
    const parsed = headSchema.safeParse(parseJson(stored));
    return parsed.success ? parsed.data : undefined;
}

/** Joins configurations from their parts. Reuses the validated fleet and key groups that are unchanged since the last one. */
export class ConfigurationJoiner {
    private fleetJson = "";
    private fleet: fleets.Fleet | undefined;
    private groups: ReadonlyMap<string, readonly keys.KeyRecord[]> = new Map();

    /** Returns undefined if a part is missing or invalid. */
    join({ head, parts }: StoredConfiguration): Configuration | undefined {
        if (partHashes(head).some((hash) => !parts.has(hash))) {
            return undefined;
        }
        const fleet = this.parseFleetJson(joinChunks(head.fleet, parts));
        const groups = this.parseKeyGroups(head, parts);
        if (!fleet || !groups) {
            return undefined;
        }
        const records = [...groups.values()].flat().sort((left, right) => left.id < right.id ? -1 : 1);
        return { revision: head.revision, fleet, text: joinChunks(head.text, parts), keys: records };
    }

    private parseFleetJson(json: string): fleets.Fleet | undefined {
        if (json !== this.fleetJson) {
            const checked = fleets.fleetSchema.safeParse(parseJson(json));
            this.fleet = checked.success ? checked.data : undefined;
            this.fleetJson = json;
        }
        return this.fleet;
    }

    private parseKeyGroups(
        head: ConfigurationHead,
        parts: ReadonlyMap<string, string>,
    ): ReadonlyMap<string, readonly keys.KeyRecord[]> | undefined {
        const groups = new Map<string, readonly keys.KeyRecord[]>();
        for (const groupHash of head.keys) {
            const group = this.groups.get(groupHash)
                ?? keyGroupSchema.safeParse(parseJson(parts.get(groupHash) ?? "")).data;
            if (!group) {
                return undefined;
            }
            groups.set(groupHash, group);
        }
        this.groups = groups;
        return groups;
    }
}

/** Joins one configuration. Returns undefined if a part is missing or invalid. */
export function joinConfiguration(stored: StoredConfiguration): Configuration | undefined {
    return new ConfigurationJoiner().join(stored);
}

const keyGroupSchema = zod.array(keys.keyRecordSchema);

function joinChunks(hashes: readonly string[], parts: ReadonlyMap<string, string>): string {
    return hashes.map((hash) => parts.get(hash)).join("");
}

function splitIntoChunks(text: string): string[] {
    const chunks: string[] = [];
    let chunk = "";
    for (const line of text.split(/(?<=\n)/)) {
        if (chunk.length + line.length > MAX_CHUNK_CHARACTERS) {
            chunks.push(chunk);
            chunk = "";
        }
        chunk += line;
        if (chunk.length >= MIN_CHUNK_CHARACTERS && isChunkBoundary(line)) {
            chunks.push(chunk);
            chunk = "";
        }
    }
    return [...chunks, chunk].filter((candidate) => candidate !== "");
}

function isChunkBoundary(line: string): boolean {
    return crypto.createHash("sha1").update(line).digest().readUInt32BE(0) % LINES_PER_CHUNK === 0;
}

function groupKeys(records: readonly keys.KeyRecord[]): string[] {
    const groups: keys.KeyRecord[][] = Array.from({ length: KEY_GROUP_COUNT }, () => []);
    for (const record of records) {
        groups[Number.parseInt(record.hash.slice(0, 4), 16) % KEY_GROUP_COUNT]?.push(record);
    }
    return groups.filter((group) => group.length > 0).map((group) => JSON.stringify(group));
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
