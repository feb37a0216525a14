import type * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as upstream from "@citronlead/upstream";
import * as crypto from "node:crypto";
import type * as callerRequests from "./callerrequest.js";
import * as modelpath from "./modelpath.js";
import * as operations from "./operationsshell.js";
import type * as parts from "./parts.js";
import * as refusals from "./refusal.js";

const ANSWER_LIMIT_BYTES = 4 * 1024 * 1024;
const IDEMPOTENT_TRIES = 3;

/** Serves one call to a plain service. Calls that are not idempotent run at most once. */
export function serveService(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    service: configuration.Service,
): Promise<operations.OperationOutcome> {
    if (service.idempotent) {
        return serveIdempotent(served, request, service);
    }
    const idempotencyKey = request.headers["idempotency-key"];
    if (typeof idempotencyKey !== "string" || idempotencyKey === "") {
        return toOutcome(runOnUpstream(served, request, service, []));
    }
    const wish: operations.OperationWish = {
        workspace: request.credential?.workspace ?? "",
        service: service.name,
        idempotencyKey,
        contentHash: hashContent(request),
        request,
    };
    return served.operations.runOnce(wish, () => runOnUpstream(served, request, service, []));
}

async function serveIdempotent(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    service: configuration.Service,
): Promise<operations.OperationOutcome> {
    const avoid: string[] = [];
    let outcome = await toOutcome(runOnUpstream(served, request, service, avoid));
    for (let tries = 1; tries < IDEMPOTENT_TRIES && !outcome.answered && mayTryAgain(request, outcome); tries++) {
        outcome = await toOutcome(runOnUpstream(served, request, service, avoid));
    }
    return outcome;
}

function mayTryAgain(
    request: callerRequests.CallerRequest,
    outcome: Extract<operations.OperationOutcome, { answered: false; }>,
): boolean {
    return !request.signal.aborted && outcome.refusal.reason === refusals.Reason.UpstreamFailed;
}

async function toOutcome(running: Promise<operations.RunResult>): Promise<operations.OperationOutcome> {
    const result = await running;
    return result.kind === operations.RunKind.Answered
        ? { answered: true, answer: result.answer, replayed: false }
        : { answered: false, refusal: result.refusal };
}

/** Names the content of a call: method, path and body. */
function hashContent(request: callerRequests.CallerRequest): string {
    return crypto.createHash("sha256")
        .update(`${request.method} ${request.pathAndQuery}\n`)
        .update(request.body)
        .digest("hex");
}

/** Makes the call at one upstream that is not to be avoided. An upstream that fails is added to the list. */
async function runOnUpstream(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    service: configuration.Service,
    avoid: string[],
): Promise<operations.RunResult> {
    const usable = served.upstreams.usable(service.pool).filter((candidate) => !avoid.includes(candidate.name));
    const target = usable[Math.floor(served.context.clock()) % Math.max(1, usable.length)];
    if (!target) {
        const message = "no upstream takes this call now";
        const refusal = refusals.notRun(refusals.Reason.Overloaded, message, decision.SECOND_MS);
        return { kind: operations.RunKind.NotRun, refusal };
    }
    const outcome = await upstream.callService({
        address: target.address,
        method: request.method,
        path: upstream.cleanPath(request.pathAndQuery, request.credential?.key),
        headers: upstream.cleanHeaders(request.headers, request.credential?.key),
        body: request.body,
        timeoutMs: Math.max(1, request.deadline - served.context.clock()),
        agent: served.context.agent,
        signal: request.signal,
        answerLimit: ANSWER_LIMIT_BYTES,
    });
    served.context.metrics.upstreamCalls.inc({ call: "service", result: outcome.result });
    request.note(target.name, `call ${outcome.result}`);
    return judge(served, request, target.name, avoid, outcome);
}

function judge(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    name: string,
    avoid: string[],
    outcome: upstream.CallOutcome<upstream.ServiceAnswer>,
): operations.RunResult {
    const { RunKind } = operations;
    switch (outcome.result) {
        case upstream.CallResult.Done: {
            const contentType = outcome.value.headers["content-type"] ?? "application/octet-stream";
            const body = outcome.value.body.toString("base64");
            return { kind: RunKind.Answered, answer: { status: outcome.value.status, contentType, body } };
        }
        case upstream.CallResult.Refused: {
            if (outcome.refusal === upstream.UpstreamRefusal.Departing) {
                served.upstreams.noteDeparting(name);
            }
            avoid.push(name);
            const message = "the upstream takes no call now";
            const refusal = refusals.notRun(refusals.Reason.UpstreamFailed, message, outcome.retryAfterMs);
            return { kind: RunKind.NotRun, refusal };
        }
        case upstream.CallResult.Unreachable: {
            avoid.push(name);
            const message = "the upstream cannot be reached";
            const refusal = refusals.notRun(refusals.Reason.UpstreamFailed, message, decision.SECOND_MS);
            return { kind: RunKind.NotRun, refusal };
        }
        case upstream.CallResult.Broken: {
            avoid.push(name);
            const message = "the upstream broke off";
            const refusal = request.signal.aborted
                ? modelpath.abortRefusal(request)
                : refusals.mayHaveRun(refusals.Reason.UpstreamFailed, message);
            return { kind: RunKind.Unknown, refusal };
        }
    }
}
