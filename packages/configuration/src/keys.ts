import * as crypto from "node:crypto";
import * as zod from "zod";

/** A key as stored: only its hash, never the key itself. */
export interface KeyRecord {
    /** A name that operators give the key; it is not secret. */
    readonly id: string;
    readonly workspace: string;
    /** SHA-256 of the key, in lower-case hexadecimal. */
    readonly hash: string;
}

/** Validates a stored key record. */
export const keyRecordSchema = zod.strictObject({
    id: zod.string().min(1),
    workspace: zod.string().min(1),
    hash: zod.string().regex(/^[0-9a-f]{64}$/),
});

const KEY_BYTES = 24;
const KEY_PREFIX = "cl-";

/** Generates a new key. The operator sees it once; only its hash is stored. */
export function generateKey(randomBytes: (length: number) => Buffer = crypto.randomBytes): string {
    return KEY_PREFIX + randomBytes(KEY_BYTES).toString("base64url");
}

/** Hashes a key. An unsalted hash is enough because keys are long and random. */
export function hashKey(key: string): string {
    return crypto.createHash("sha256").update(key, "utf8").digest("hex");
}
