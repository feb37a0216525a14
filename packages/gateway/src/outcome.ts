import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import type * as contexts from "./context.js";
import * as exchanges from "./exchange.js";

/** Outcomes of requests that tell how long such requests take, or at least. */
const TIMED_OUTCOMES: ReadonlySet<exchanges.FinalReason> = new Set([
    exchanges.FinalReason.Served,
    exchanges.FinalReason.TimedOut,
]);

/** Logs how a request ended and counts it in the metrics. */
export function logOutcome(
    context: contexts.GatewayContext,
    exchange: exchanges.Exchange,
    reason: exchanges.FinalReason,
    status: number,
): void {
    const { clock, storeView, log, pool } = context;
    const now = clock();
    const active = storeView.activeConfiguration();
    const emptied = pool.emptiedZones(now);
    context.metrics.requests.inc({ service: exchange.service, outcome: reason });
    context.metrics.duration.observe({ service: exchange.service }, (now - exchange.startedAt) / decision.SECOND_MS);
    if (TIMED_OUTCOMES.has(reason)) {
        context.durationForecast.observe(exchange.route.name, now - exchange.startedAt);
    }
    const { evidence } = exchange;
    if (dispatch.isPromise(status)) {
        const basis = evidence.weakest;
        context.metrics.notRunAnswers.inc({ service: exchange.service, status: String(status), basis });
    }
    // Many requests may be refused without a send; those that were sent must not be dropped for them.
    const isSuspect = evidence.sends > 1 || (evidence.sends > 0 && reason !== exchanges.FinalReason.Served);
    log.decision("request ended", {
        requestId: exchange.metadata.requestId,
        route: exchange.route.name,
        service: exchange.service,
        workspace: exchange.workspace?.name,
        callerTimeoutMs: exchange.metadata.timeoutMs,
        promptTokens: exchange.metadata.promptTokens,
        outputTokens: exchange.metadata.maxOutputTokens,
        estimatedOutputTokens: exchange.metadata.estimatedOutputTokens,
        expectedOutputTokens: exchange.expectedOutput.median,
        reservedTokens: exchange.reservedTokens,
        refusedReservations: exchange.refusedReservations,
        passedEvents: exchange.relayedEvents,
        resumedAfterEvent: exchange.metadata.lastEventId,
        resumedRequestId: exchange.metadata.resumedRequestId,
        outcome: reason,
        status,
        promiseBasis: exchange.runs.basisOf(status),
        tookMs: Math.round(now - exchange.startedAt),
        steps: exchange.callRecords,
        configuration: active?.table.configuration.version,
        emptiedZones: emptied.length === 0 ? undefined : emptied.map(({ zone }) => zone),
        upstreamsAgeMs: Math.round(pool.listingAgeMs(now)),
    }, isSuspect);
}
