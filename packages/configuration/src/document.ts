import * as crypto from "node:crypto";
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
    /** Hashes of the pieces of the text, in order. */
    text: zod.array(hash),
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
const SHORTEST_PIECE_CHARACTERS = 8 * 1024;
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
    const groups = groupKeys(configuration.keys);
    const parts = new Map([...text, ...groups].map((part) => [hashPart(part), part]));
    const head: ConfigurationHead = {
        revision: configuration.revision,
        text: text.map(hashPart),
        keys: groups.map(hashPart),
        obsolete: former ? partHashes(former).filter((candidate) => !parts.has(candidate)) : [],
        writes: [{ revision: configuration.revision, writeId }, ...former?.writes ?? []].slice(0, WRITES_KEPT),
    };
    return { head, parts };
}

/** The hashes of all parts of a configuration. */
export function partHashes(head: ConfigurationHead): string[] {
    return [...new Set([...head.text, ...head.keys])];
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

/**
 * Joins a configuration from its parts. Returns undefined if a part is missing or cannot be used. Takes the fleet over
 * from the former configuration if the text is the same, since checking a long text takes time.
 */
export function joinConfiguration(
    { head, parts }: StoredConfiguration,
    former?: Configuration,
): Configuration | undefined {
    if (partHashes(head).some((candidate) => !parts.has(candidate))) {
        return undefined;
    }
    const text = head.text.map((candidate) => parts.get(candidate)).join("");
    const records = head.keys.map((candidate) => groupSchema.safeParse(parseJson(parts.get(candidate) ?? "")));
    const known = records.flatMap((parsed) => parsed.data ?? []).sort((left, right) => left.id < right.id ? -1 : 1);
    const fleet = text === former?.text ? former.fleet : readFleet(text);
    return fleet && records.every((parsed) => parsed.success)
        ? { revision: head.revision, fleet, text, keys: known }
        : undefined;
}

const groupSchema = zod.array(keys.keyRecordSchema);

function readFleet(text: string): fleets.Fleet | undefined {
    const checked = fleets.parseFleet("stored", text);
    return checked.valid ? checked.value : undefined;
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
