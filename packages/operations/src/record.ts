import type * as decision from "@citronlead/decision";

/** A complete answer, stored for later calls with the same idempotency key. */
export interface StoredAnswer {
    readonly status: number;
    readonly contentType: string;
    /** The body in base64. */
    readonly body: string;
}

/** The state of an operation according to its record. */
export enum RecordState {
    /** An attempt has claimed the operation and may have sent the call; its outcome is not recorded yet. */
    Claimed = "claimed",
    /** The call ran. Its answer is stored unless it was too large. */
    Done = "done",
    /** The call did not run: another attempt may take over the record by a conditional write. */
    NotRun = "not-run",
    /** The call may have run; its outcome will never be known. */
    Unknown = "unknown",
}

/** The record of one operation, stored in the key-value service. */
export interface OperationRecord {
    readonly state: RecordState;
    /** The attempt that wrote the record; unique across all hosts, never reused. */
    readonly attempt: string;
    readonly contentHash: string;
    /** Set only in the state Done, and only if the body is not longer than ANSWER_LIMIT_CHARACTERS. */
    readonly answer?: StoredAnswer;
}

/** A record with the revision of its last write. */
export interface VersionedRecord {
    readonly record: OperationRecord;
    readonly modRevision: number;
}

/** The longest answer body that is stored, in characters of base64. */
export const ANSWER_LIMIT_CHARACTERS = 64 * 1024;

/** The minimum time for which a record is kept after its call was sent. */
export const RETENTION_MS: decision.Milliseconds = 2 * 60 * 60 * 1_000;

/** How long a host attaches new records to the same lease. A record is kept for RETENTION_MS plus this time at most. */
export const LEASE_USE_MS: decision.Milliseconds = 60 * 60 * 1_000;

/** The time to live of the lease that the records of a host share; the lease is never renewed. */
export const LEASE_MS: decision.Milliseconds = RETENTION_MS + LEASE_USE_MS;

/** Serializes a record for the key-value service. */
export function serializeRecord(record: OperationRecord): string {
    return JSON.stringify(record);
}

/** Parses a stored record. A malformed record counts as Unknown, so that its call is never run again. */
export function parseRecord(text: string): OperationRecord {
    try {
        const read = JSON.parse(text) as Partial<OperationRecord>;
        if (typeof read.attempt === "string" && typeof read.contentHash === "string" && isState(read.state)) {
            return { ...read, state: read.state, attempt: read.attempt, contentHash: read.contentHash };
        }
    }
    catch {
        // Malformed JSON is treated like a record of the wrong shape.
    }
    return { state: RecordState.Unknown, attempt: "", contentHash: "" };
}

function isState(value: unknown): value is RecordState {
    return Object.values(RecordState).some((state) => state === value);
}
