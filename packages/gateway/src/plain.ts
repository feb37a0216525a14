import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import * as exchanges from "./exchange.js";
import * as headers from "./headers.js";
import * as sends from "./send.js";
import * as calls from "./upstream/call.js";

/** Share of the latency target after which an idempotent request is tried elsewhere, while the target can be met. */
const ATTEMPT_TIMEOUT_SHARE = 0.6;
/** Sends for one request that brought no run; beyond it the service is taken for unavailable. */
const MAX_SENDS = 4;
/** Sends in flight that another availability zone must save before it is taken. */
const CROSS_ZONE_PENALTY = 1;
/** Retry-After when no upstream could be reached: crashed upstreams are back within seconds. */
const UNAVAILABLE_RETRY_AFTER_MS = 800;
/** Least time left for another send to be of use. */
const MIN_REMAINING_MS = 30;

/** Serves a request of a plain service: one upstream after another as far as route and budget allow. */
export async function servePlainRequest(exchange: exchanges.Exchange): Promise<void> {
    const { context, route, service } = exchange;
    const tried = new Set<string>();
    let runs = 0;
    for (let count = 0; count < MAX_SENDS && !exchange.isOver; count++) {
        const candidate = chooseUpstream(exchange, tried);
        if (!candidate) {
            break;
        }
        if (count > 0 && !context.retryBudget.tryAcquire(service, context.storeView.hosts().length, context.clock())) {
            context.log.decision("retry refused", { requestId: exchange.metadata.requestId, service });
            break;
        }
        tried.add(routing.incarnationOf(candidate.upstream));
        const isLastAttempt = route.kind !== routing.RouteKind.Idempotent || runs + 1 >= route.attempts;
        const result = await sendOnce(
            exchange,
            candidate,
            runs,
            isLastAttempt ? exchange.remainingMs : attemptTimeoutMs(exchange),
        );
        if (result === undefined || exchange.isOver) {
            return;
        }
        if (result !== dispatch.SendEffect.NotRun) {
            runs++;
        }
        const mayRetry = dispatch.mayRetry({
            route,
            effect: result,
            runs,
            responseStarted: false,
            hasTimeLeft: exchange.remainingMs > MIN_REMAINING_MS,
        });
        if (!mayRetry) {
            break;
        }
    }
    refuseUnserved(exchange);
}

function attemptTimeoutMs(exchange: exchanges.Exchange): decision.Milliseconds {
    const waitMs = exchange.route.latencyTargetMs * ATTEMPT_TIMEOUT_SHARE;
    return Math.min(waitMs, exchange.remainingMs / 2);
}

function chooseUpstream(exchange: exchanges.Exchange, tried: ReadonlySet<string>): dispatch.Candidate | undefined {
    const { context, service } = exchange;
    const options = {
        availabilityZone: context.settings.availabilityZone,
        crossZonePenalty: CROSS_ZONE_PENALTY,
        random: context.random,
    };
    return dispatch.rankCandidates(context.pool.candidates(service), options, context.clock())
        .find((candidate) => !tried.has(routing.incarnationOf(candidate.upstream)));
}

/** Sends once. Undefined if the request has its final answer. */
async function sendOnce(
    exchange: exchanges.Exchange,
    candidate: dispatch.Candidate,
    previousRuns: number,
    headersTimeoutMs: decision.Milliseconds,
): Promise<dispatch.SendEffect | undefined> {
    const mayHaveRun = exchange.mayHaveRun;
    exchange.mayHaveRun = true;
    candidate.health.inFlight++;
    try {
        const sent = await sends.sendRequest(exchange, candidate, { call: "run", headersTimeoutMs });
        if (sent.kind === sends.SendKind.NotRun) {
            exchange.mayHaveRun = mayHaveRun;
            return dispatch.SendEffect.NotRun;
        }
        if (sent.kind === sends.SendKind.Lost) {
            return dispatch.SendEffect.MayHaveRun;
        }
        return await relayResponse(exchange, sent, previousRuns + 1);
    }
    finally {
        candidate.health.inFlight--;
    }
}

/** Passes a whole answer on. Returns an effect if it can't be passed on or a repeat may do better. */
async function relayResponse(
    exchange: exchanges.Exchange,
    { response, metadata }: Extract<sends.SendOutcome, { kind: sends.SendKind.Response; }>,
    runs: number,
): Promise<dispatch.SendEffect | undefined> {
    const body = await calls.readBody(response, exchange.remainingMs);
    const status = response.statusCode ?? 502;
    const success = status >= 200 && status < 300;
    if (!body || response.headers["content-encoding"] !== undefined || (success && !metadata.signed)) {
        return dispatch.SendEffect.MayHaveRun;
    }
    if (exchange.isOver) {
        return undefined;
    }
    if (status >= 500 && mayRetryFailure(exchange, runs)) {
        return dispatch.SendEffect.RanAndFailed;
    }
    const framed = calls.isFramed(response);
    exchange.beginResponse(
        status,
        headers.responseHeaders(response.rawHeaders, framed ? body.length : undefined),
        framed,
    );
    exchange.endResponse(success ? exchanges.FinalReason.Served : exchanges.FinalReason.UpstreamFailure, body);
    return undefined;
}

/** Whether a failed answer is better followed by a repeat than passed on. */
function mayRetryFailure(exchange: exchanges.Exchange, runs: number): boolean {
    const { context, route, service } = exchange;
    return dispatch.mayRetry({
        route,
        effect: dispatch.SendEffect.RanAndFailed,
        runs,
        responseStarted: false,
        hasTimeLeft: exchange.remainingMs > MIN_REMAINING_MS,
    }) && context.retryBudget.remaining(service, context.storeView.hosts().length, context.clock()) > 0;
}

function refuseUnserved(exchange: exchanges.Exchange): void {
    if (exchange.mayHaveRun) {
        exchange.refuse({ status: 502, reason: exchanges.FinalReason.ResponseLost });
        return;
    }
    const tried = exchange.callRecords.length > 0;
    exchange.refuse({
        status: 503,
        reason: tried ? exchanges.FinalReason.NotRun : exchanges.FinalReason.NoUpstream,
        retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS * (0.5 + exchange.context.random()),
    });
}
