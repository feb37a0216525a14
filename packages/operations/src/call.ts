import type * as decision from "@citronlead/decision";
import type * as records from "./record.js";

/** The settings of one call with an idempotency key. Times are on the monotonic clock of the host. */
export interface CallSettings {
    /** Identifies this attempt; unique across all hosts, never reused. */
    readonly attempt: string;
    /** Hash of the call's content, to detect that an idempotency key is reused for another call. */
    readonly contentHash: string;
    /** The caller must be given its final answer by this time. */
    readonly deadline: decision.Milliseconds;
    /** The earliest time at which the lease of the record may expire. */
    readonly leaseEndsAt: decision.Milliseconds;
}

/** The outcome of sending a call to an upstream. */
export enum RunKind {
    Answered = "answered",
    /** The call did not run. */
    NotRun = "not-run",
    /** The call may have run. */
    Unknown = "unknown",
}

/** The kinds of event. */
export enum CallEventKind {
    /** The call arrived at this host. */
    Begin = "begin",
    /** The key-value service answered a conditional write. */
    WriteAnswered = "swapped",
    /** A conditional write was not answered. */
    WriteUnanswered = "swap-lost",
    /** The key-value service answered a read of the record. */
    ReadAnswered = "read",
    /** A read of the record was not answered. */
    ReadError = "read-lost",
    /** Sending the call to an upstream ended. */
    RunEnded = "run-ended",
    /** The time of a StartTimer action has passed. */
    TimerFired = "woken",
    /** The caller disconnected, its deadline passed or its key was withdrawn. */
    Aborted = "caller-left",
}

/** An event of a call. */
export type CallEvent =
    | {
        readonly kind: CallEventKind.Begin | CallEventKind.ReadError | CallEventKind.TimerFired | CallEventKind.Aborted;
    }
    | {
        readonly kind: CallEventKind.WriteAnswered;
        readonly succeeded: boolean;
        /** The revision of the written record; only meaningful if the write succeeded. */
        readonly revision: number;
        /** The stored record if the write did not succeed; undefined if there is none. */
        readonly current?: records.VersionedRecord;
    }
    | {
        readonly kind: CallEventKind.WriteUnanswered;
        /** Whether the write may have reached the key-value service and taken effect. */
        readonly reached: boolean;
    }
    | { readonly kind: CallEventKind.ReadAnswered; readonly current?: records.VersionedRecord; }
    | { readonly kind: CallEventKind.RunEnded; readonly result: RunKind; readonly answer?: records.StoredAnswer; };

/** Why a call is refused. */
export enum RefusalCause {
    /** The record could not be claimed, or too late for the deadline or the lease; this call was not sent. */
    RecordUnavailable = "record-unavailable",
    /** The idempotency key was used for a call with different content. */
    Conflict = "conflict",
    /** A call with this key may have run. */
    OutcomeUnknown = "outcome-unknown",
    /** A call with this key ran; its answer was too large to store. */
    AnswerNotKept = "answer-not-kept",
    /** The caller disconnected, its deadline passed or its key was withdrawn. */
    Aborted = "caller-left",
    /** The call was passed on and failed; the caller is given the refusal of that run. */
    RunFailed = "run-failed",
}

/** The kinds of action. */
export enum CallActionKind {
    /** Write the record if the key has the expected revision; 0 means that the key must not exist. */
    ConditionalWrite = "swap",
    ReadRecord = "read",
    /** Send the call to an upstream. Issued at most once for each call. */
    Run = "run",
    /** Deliver a TimerFired event after a delay. */
    StartTimer = "wake",
    /** Give the caller the answer. */
    Answer = "answer",
    /** Give the caller a refusal. */
    Refuse = "refuse",
    /** The call is finished and its state can be dropped. */
    End = "end",
}

/** An action that the shell carries out for a call. */
export type CallAction =
    | {
        readonly kind: CallActionKind.ConditionalWrite;
        readonly expectedRevision: number;
        readonly record: records.OperationRecord;
    }
    | { readonly kind: CallActionKind.ReadRecord | CallActionKind.Run | CallActionKind.End; }
    | { readonly kind: CallActionKind.StartTimer; readonly afterMs: decision.Milliseconds; }
    | {
        readonly kind: CallActionKind.Answer;
        readonly answer: records.StoredAnswer;
        /** Whether the answer comes from the record of an earlier attempt. */
        readonly replayed: boolean;
    }
    | {
        readonly kind: CallActionKind.Refuse;
        readonly cause: RefusalCause;
        /** Whether the operation may have run, for this call or for another attempt. */
        readonly mayHaveRun: boolean;
        readonly retryAfterMs?: decision.Milliseconds;
    };
