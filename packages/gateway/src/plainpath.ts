import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import * as exchanges from "./exchange.js";
import * as headers from "./headers.js";
import * as sends from "./send.js";
import * as calls from "./upstreamcall.js";

/** Share of the latency target after which an idempotent request is tried elsewhere, while the target can be met. */
const HEDGE_SHARE = 0.6;
/** Sends for one request that brought no run; beyond it the service is taken for unavailable. */
const SENDS_LIMIT = 4;
/** Sends in flight that another availability zone must save before it is taken. */
const ZONE_PENALTY = 1;
/** Retry-After when no upstream could be reached: crashed upstreams are back within seconds. */
const UNAVAILABLE_RETURN_MS = 800;
/** Least time left for another send to be of use. */
const LEAST_LEFT_MS = 30;

/** Serves a request of a plain service: one upstream after another as far as route and budget allow. */
export async function servePlain(exchange: exchanges.Exchange): Promise<void> {
    const { context, route, service } = exchange;
    const tried = new Set<string>();
    let runs = 0;
    for (let count = 0; count < SENDS_LIMIT && !exchange.over; count++) {
        const candidate = choose(exchange, tried);
        if (!candidate) {
            break;
        }
        if (count > 0 && !context.retries.take(service, context.knowledge.hosts().length, context.clock())) {
            context.log.decision("retry refused", { requestId: exchange.facts.requestId, service });
            break;
        }
        tried.add(routing.incarnationOf(candidate.upstream));
        const last = route.kind !== routing.RouteKind.Idempotent || runs + 1 >= route.attempts;
        const result = await sendOnce(exchange, candidate, runs, last ? exchange.leftMs : hedgeMs(exchange));
        if (result === undefined || exchange.over) {
            return;
        }
        if (result !== dispatch.SendEffect.NotRun) {
            runs++;
        }
        const again = dispatch.maySendAgain({
            route,
            effect: result,
            runs,
            answering: false,
            timeLeft: exchange.leftMs > LEAST_LEFT_MS,
        });
        if (!again) {
            break;
        }
    }
    fail(exchange);
}

function hedgeMs(exchange: exchanges.Exchange): decision.Milliseconds {
    const waitMs = exchange.route.latencyTargetMs * HEDGE_SHARE;
    return Math.min(waitMs, exchange.leftMs / 2);
}

function choose(exchange: exchanges.Exchange, tried: ReadonlySet<string>): dispatch.Candidate | undefined {
    const { context, service } = exchange;
    const terms = {
        availabilityZone: context.settings.availabilityZone,
        zonePenalty: ZONE_PENALTY,
        random: context.random,
    };
    return dispatch.rank(context.pool.candidates(service), terms, context.clock())
        .find((candidate) => !tried.has(routing.incarnationOf(candidate.upstream)));
}

/** Sends once. Undefined if the request has its final answer. */
async function sendOnce(
    exchange: exchanges.Exchange,
    candidate: dispatch.Candidate,
    formerRuns: number,
    headTimeoutMs: decision.Milliseconds,
): Promise<dispatch.SendEffect | undefined> {
    const mayHaveRun = exchange.mayHaveRun;
    exchange.mayHaveRun = true;
    candidate.health.inFlight++;
    try {
        const sent = await sends.send(exchange, candidate, { call: "run", headTimeoutMs });
        if (sent.kind === sends.SendKind.NotRun) {
            exchange.mayHaveRun = mayHaveRun;
            return dispatch.SendEffect.NotRun;
        }
        if (sent.kind === sends.SendKind.Lost) {
            return dispatch.SendEffect.MayHaveRun;
        }
        return await relayWhole(exchange, sent, formerRuns + 1);
    }
    finally {
        candidate.health.inFlight--;
    }
}

/** Passes a whole answer on. Returns an effect if it can't be passed on or a repeat may do better. */
async function relayWhole(
    exchange: exchanges.Exchange,
    { response, facts }: Extract<sends.Sent, { kind: sends.SendKind.Answer; }>,
    runs: number,
): Promise<dispatch.SendEffect | undefined> {
    const body = await calls.readWhole(response, exchange.leftMs);
    const status = response.statusCode ?? 502;
    const success = status >= 200 && status < 300;
    if (!body || response.headers["content-encoding"] !== undefined || (success && !facts.signed)) {
        return dispatch.SendEffect.MayHaveRun;
    }
    if (exchange.over) {
        return undefined;
    }
    if (status >= 500 && mayRepeat(exchange, runs)) {
        return dispatch.SendEffect.RanAndFailed;
    }
    const framed = calls.isFramed(response);
    exchange.beginAnswer(status, headers.answerHeaders(response.rawHeaders, framed ? body.length : undefined), framed);
    exchange.endAnswer(success ? exchanges.FinalReason.Served : exchanges.FinalReason.UpstreamFailure, body);
    return undefined;
}

/** Whether a failed answer is better followed by a repeat than passed on. */
function mayRepeat(exchange: exchanges.Exchange, runs: number): boolean {
    const { context, route, service } = exchange;
    return dispatch.maySendAgain({
        route,
        effect: dispatch.SendEffect.RanAndFailed,
        runs,
        answering: false,
        timeLeft: exchange.leftMs > LEAST_LEFT_MS,
    }) && context.retries.left(service, context.knowledge.hosts().length, context.clock()) > 0;
}

function fail(exchange: exchanges.Exchange): void {
    if (exchange.mayHaveRun) {
        exchange.refuse({ status: 502, reason: exchanges.FinalReason.AnswerLost });
        return;
    }
    const tried = exchange.steps.length > 0;
    exchange.refuse({
        status: 503,
        reason: tried ? exchanges.FinalReason.NotRun : exchanges.FinalReason.NoUpstream,
        retryAfterMs: UNAVAILABLE_RETURN_MS * (0.5 + exchange.context.random()),
    });
}
