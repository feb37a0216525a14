import * as crypto from "node:crypto";
import * as yaml from "yaml";
import * as zod from "zod";
import * as fleets from "./fleet.js";
import * as keys from "./keys.js";

/** The configuration in force: what an operator applied, and the keys granted so far, under one revision. */
export interface Configuration {
    /** Grows by one with each accepted change; 0 before the first. */
    readonly revision: number;
    readonly fleet: fleets.Fleet;
    readonly keys: readonly keys.KeyRecord[];
    /** The YAML text that the fleet was read from. */
    readonly text: string;
}

const hash = zod.string().regex(/^[0-9a-f]{64}$/);

const headSchema = zod.strictObject({
    revision: zod.int().positive(),
    /** Hashes of the pieces of the operator's text, in order. */
    text: zod.array(hash),
    /** Hashes of the pieces of the same in JSON, in order: YAML takes hosts too long to read at the size to design for. */
    fleet: zod.array(hash),
    /** Hashes of the groups of keys. */
    keys: zod.array(hash),
    /** Parts of the revision before that this one no longer has; the next write deletes them. */
    obsolete: zod.array(hash).default([]),
    /** The latest writes, newest first, so that a writer whose answer was lost can tell whether its write took effect. */
    writes: zod.array(zod.strictObject({ revision: zod.int().positive(), writeId: zod.string() })).default([]),
});

/** What names a stored configuration: its revision and the hashes of its parts. It is small. */
export type ConfigurationHead = zod.output<typeof headSchema>;

/** A configuration as it is kept: a head, and parts by the hash of their text. Parts stay well below a megabyte. */
export interface StoredConfiguration {
    readonly head: ConfigurationHead;
    readonly parts: ReadonlyMap<string, string>;
}

/** Pieces of the text end after a line whose hash says so, so that an edit changes only the pieces around it. */
const LINES_PER_PIECE = 64;
const SHORTEST_PIECE_CHARACTERS = 16 * 1024;
const LONGEST_PIECE_CHARACTERS = 128 * 1024;
/** Keys fall into groups by their hash, so that a grant or withdrawal changes one group. */
const KEY_GROUPS = 64;
const WRITES_KEPT = 16;

/** Cuts a configuration into a head and parts. The former head says what becomes obsolete. */
export function splitConfiguration(
    configuration: Configuration,
    writeId: string,
    former?: ConfigurationHead,
): StoredConfiguration {
    const text = splitText(configuration.text);
    const fleet = splitText(JSON.stringify(yaml.parse(configuration.text), undefined, 1));
    const groups = groupKeys(configuration.keys);
    const parts = new Map([...text, ...fleet, ...groups].map((part) => [hashPart(part), part]));
    const head: ConfigurationHead = {
        revision: configuration.revision,
        text: text.map(hashPart),
        fleet: fleet.map(hashPart),
        keys: groups.map(hashPart),
        obsolete: former ? partHashes(former).filter((candidate) => !parts.has(candidate)) : [],
        writes: [{ revision: configuration.revision, writeId }, ...former?.writes ?? []].slice(0, WRITES_KEPT),
    };
    return { head, parts };
}

/** The hashes of all parts of a configuration. */
export function partHashes(head: ConfigurationHead): string[] {
    return [...new Set([...head.text, ...head.fleet, ...head.keys])];
}

/** Names a part by its text. */
export function hashPart(text: string): string {
    return crypto.createHash("sha256").update(text, "utf8").digest("hex");
}

/** Writes a head as it is kept. */
export function writeHead(head: ConfigurationHead): string {
    return JSON.stringify(head);
}

/** Reads a stored head. Returns undefined if it cannot be used. */
export function readHead(stored: string): ConfigurationHead | undefined {
    const parsed = headSchema.safeParse(parseJson(stored));
    return parsed.success ? parsed.data : undefined;
}

/** Joins configurations from their parts, and does not check again what did not change since the one before. */
export class ConfigurationJoiner {
    private fleetJson = "";
    private fleet: fleets.Fleet | undefined;
    private groups: ReadonlyMap<string, readonly keys.KeyRecord[]> = new Map();

    /** Returns undefined if a part is missing or cannot be used. */
    join({ head, parts }: StoredConfiguration): Configuration | undefined {
        if (partHashes(head).some((candidate) => !parts.has(candidate))) {
            return undefined;
        }
        const fleet = this.readFleet(joinPieces(head.fleet, parts));
        const groups = this.readGroups(head, parts);
        if (!fleet || !groups) {
            return undefined;
        }
        const records = [...groups.values()].flat().sort((left, right) => left.id < right.id ? -1 : 1);
        return { revision: head.revision, fleet, text: joinPieces(head.text, parts), keys: records };
    }

    private readFleet(json: string): fleets.Fleet | undefined {
        if (json !== this.fleetJson) {
            const checked = fleets.fleetSchema.safeParse(parseJson(json));
            this.fleet = checked.success ? checked.data : undefined;
            this.fleetJson = json;
        }
        return this.fleet;
    }

    private readGroups(
        head: ConfigurationHead,
        parts: ReadonlyMap<string, string>,
    ): ReadonlyMap<string, readonly keys.KeyRecord[]> | undefined {
        const groups = new Map<string, readonly keys.KeyRecord[]>();
        for (const name of head.keys) {
            const group = this.groups.get(name) ?? groupSchema.safeParse(parseJson(parts.get(name) ?? "")).data;
            if (!group) {
                return undefined;
            }
            groups.set(name, group);
        }
        this.groups = groups;
        return groups;
    }
}

/** Joins one configuration. Returns undefined if a part is missing or cannot be used. */
export function joinConfiguration(stored: StoredConfiguration): Configuration | undefined {
    return new ConfigurationJoiner().join(stored);
}

const groupSchema = zod.array(keys.keyRecordSchema);

function joinPieces(hashes: readonly string[], parts: ReadonlyMap<string, string>): string {
    return hashes.map((candidate) => parts.get(candidate)).join("");
}

function splitText(text: string): string[] {
    const pieces: string[] = [];
    let piece = "";
    for (const line of text.split(/(?<=\n)/)) {
        if (piece.length + line.length > LONGEST_PIECE_CHARACTERS) {
            pieces.push(piece);
            piece = "";
        }
        piece += line;
        if (piece.length >= SHORTEST_PIECE_CHARACTERS && endsPiece(line)) {
            pieces.push(piece);
            piece = "";
        }
    }
    return [...pieces, piece].filter((candidate) => candidate !== "");
}

function endsPiece(line: string): boolean {
    return crypto.createHash("sha1").update(line).digest().readUInt32BE(0) % LINES_PER_PIECE === 0;
}

function groupKeys(records: readonly keys.KeyRecord[]): string[] {
    const groups: keys.KeyRecord[][] = Array.from({ length: KEY_GROUPS }, () => []);
    for (const record of records) {
        groups[Number.parseInt(record.hash.slice(0, 4), 16) % KEY_GROUPS]?.push(record);
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
