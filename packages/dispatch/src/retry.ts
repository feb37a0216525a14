import * as routing from "@citronlead/routing";

/** What is known about the effect of a send that produced no response to relay. */
export enum SendEffect {
    /** The upstream did not run the request and will not run it. */
    NotRun = "notRun",
    /** The upstream may have run the request, or may still run it. */
    MayHaveRun = "mayHaveRun",
    /** The upstream ran the request and reported a failure. */
    RanAndFailed = "ranAndFailed",
}

/** Inputs of a retry decision. */
export interface RetryContext {
    readonly route: routing.Route;
    readonly effect: SendEffect;
    /** Number of upstreams that ran or may have run the request so far. */
    readonly runs: number;
    /** Whether a part of the response has been sent to the caller. */
    readonly responseStarted: boolean;
    /** Whether enough time is left for another send. */
    readonly hasTimeLeft: boolean;
}

/** Whether the request may be sent to another upstream. The retry budget is checked separately. */
export function mayRetry(
    { route, effect, runs, responseStarted, hasTimeLeft }: RetryContext,
): boolean {
    if (!hasTimeLeft) {
        return false;
    }
    if (effect === SendEffect.NotRun) {
        return true;
    }
    const isRepeatable = mayRepeat(route) && (route.kind !== routing.RouteKind.Idempotent || !responseStarted);
    return isRepeatable && runs < route.maxAttempts;
}

/** Whether a request on the route may run more than once. */
export function mayRepeat({ kind, resumable }: Pick<routing.Route, "kind" | "resumable">): boolean {
    return kind === routing.RouteKind.Idempotent || (kind === routing.RouteKind.Streaming && resumable);
}
