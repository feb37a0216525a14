import * as routing from "@citronlead/routing";

/** What is known of a send that brought no answer to pass on. */
export enum SendEffect {
    /** The upstream did not run the request and will not. */
    NotRun = "notRun",
    /** The upstream may have run it or may still run it. */
    MayHaveRun = "mayHaveRun",
    /** The upstream ran it and answered that it failed. */
    RanAndFailed = "ranAndFailed",
}

/** What a decision on a further send goes by. */
export interface SendHistory {
    readonly route: routing.Route;
    readonly effect: SendEffect;
    /** Upstreams that ran or may have run the request so far. */
    readonly runs: number;
    /** Whether the caller has been sent a part of the answer. */
    readonly answering: boolean;
    /** Whether time is left for another send. */
    readonly timeLeft: boolean;
}

/** Whether the request may be sent to another upstream, the retry budget aside. */
export function maySendAgain({ route, effect, runs, answering, timeLeft }: SendHistory): boolean {
    if (!timeLeft) {
        return false;
    }
    if (effect === SendEffect.NotRun) {
        return true;
    }
    const repeatable = route.kind === routing.RouteKind.Idempotent
        ? !answering
        : route.kind === routing.RouteKind.Streaming && route.resumable;
    return repeatable && runs < route.attempts;
}
