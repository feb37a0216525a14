import type * as decision from "@citronlead/decision";

/** A whole answer as it is kept for later calls with the same idempotency key. */
export interface StoredAnswer {
    readonly status: number;
    readonly contentType: string;
    /** The body in base64. */
    readonly body: string;
}

/** What the record of an operation says. */
export enum RecordState {
    /** An attempt may be sending the call, or has sent it; its outcome is not recorded yet. */
    Claimed = "claimed",
    /** The call ran and its answer is kept, unless the answer was too large. */
    Done = "done",
    /** The attempt certainly sent nothing: another may take the record over by compare-and-swap. */
    NotRun = "not-run",
    /** The call may have run; nobody knows. */
    Unknown = "unknown",
}

/** The record of one operation in the key-value service. */
export interface OperationRecord {
    readonly state: RecordState;
    /** Names the attempt that wrote the record; unique over all hosts and times. */
    readonly attempt: string;
    readonly contentHash: string;
    /** Only in the state Done, and only if the answer is not longer than the limit. */
    readonly answer?: StoredAnswer;
}

/** A record and the revision at which it was last written. */
export interface VersionedRecord {
    readonly record: OperationRecord;
    readonly modRevision: number;
}

/** The longest answer body that is kept, in characters of base64. */
export const ANSWER_LIMIT_CHARACTERS = 64 * 1024;

/** How long a record outlives the call that made it, at the least. */
export const RETENTION_MS: decision.Milliseconds = 2 * 60 * 60 * 1_000;

/** For how long a host makes new records under one lease. A record ends this much later at the most. */
export const LEASE_USE_MS: decision.Milliseconds = 60 * 60 * 1_000;

/** The time to live of the lease that a host's records share; it is never renewed. */
export const LEASE_MS: decision.Milliseconds = RETENTION_MS + LEASE_USE_MS;

/** Writes a record as it is kept. */
export function writeRecord(record: OperationRecord): string {
    return JSON.stringify(record);
}

/** Reads a kept record. One that cannot be read counts as Unknown, so that its call is never run again. */
export function readRecord(text: string): OperationRecord {
    try {
        const read = JSON.parse(text) as Partial<OperationRecord>;
        if (typeof read.attempt === "string" && typeof read.contentHash === "string" && isState(read.state)) {
            return { ...read, state: read.state, attempt: read.attempt, contentHash: read.contentHash };
        }
    }
    catch {
        // Falls through to the record that permits nothing.
    }
    return { state: RecordState.Unknown, attempt: "", contentHash: "" };
}

function isState(value: unknown): value is RecordState {
    return Object.values(RecordState).some((state) => state === value);
}
