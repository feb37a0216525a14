import type * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import type * as http from "node:http";
import * as evidences from "./evidence.js";
import type * as exchanges from "./exchange.js";
import * as liveness from "./liveness.js";
import * as regions from "./regions.js";
import type * as answers from "./upstream/answer.js";
import * as calls from "./upstream/call.js";
import * as notices from "./upstream/notices.js";
import type * as wires from "./wire.js";

/** Options of a send. */
export interface SendOptions {
    /** Name of the call in logs and metrics. */
    readonly call: string;
    readonly headersTimeoutMs: decision.Milliseconds;
    readonly prefillOnly?: boolean;
    readonly prefillSource?: string;
    readonly reservation?: string;
    readonly resumeAfterEventId?: string;
    /** How long the send may wait for its turn at an upstream that warms up. */
    readonly turnWaitMs?: decision.Milliseconds;
}

/** How a send ended, up to the headers of the response. */
export enum SendKind {
    /** The response headers arrived and belong to the request. */
    Response = "answer",
    /** The upstream did not run the request and will not run it. */
    NotRun = "notRun",
    /** The request may have run, but its response is lost. */
    Lost = "lost",
}

/** The outcome of a send. */
export type SendOutcome =
    | {
        readonly kind: SendKind.Response;
        readonly response: http.IncomingMessage;
        readonly answer: answers.Answer;
        readonly metadata: wires.ResponseMetadata;
    }
    | {
        readonly kind: SendKind.NotRun;
        readonly reason: string;
        /** What the refusal says about the upstream. */
        readonly result: dispatch.SendResult;
    }
    | {
        readonly kind: SendKind.Lost;
        readonly reason: string;
        /** Broken if the upstream closed the connection without a response, as a crash does. */
        readonly failure: calls.CallFailure;
    };

/** Smallest remaining time that is forwarded to an upstream. */
const MIN_FORWARDED_TIMEOUT_MS = 1;
/** Time to read the short body of a refusal; after it the connection is closed. */
const REFUSAL_BODY_TIMEOUT_MS = 200;

/** Why a request is not sent to an upstream in a region that it may not use. */
const OTHER_REGION = "region not allowed";
const REQUEST_OVER = "the request is over";

/** Whether two ids are the same; an empty one is none. */
export function isSameId(one: string | undefined, other: string | undefined): boolean {
    return (one ?? "") === (other ?? "");
}

