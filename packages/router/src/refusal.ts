import type * as decision from "@citronlead/decision";

/** Why a request was refused. */
export enum Reason {
    BadRequest = "bad-request",
    BodyTooLarge = "body-too-large",
    HeadersTooLarge = "headers-too-large",
    /** The caller did not send its complete request in time. */
    RequestTimeout = "request-timeout",
    Unauthenticated = "unauthenticated",
    /** The key is in the path or the body, from where it would reach an upstream. */
    KeyMisplaced = "key-misplaced",
    UnknownRoute = "unknown-route",
    UnknownModel = "unknown-model",
    MethodNotAllowed = "method-not-allowed",
    PromptTooLong = "prompt-too-long",
    /** The host has no configuration, or one too old to rule out that a key was withdrawn. */
    ConfigurationStale = "configuration-stale",
    RateExceeded = "rate-exceeded",
    Overloaded = "overloaded",
    DeadlinePassed = "deadline-passed",
    /** The request crashed upstreams and is blocked for some time. */
    Quarantined = "quarantined",
    UpstreamFailed = "upstream-failed",
    /** The key-value service is unreachable and the call must not run without its record. */
    RecordUnavailable = "record-unavailable",
    /** The idempotency key was used for a call with different content. */
    IdempotencyConflict = "idempotency-conflict",
    /** It is unknown whether an earlier call with this idempotency key ran. */
    OutcomeUnknown = "outcome-unknown",
    Stopping = "stopping",
    CallerGone = "caller-gone",
}

/** Whether the request may have run at an upstream. */
export enum Ran {
    No = "no",
    Unknown = "unknown",
}

/** The final answer to a request that is not served. */
export interface Refusal {
    readonly reason: Reason;
    readonly ran: Ran;
    /** When to retry, in milliseconds; undefined when a retry does not help. */
    readonly retryAfterMs?: decision.Milliseconds;
    /** Human-readable; contains neither keys nor prompts. */
    readonly message: string;
}

const STATUS_BY_REASON: Readonly<Record<Reason, number>> = {
    [Reason.BadRequest]: 400,
    [Reason.BodyTooLarge]: 413,
    [Reason.HeadersTooLarge]: 431,
    [Reason.RequestTimeout]: 408,
    [Reason.Unauthenticated]: 401,
    [Reason.KeyMisplaced]: 400,
    [Reason.UnknownRoute]: 404,
    [Reason.UnknownModel]: 404,
    [Reason.MethodNotAllowed]: 405,
    [Reason.PromptTooLong]: 413,
    [Reason.ConfigurationStale]: 503,
    [Reason.RateExceeded]: 429,
    [Reason.Overloaded]: 503,
    [Reason.DeadlinePassed]: 504,
    [Reason.Quarantined]: 422,
    [Reason.UpstreamFailed]: 502,
    [Reason.RecordUnavailable]: 503,
    [Reason.IdempotencyConflict]: 422,
    [Reason.OutcomeUnknown]: 409,
    [Reason.Stopping]: 503,
    [Reason.CallerGone]: 499,
};

/** The HTTP status of a refusal. */
export function statusOf(refusal: Refusal): number {
    return STATUS_BY_REASON[refusal.reason];
}

/** Creates the refusal of a request that did not run. */
export function notRun(reason: Reason, message: string, retryAfterMs?: decision.Milliseconds): Refusal {
    return { reason, ran: Ran.No, message, retryAfterMs };
}

/** Creates the refusal of a request that may have run. */
export function mayHaveRun(reason: Reason, message: string, retryAfterMs?: decision.Milliseconds): Refusal {
    return { reason, ran: Ran.Unknown, message, retryAfterMs };
}

/** The JSON body of a refusal. */
export function refusalBody(refusal: Refusal, requestId: string): object {
    return {
        error: {
            type: refusal.reason,
            reason: refusal.reason,
            message: refusal.message,
            ran: refusal.ran,
            retryAfterMs: refusal.retryAfterMs,
            requestId,
        },
    };
}
