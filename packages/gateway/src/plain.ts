import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as away from "./away.js";
import * as bodyrelays from "./bodyrelay.js";
import * as connections from "./connections.js";
import * as exchanges from "./exchange.js";
import * as headers from "./headers.js";
import * as regions from "./regions.js";
import * as sends from "./send.js";
import * as answers from "./upstream/answer.js";
import * as calls from "./upstream/call.js";
import * as ranking from "./upstream/ranking.js";

/**
 * Share of the latency target after which an idempotent request is sent elsewhere, while the target can still be met.
 */
const ATTEMPT_TIMEOUT_SHARE = 0.6;
/** Maximum number of sends of one request; beyond it the service is considered unavailable. */
const MAX_SENDS = 4;
/** Cost of an upstream in another availability zone, in sends in flight. */
const CROSS_ZONE_PENALTY = 1;
/** Mean Retry-After when no upstream could be reached: crashed upstreams restart within seconds. */
const UNAVAILABLE_RETRY_AFTER_MS = 800;
/** Time by which requests are spread that wait for the same upstream. */
const RETURN_SPREAD_MS = 100;
/** Minimum time left for another send to be worthwhile. */
const MIN_REMAINING_MS = 30;

/** Serves a request to a plain service, trying upstreams in turn as far as the route and the retry budget allow. */
export async function servePlainRequest(exchange: exchanges.Exchange): Promise<void> {
    const { context, route, service } = exchange;
    const tried = new Set<string>();
    let runs = 0;
    let limitedForMs: decision.Milliseconds | undefined;
    for (let count = 0; count < MAX_SENDS && !exchange.isOver; count++) {
        if (exchange.refuseIfBarred() || exchange.refuseIfStopping()) {
            return;
        }
        const untried = rankUntried(exchange, tried);
        const choice = await context.limits.firstPermitted(untried);
        if (exchange.isOver) {
            return;
        }
        if (!choice.candidate && await waitForReturn(exchange)) {
            if (!exchange.runs.mayHaveRun) {
                tried.clear();
            }
            continue;
        }
        if (!choice.candidate) {
            limitedForMs = Number.isFinite(choice.waitMs) ? choice.waitMs : undefined;
            break;
        }
        const { candidate } = choice;
        if (!exchange.tryAcquireRetries()) {
            context.log.decision("retry budget exhausted", { requestId: exchange.metadata.requestId, service });
            break;
        }
        tried.add(routing.incarnationOf(candidate.upstream));
        const isLastAttempt = route.kind !== routing.RouteKind.Idempotent
            || runs + 1 >= route.maxAttempts
            || exchange.remainingRetries < 1
            || untried.length === 1;
        const effect = await sendOnce(
            exchange,
            candidate,
            runs,
            isLastAttempt ? exchange.remainingMs : attemptTimeoutMs(exchange, candidate.upstream),
        );
        if (effect === undefined || exchange.isOver) {
            return;
        }
        if (effect !== dispatch.SendEffect.NotRun) {
            runs++;
        }
        const mayRetry = dispatch.mayRetry({
            route,
            effect,
            runs,
            responseStarted: false,
            hasTimeLeft: exchange.remainingMs > MIN_REMAINING_MS,
        });
        if (!mayRetry) {
            break;
        }
    }
    if (!await exchange.serveElsewhereIfUnreached()) {
        refuseUnserved(exchange, limitedForMs);
    }
}

/** Waits for the first upstream that takes requests again, if all are excluded and the request can wait. */
async function waitForReturn(exchange: exchanges.Exchange): Promise<boolean> {
    const { context, service, latencyTargetAt, remainingMs } = exchange;
    const { clock, pool, random, scope } = context;
    const now = clock();
    const returnsInMs = pool.returnsInMs(service, now, (upstream) => regions.mayUse(exchange, upstream));
    if (returnsInMs === undefined || returnsInMs === 0) {
        return false;
    }
    const waitMs = returnsInMs + RETURN_SPREAD_MS * random();
    if (dispatch.decideWhileAway(waitMs, latencyTargetAt - now, remainingMs) === dispatch.AwayDecision.Refuse) {
        return false;
    }
    await lifecycle.pause(scope, waitMs);
    return true;
}

function attemptTimeoutMs(exchange: exchanges.Exchange, upstream: routing.Upstream): decision.Milliseconds {
    const usualMs = exchange.route.latencyTargetMs * ATTEMPT_TIMEOUT_SHARE;
    const waitMs = dispatch.warmUpPatienceMs(usualMs, exchange.context.limits.warmUps.leftMs(upstream));
    return Math.min(waitMs, exchange.remainingMs / 2);
}

/** The upstreams that were not tried yet, best first. */
function rankUntried(exchange: exchanges.Exchange, tried: ReadonlySet<string>): dispatch.Candidate[] {
    const { availabilityZone } = exchange.context.settings;
    return ranking.rankUpstreams(
        exchange,
        { availabilityZone, crossZonePenalty: CROSS_ZONE_PENALTY },
        (upstream) => !tried.has(routing.incarnationOf(upstream)),
    );
}

