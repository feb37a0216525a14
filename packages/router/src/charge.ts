import type * as callerRequests from "./callerrequest.js";
import * as modelpath from "./modelpath.js";
import type * as parts from "./parts.js";
import * as refusals from "./refusal.js";

/** A charge that was granted, or the refusal of the request. */
export type ChargeOutcome =
    | {
        readonly granted: true;
        /** Gives back what was charged beyond what was used, in tokens. */
        readonly settle: (usedTokens: number) => void;
    }
    | { readonly granted: false; readonly refusal: refusals.Refusal; };

/** Charges a request to its workspace. Requests without a workspace, on open routes, cost nothing. */
export async function chargeRequest(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    tokens: number,
): Promise<ChargeOutcome> {
    const workspace = request.credential?.workspace;
    if (workspace === undefined) {
        return { granted: true, settle: () => undefined };
    }
    const { requestId, deadline, signal } = request;
    const charge = await served.admission.charge({ requestId, workspace, tokens, deadline, signal });
    request.note("admission", charge.granted ? "charged" : "refused", { tokens });
    if (charge.granted) {
        return charge;
    }
    const refusal = signal.aborted
        ? { ...modelpath.abortRefusal(request), ran: refusals.Ran.No }
        : refusals.notRun(
            refusals.Reason.RateExceeded,
            "the workspace has used up its rate and burst",
            charge.retryAfterMs,
        );
    return { granted: false, refusal };
}

/** Measures the time from arrival to the first start at an upstream. */
export function noteStart(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    timings: callerRequests.Timings,
): void {
    if (timings.queueing === undefined) {
        const { clock, metrics } = served.context;
        timings.queueing = clock() - request.arrivedAt;
        metrics.queueing.observe({ workspace: metrics.label(request.credential?.workspace) }, timings.queueing / 1_000);
    }
}
