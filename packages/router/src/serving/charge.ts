import type * as callerRequests from "../callers/request.js";
import type * as components from "../components.js";
import * as refusals from "../refusal.js";
import * as modelServing from "./model.js";

/** A granted charge, or the refusal of the request. */
export type ChargeOutcome =
    | {
        readonly granted: true;
        /** Refunds the charged tokens that were not used. */
        readonly settle: (usedTokens: number) => void;
    }
    | { readonly granted: false; readonly refusal: refusals.Refusal; };

/** Charges tokens to the workspace of a request. Requests without a workspace, on open routes, are free. */
export async function chargeRequest(
    router: components.RouterComponents,
    request: callerRequests.CallerRequest,
    tokens: number,
): Promise<ChargeOutcome> {
    const workspace = request.credential?.workspace;
    if (workspace === undefined) {
        return { granted: true, settle: () => undefined };
    }
    const { requestId, deadline, signal } = request;
    const charge = await router.admission.charge({ requestId, workspace, tokens, deadline, signal });
    request.addTraceStep("admission", charge.granted ? "charged" : "refused", { tokens });
    if (charge.granted) {
        return charge;
    }
    const refusal = signal.aborted
        ? { ...modelServing.abortRefusal(request), ran: refusals.Ran.No }
        : refusals.notRun(
            refusals.Reason.RateExceeded,
            "the workspace has used up its rate and burst",
            charge.retryAfterMs,
        );
    return { granted: false, refusal };
}

/** Records the time from a request's arrival to its first start at an upstream. Later calls do nothing. */
export function recordQueueing(
    router: components.RouterComponents,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
): void {
    if (timings.queueingMs === undefined) {
        const { clock, metrics } = router.context;
        timings.queueingMs = clock() - request.arrivedAt;
        metrics.queueing.observe(
            { workspace: metrics.workspaceLabel(request.credential?.workspace) },
            timings.queueingMs / 1_000,
        );
    }
}
