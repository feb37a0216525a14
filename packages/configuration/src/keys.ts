import * as crypto from "node:crypto";
import * as zod from "zod";

/** A key as it is kept: never the key itself, only its hash. */
export interface KeyRecord {
    /** A name for operators; it is no secret. */
    readonly id: string;
    readonly workspace: string;
    /** SHA-256 of the key, in lower-case hexadecimal. */
    readonly hash: string;
}

/** Checks a key record. */
export const keyRecordSchema = zod.strictObject({
    id: zod.string().min(1),
    workspace: zod.string().min(1),
    hash: zod.string().regex(/^[0-9a-f]{64}$/),
});

const KEY_BYTES = 24;
const KEY_PREFIX = "cl-";

/** Makes a new key. It is shown once and only its hash is kept. */
export function makeKey(randomBytes: (length: number) => Buffer = crypto.randomBytes): string {
    return KEY_PREFIX + randomBytes(KEY_BYTES).toString("base64url");
}

/** Hashes a key. Keys are long and random, so a plain hash is enough. */
export function hashKey(key: string): string {
    return crypto.createHash("sha256").update(key, "utf8").digest("hex");
}