/** Makes one attempt. Undefined if the request has its final response. */
async function sendOnce(
    exchange: exchanges.Exchange,
    candidate: dispatch.Candidate,
    previousRuns: number,
    headersTimeoutMs: decision.Milliseconds,
): Promise<dispatch.SendEffect | undefined> {
    candidate.health.inFlight++;
    try {
        const sent = await sends.sendRequest(exchange, candidate, { call: "run", headersTimeoutMs });
        if (sent.kind === sends.SendKind.NotRun) {
            return dispatch.SendEffect.NotRun;
        }
        if (sent.kind === sends.SendKind.Lost) {
            return dispatch.SendEffect.MayHaveRun;
        }
        return await relayResponse(exchange, candidate.upstream, sent, previousRuns + 1);
    }
    finally {
        candidate.health.inFlight--;
    }
}

/**
 * Relays a response: as a whole if it is short, else as it arrives. Returns an effect if it cannot be relayed or a retry is
 * preferable.
 */
async function relayResponse(
    exchange: exchanges.Exchange,
    upstream: routing.Upstream,
    { answer, response, metadata }: Extract<sends.SendOutcome, { kind: sends.SendKind.Response; }>,
    runs: number,
): Promise<dispatch.SendEffect | undefined> {
    const read = await calls.readStart(answer, exchange.remainingMs, connections.memoryOf(exchange.request));
    const status = response.statusCode ?? 502;
    const success = status >= 200 && status < 300;
    if (read.kind === calls.BodyKind.Broken && (!exchange.isOver || bodyrelays.isPastRouteTimeout(exchange))) {
        recordFailedBody(exchange, upstream, "broken off or late");
    }
    const isUsable = (read.kind === calls.BodyKind.Whole || read.kind === calls.BodyKind.Long)
        && response.headers["content-encoding"] === undefined && (!success || metadata.signed);
    if (!isUsable) {
        response.destroy();
        return dispatch.SendEffect.MayHaveRun;
    }
    const { body } = read;
    const framed = answer.framing !== answers.Framing.Close;
    // Without a length and a body, the head itself may have been cut before the length.
    if (!framed && success && body.length === 0) {
        return dispatch.SendEffect.MayHaveRun;
    }
    if (exchange.isOver) {
        response.destroy();
        return undefined;
    }
    if (status >= 500 && mayRetryFailure(exchange, runs)) {
        response.destroy();
        return dispatch.SendEffect.RanAndFailed;
    }
    if (read.kind === calls.BodyKind.Long) {
        const end = await bodyrelays.relayBody(exchange, { answer, start: body });
        if (end === bodyrelays.BodyEnd.Complete) {
            exchange.context.quarantine.recordServed(exchange);
        }
        else if (bodyrelays.SOURCE_FAILURES.has(end)) {
            recordFailedBody(exchange, upstream, end);
        }
        return undefined;
    }
    exchange.context.quarantine.recordServed(exchange);
    exchange.beginResponse(status, headers.responseHeaders(response.rawHeaders, body.length));
    exchange.endResponse(success ? exchanges.FinalReason.Served : exchanges.FinalReason.UpstreamFailure, body);
    return undefined;
}

/** Counts an answer that did not come to its end as a failure of its upstream, so that others are preferred. */
function recordFailedBody(exchange: exchanges.Exchange, upstream: routing.Upstream, result: string): void {
    const { clock, pool } = exchange.context;
    pool.healthOf(upstream).record(dispatch.SendResult.Failed, clock());
    exchange.recordCall("body", upstream, result, clock());
}

/** Whether an error response is followed by a retry instead of being relayed. */
function mayRetryFailure(exchange: exchanges.Exchange, runs: number): boolean {
    const { route } = exchange;
    return dispatch.mayRetry({
        route,
        effect: dispatch.SendEffect.RanAndFailed,
        runs,
        responseStarted: false,
        hasTimeLeft: exchange.remainingMs > MIN_REMAINING_MS,
    }) && exchange.remainingRetries > 0;
}

/** Refuses a request; `limitedForMs` is the time until an upstream takes one again, if upstreams have named limits. */
function refuseUnserved(exchange: exchanges.Exchange, limitedForMs: decision.Milliseconds | undefined): void {
    if (exchange.runs.mayHaveRun) {
        exchange.refuseAsLost();
        return;
    }
    const { clock, pool } = exchange.context;
    const jitter = 0.5 + exchange.context.random();
    if (pool.returnsInMs(exchange.service, clock(), (upstream) => regions.mayUse(exchange, upstream)) !== undefined) {
        away.refuseWhileAway(exchange, UNAVAILABLE_RETRY_AFTER_MS * jitter);
        return;
    }
    if (limitedForMs !== undefined) {
        exchange.refuse({
            status: 503,
            reason: exchanges.FinalReason.NoCapacity,
            retryAfterMs: limitedForMs + UNAVAILABLE_RETRY_AFTER_MS * jitter,
        });
        return;
    }
    const tried = exchange.callRecords.length > 0;
    exchange.refuse({
        status: 503,
        reason: tried ? exchanges.FinalReason.NotRun : exchanges.FinalReason.NoUpstream,
        retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS * jitter,
    });
}
