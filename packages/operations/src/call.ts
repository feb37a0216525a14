import type * as decision from "@citronlead/decision";
import type * as records from "./record.js";

/** What one call with an idempotency key starts from. Times are on the host's own clock. */
export interface CallSettings {
    /** Unique over all hosts and times. */
    readonly attempt: string;
    readonly contentHash: string;
    /** When the caller must have its final answer. */
    readonly deadline: decision.Milliseconds;
    /** The earliest end of the lease that the record is made under. */
    readonly leaseEndsAt: decision.Milliseconds;
}

/** How the run of a call ended at the upstreams. */
export enum RunKind {
    Answered = "answered",
    /** The call certainly did not run. */
    NotRun = "not-run",
    /** The call may have run. */
    Unknown = "unknown",
}

/** The kinds of event. */
export enum CallEventKind {
    /** The call arrived. */
    Begin = "begin",
    /** The key-value service answered a write. */
    Swapped = "swapped",
    /** A write had no answer: it may have taken effect unless `reached` is false. */
    SwapLost = "swap-lost",
    /** The key-value service answered a read. */
    Read = "read",
    /** A read had no answer. */
    ReadLost = "read-lost",
    /** The run ended. */
    RunEnded = "run-ended",
    /** The time asked for with Wake has passed. */
    Woken = "woken",
    /** The caller went away, its deadline passed or its key was withdrawn. */
    CallerLeft = "caller-left",
}

/** What a call is told. */
export type CallEvent =
    | { readonly kind: CallEventKind.Begin | CallEventKind.ReadLost | CallEventKind.Woken | CallEventKind.CallerLeft; }
    | {
        readonly kind: CallEventKind.Swapped;
        readonly succeeded: boolean;
        /** The revision of the write, if it succeeded. */
        readonly revision: number;
        /** What the key holds, if it did not; undefined if there is no record. */
        readonly current?: records.VersionedRecord;
    }
    | { readonly kind: CallEventKind.SwapLost; readonly reached: boolean; }
    | { readonly kind: CallEventKind.Read; readonly current?: records.VersionedRecord; }
    | { readonly kind: CallEventKind.RunEnded; readonly result: RunKind; readonly answer?: records.StoredAnswer; };

/** Why a call is refused by its record. */
export enum RefusalCause {
    /** The key-value service is out of reach; this call was not sent. */
    RecordUnavailable = "record-unavailable",
    /** The record belongs to a call with another content. */
    Conflict = "conflict",
    /** A call with this key may have run. */
    OutcomeUnknown = "outcome-unknown",
    /** A call with this key ran; its answer was too large to keep. */
    AnswerNotKept = "answer-not-kept",
    /** The caller went away, its deadline passed or its key was withdrawn. */
    CallerLeft = "caller-left",
    /** The run's own refusal is passed on. */
    RunFailed = "run-failed",
}

/** The kinds of action. */
export enum CallActionKind {
    /** Write the record if the key's revision is the expected one; 0 means that there is none. */
    Swap = "swap",
    Read = "read",
    /** Send the call to an upstream. Asked for once at the most. */
    Run = "run",
    Wake = "wake",
    /** Give the caller the answer. */
    Answer = "answer",
    /** Give the caller a refusal. */
    Refuse = "refuse",
    /** Nothing is left to do for this call. */
    End = "end",
}

/** What the shell has to do for a call. */
export type CallAction =
    | {
        readonly kind: CallActionKind.Swap;
        readonly expectedRevision: number;
        readonly record: records.OperationRecord;
    }
    | { readonly kind: CallActionKind.Read | CallActionKind.Run | CallActionKind.End; }
    | { readonly kind: CallActionKind.Wake; readonly afterMs: decision.Milliseconds; }
    | { readonly kind: CallActionKind.Answer; readonly answer: records.StoredAnswer; readonly replayed: boolean; }
    | {
        readonly kind: CallActionKind.Refuse;
        readonly cause: RefusalCause;
        /** Whether this call may have been sent to an upstream, or the operation may have run for another. */
        readonly mayHaveRun: boolean;
        readonly retryAfterMs?: decision.Milliseconds;
    };