/** Sends the request of an exchange to an upstream and classifies the outcome. */
export async function sendRequest(
    exchange: exchanges.Exchange,
    { upstream, health }: dispatch.Candidate,
    options: SendOptions,
): Promise<SendOutcome> {
    const { context, request, metadata } = exchange;
    const startedAt = context.clock();
    const exclusion = regions.mayUse(exchange, upstream) ? context.pool.exclusionOf(upstream, startedAt) : OTHER_REGION;
    if (exclusion !== undefined) {
        exchange.recordCall(options.call, upstream, `not sent: ${exclusion}`, startedAt);
        return { kind: SendKind.NotRun, result: dispatch.SendResult.Excluded, reason: exclusion };
    }
    const permit = exchange.permits.tryBegin(options.prefillOnly ?? false);
    if (!permit) {
        exchange.recordCall(options.call, upstream, "not sent: retry budget", startedAt);
        return { kind: SendKind.NotRun, result: dispatch.SendResult.Excluded, reason: "retryBudget" };
    }
    const refusal = await refuseWarmUpTurn(exchange, upstream, options.turnWaitMs ?? 0);
    if (refusal !== undefined) {
        exchange.permits.settle(permit, dispatch.SendEnd.NotArrived);
        exchange.recordCall(options.call, upstream, `not sent: ${refusal}`, startedAt);
        return { kind: SendKind.NotRun, result: dispatch.SendResult.Excluded, reason: refusal };
    }
    const forwarding: wires.ForwardingMetadata = {
        expectedUpstream: upstream.id,
        timeLeftMs: Math.max(MIN_FORWARDED_TIMEOUT_MS, Math.floor(exchange.remainingMs)),
        workspace: exchange.workspace?.name,
        priority: exchange.route.generative ? exchange.priority : undefined,
        prefillOnly: options.prefillOnly ?? false,
        prefillSource: options.prefillSource,
        reservation: options.reservation,
        resumeAfterEventId: options.resumeAfterEventId,
    };
    const headers = context.wireFormat.upstreamHeaders(request.rawHeaders, forwarding);
    const run = options.prefillOnly ? undefined : exchange.runs.tryEnter();
    if (!options.prefillOnly && !run) {
        const reason = exchange.isOver ? REQUEST_OVER : "may have run";
        exchange.permits.settle(permit, dispatch.SendEnd.NotArrived);
        exchange.recordCall(options.call, upstream, `not sent: ${reason}`, startedAt);
        return { kind: SendKind.NotRun, result: dispatch.SendResult.Excluded, reason };
    }
    exchange.beginCall(options.call, upstream);
    const incarnation = routing.incarnationOf(upstream);
    const outcome = await calls.startCall(context.agent, {
        address: upstream.address,
        incarnation,
        id: metadata.requestId,
        // An answer without an id could be to any other call.
        ownConnection: !metadata.requestId,
        findMismatch: (headers) => {
            const { requestId } = context.wireFormat.parseResponse(headers);
            return isSameId(requestId, metadata.requestId)
                ? undefined
                : `response to request ${requestId ?? "without an id"}`;
        },
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers,
        body: exchange.body,
        headersTimeoutMs: Math.min(options.headersTimeoutMs, exchange.remainingMs),
        run,
        endWatch: liveness.watchEnd(context, upstream),
        signal: exchange.signal,
    });
    const proof = findProof(exchange, outcome);
    if (proof !== undefined) {
        run?.prove(proof);
    }
    context.reachability.record(upstream, outcome);
    context.observations.record(upstream, outcome, notices.isWrongUpstream(outcome), startedAt);
    evidences.reportForeignAnswer(context, upstream.id, options.call, metadata.requestId, outcome);
    const sent = await classifyOutcome(exchange, upstream, outcome, proof, options.call, startedAt);
    const acceptedPrefill = options.prefillOnly && sent.kind === SendKind.Response && sent.response.statusCode === 200;
    const arrived = outcome.progress !== calls.CallProgress.NotSent;
    exchange.permits.settle(
        permit,
        acceptedPrefill
            ? dispatch.SendEnd.PrefillAccepted
            : arrived
            ? dispatch.SendEnd.Arrived
            : dispatch.SendEnd.NotArrived,
    );
    const text = sent.kind === SendKind.Response ? String(sent.response.statusCode) : `${sent.kind}: ${sent.reason}`;
    const record = exchange.recordCall(options.call, upstream, text, startedAt, { proof, outcome });
    evidences.followAnswer(context.metrics, options.call, outcome, record);
    recordHealth(health, sent, exchange.isOver, context.clock());
    if (sent.kind === SendKind.Lost && sent.failure === calls.CallFailure.Broken) {
        const decoding = !(options.prefillOnly ?? false);
        context.quarantine.reportCrash(exchange, { upstream, startedAt, decoding, events: 0 });
    }
    return sent;
}

/** Waits for a send's turn at an upstream that warms up. Returns why nothing is sent, undefined if it is the request's turn. */
async function refuseWarmUpTurn(
    exchange: exchanges.Exchange,
    upstream: routing.Upstream,
    waitMs: decision.Milliseconds,
): Promise<string | undefined> {
    const { clock, limits, pool, scope } = exchange.context;
    if (!limits.warmUps.limitOf(upstream)) {
        return undefined;
    }
    const endsAt = clock() + Math.min(waitMs, exchange.remainingMs);
    for (;;) {
        const permit = await limits.permitSend(upstream);
        const exclusion = pool.exclusionOf(upstream, clock());
        if (exclusion !== undefined || exchange.isOver) {
            if (permit.granted) {
                permit.refund();
            }
            return exclusion ?? REQUEST_OVER;
        }
        if (permit.granted) {
            return undefined;
        }
        if (clock() + permit.waitMs > endsAt) {
            return "warms up";
        }
        await lifecycle.pause(scope, permit.waitMs);
    }
}

