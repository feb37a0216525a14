import type * as decision from "@citronlead/decision";

/** Why a request was not answered as asked. */
export enum Reason {
    BadRequest = "bad-request",
    BodyTooLarge = "body-too-large",
    HeadersTooLarge = "headers-too-large",
    /** The caller did not send its whole request in time. */
    RequestTimeout = "request-timeout",
    Unauthenticated = "unauthenticated",
    KeyMisplaced = "key-misplaced",
    UnknownRoute = "unknown-route",
    UnknownModel = "unknown-model",
    MethodNotAllowed = "method-not-allowed",
    PromptTooLong = "prompt-too-long",
    /** No configuration, or one too old to tell whether a key was withdrawn. */
    ConfigurationStale = "configuration-stale",
    RateExceeded = "rate-exceeded",
    Overloaded = "overloaded",
    DeadlinePassed = "deadline-passed",
    /** The request crashed upstreams and is not run again for a while. */
    Quarantined = "quarantined",
    UpstreamFailed = "upstream-failed",
    /** The key-value service is out of reach and the call may not run without it. */
    RecordUnavailable = "record-unavailable",
    /** Another call with this idempotency key has a different content. */
    IdempotencyConflict = "idempotency-conflict",
    /** A call with this idempotency key may have run; nobody knows whether it did. */
    OutcomeUnknown = "outcome-unknown",
    Stopping = "stopping",
    CallerGone = "caller-gone",
}

/** Whether the request ran at an upstream. */
export enum Ran {
    No = "no",
    Unknown = "unknown",
}

/** A final answer other than the one asked for. */
export interface Refusal {
    readonly reason: Reason;
    readonly ran: Ran;
    /** When to come back, in milliseconds; undefined when coming back does not help. */
    readonly retryAfterMs?: decision.Milliseconds;
    /** For people; it holds no key and no prompt. */
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

/** Makes a refusal of a request that did not run. */
export function notRun(reason: Reason, message: string, retryAfterMs?: decision.Milliseconds): Refusal {
    return { reason, ran: Ran.No, message, retryAfterMs };
}

/** Makes a refusal of a request that may have run. */
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