/** What shows that a call did not run the request and will not run it. */
function findProof(
    { context, metadata }: exchanges.Exchange,
    outcome: calls.CallOutcome,
): dispatch.NotRunProof | undefined {
    if (outcome.progress !== calls.CallProgress.Responded) {
        return outcome.progress === calls.CallProgress.NotSent ? dispatch.NotRunProof.NotConnected : undefined;
    }
    const { requestId, notRun } = context.wireFormat.parseResponse(outcome.response.headers);
    return dispatch.proofOfAnswer({
        status: outcome.response.statusCode ?? 0,
        isMarked: notRun,
        namesRequest: isSameId(requestId, metadata.requestId),
    });
}

async function classifyOutcome(
    exchange: exchanges.Exchange,
    upstream: routing.Upstream,
    outcome: calls.CallOutcome,
    proof: dispatch.NotRunProof | undefined,
    call: string,
    sentAt: decision.Milliseconds,
): Promise<SendOutcome> {
    if (outcome.progress !== calls.CallProgress.Responded) {
        return outcome.progress === calls.CallProgress.NotSent
            ? { kind: SendKind.NotRun, result: dispatch.SendResult.Unreachable, reason: outcome.reason }
            : { kind: SendKind.Lost, reason: outcome.reason, failure: outcome.failure };
    }
    const { answer, response } = outcome;
    const metadata = exchange.context.wireFormat.parseResponse(response.headers);
    exchange.context.notices.observe(upstream, response, metadata, { call, requestId: exchange.metadata.requestId });
    if (metadata.leaving) {
        exchange.leavingUpstream = routing.incarnationOf(upstream);
    }
    const wrongUpstream = response.statusCode === notices.WRONG_UPSTREAM_STATUS;
    // A refusal may leave out the limit.
    if (!wrongUpstream && (metadata.limitPerSecond !== undefined || !metadata.notRun)) {
        exchange.context.limits.observe(upstream, metadata.limitPerSecond, sentAt);
    }
    if (proof !== undefined) {
        await calls.readBody(answer, REFUSAL_BODY_TIMEOUT_MS, calls.MAX_CONTROL_BODY_BYTES);
        return {
            kind: SendKind.NotRun,
            result: wrongUpstream ? dispatch.SendResult.Excluded : dispatch.SendResult.Full,
            reason: `${wrongUpstream ? "another upstream" : "refused"} ${response.statusCode}`,
        };
    }
    if (metadata.notRun) {
        response.destroy();
        const reason = `status ${response.statusCode} marked as not run`;
        return { kind: SendKind.Lost, reason, failure: calls.CallFailure.Malformed };
    }
    return { kind: SendKind.Response, response, answer, metadata };
}

function recordHealth(
    health: dispatch.UpstreamHealth,
    sent: SendOutcome,
    isOver: boolean,
    now: decision.Milliseconds,
): void {
    if (sent.kind === SendKind.Response) {
        const failed = (sent.response.statusCode ?? 500) >= 500;
        health.record(failed ? dispatch.SendResult.Failed : dispatch.SendResult.Responded, now);
    }
    else if (sent.kind === SendKind.NotRun && sent.result !== dispatch.SendResult.Unreachable) {
        health.record(sent.result, now);
    }
    else if (!isOver) {
        const malformed = sent.kind === SendKind.Lost && sent.failure === calls.CallFailure.Malformed;
        health.record(malformed ? dispatch.SendResult.Failed : dispatch.SendResult.Unreachable, now);
    }
}
