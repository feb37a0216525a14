import type * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as upstream from "@citronlead/upstream";
import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as callerRequests from "../callers/request.js";
import type * as components from "../components.js";
import * as operations from "../operations/shell.js";
import * as quarantines from "../quarantine/shell.js";
import * as refusals from "../refusal.js";
import type * as upstreams from "../upstreams.js";
import * as modelServing from "./model.js";

const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
/** Limits the attempts that may have run. Others are limited by the number of upstreams, each tried once. */
const MAX_RUNS = 3;
/** How long a call with an idempotency key may run past its deadline, so that a retry gets the stored answer. */
const KEYED_CALL_EXTENSION_MS = 30 * decision.SECOND_MS;

/**
 * Opens a new connection for each call that must not be repeated. If an upstream closes a reused connection while the
 * call is sent, it is unknown whether the call ran.
 */
const unpooledAgent = new http.Agent({ keepAlive: false });

/**
 * Serves one call to a plain service. Calls to services that are not idempotent run at most once, across all hosts
 * when they carry an idempotency key.
 */
export function serveService(
    router: components.RouterComponents,
    request: callerRequests.CallerRequest,
    service: configuration.Service,
): Promise<operations.OperationOutcome> {
    if (upstream.containsKey(pathOf(request), request.credential?.key)) {
        const refusal = refusals.notRun(refusals.Reason.KeyMisplaced, "the key stands in the path");
        return Promise.resolve({ answered: false, refusal });
    }
    const idempotencyKey = request.headers["idempotency-key"];
    if (service.idempotent || typeof idempotencyKey !== "string" || idempotencyKey === "") {
        return toOutcome(runOnUpstreams(router, request, service));
    }
    const operation: operations.OperationRequest = {
        workspace: request.credential?.workspace ?? "",
        service: service.name,
        idempotencyKey,
        contentHash: hashContent(request),
        request,
    };
    const keyedRequest = {
        ...request,
        signal: new AbortController().signal,
        deadline: request.deadline + KEYED_CALL_EXTENSION_MS,
    };
    return router.operations.runOnce(operation, () => runOnUpstreams(router, keyedRequest, service));
}

function pathOf(request: callerRequests.CallerRequest): string {
    return request.pathAndQuery.split("?")[0] ?? "";
}

/** Tries upstreams until one has run or may have run the call. Idempotent calls are also retried in the latter case. */
async function runOnUpstreams(
    router: components.RouterComponents,
    request: callerRequests.CallerRequest,
    service: configuration.Service,
): Promise<operations.RunResult> {
    const fingerprint = hashContent(request);
    const avoid: string[] = [];
    let runCount = 0;
    for (;;) {
        const result = keepUnknown(await runOnUpstream(router, request, service, fingerprint, avoid), runCount > 0);
        runCount += result.kind === operations.RunKind.NotRun ? 0 : 1;
        if (runCount === MAX_RUNS || request.signal.aborted || !mayRetry(service, result)) {
            return reportQuarantine(result, router.quarantine.verdict(fingerprint));
        }
    }
}

/**
 * Replaces an unknown result with the quarantine refusal if the call was quarantined for crashing upstreams, so that
 * the caller learns the reason and when to retry.
 */
function reportQuarantine(result: operations.RunResult, verdict: quarantines.Verdict): operations.RunResult {
    const quarantined = result.kind === operations.RunKind.Unknown ? quarantineRefusal(verdict) : undefined;
    return quarantined
        ? { kind: operations.RunKind.Unknown, refusal: { ...quarantined, ran: refusals.Ran.Unknown } }
        : result;
}

function quarantineRefusal(verdict: quarantines.Verdict): refusals.Refusal | undefined {
    return verdict.standing === quarantines.Standing.Quarantined
        ? refusals.notRun(refusals.Reason.Quarantined, "this call made upstreams crash", verdict.remainingMs)
        : undefined;
}

function mayRetry(service: configuration.Service, result: operations.RunResult): boolean {
    return result.kind !== operations.RunKind.Answered
        && result.refusal.reason === refusals.Reason.UpstreamFailed
        && (service.idempotent || result.kind === operations.RunKind.NotRun);
}

/** Turns a refusal as not run into one as unknown when an earlier attempt may have run. */
function keepUnknown(result: operations.RunResult, mayHaveRun: boolean): operations.RunResult {
    return result.kind === operations.RunKind.NotRun && mayHaveRun
        ? { kind: operations.RunKind.Unknown, refusal: { ...result.refusal, ran: refusals.Ran.Unknown } }
        : result;
}

async function toOutcome(run: Promise<operations.RunResult>): Promise<operations.OperationOutcome> {
    const result = await run;
    return result.kind === operations.RunKind.Answered
        ? { answered: true, answer: result.answer, replayed: false }
        : { answered: false, refusal: result.refusal };
}

/** Hash of a call's method, path and body. */
function hashContent(request: callerRequests.CallerRequest): string {
    return crypto.createHash("sha256")
        .update(`${request.method} ${request.pathAndQuery}\n`)
        .update(request.body)
        .digest("hex");
}

/** Makes the call at one upstream that is not in `avoid`. Adds the upstream to the list if it fails. */
async function runOnUpstream(
    router: components.RouterComponents,
    request: callerRequests.CallerRequest,
    service: configuration.Service,
    fingerprint: string,
    avoid: string[],
): Promise<operations.RunResult> {
    const verdict = router.quarantine.verdict(fingerprint);
    const quarantined = quarantineRefusal(verdict);
    if (quarantined) {
        return { kind: operations.RunKind.NotRun, refusal: quarantined };
    }
    const usable = router.upstreams.usable(service.pool).filter((candidate) => !avoid.includes(candidate.name));
    const target = verdict.standing === quarantines.Standing.Suspect
        ? chooseForSuspect(usable, fingerprint)
        : usable[Math.floor(router.context.clock()) % Math.max(1, usable.length)];
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
        timeoutMs: Math.max(1, request.deadline - router.context.clock()),
        agent: service.idempotent ? router.context.agent : unpooledAgent,
        signal: request.signal,
        maxResponseBytes: MAX_ANSWER_BYTES,
    });
    router.context.metrics.upstreamCalls.inc({ call: "service", result: outcome.result });
    request.addTraceStep(target.name, `call ${outcome.result}`);
    if (outcome.result === upstream.CallResult.Done && verdict.standing === quarantines.Standing.Suspect) {
        router.quarantine.reportCompletion(fingerprint);
    }
    if (outcome.result === upstream.CallResult.Broken && !request.signal.aborted) {
        await router.quarantine.reportDisconnect(fingerprint, target.name, request.requestId);
    }
    return toRunResult(router, request, target.name, avoid, outcome);
}

/** Spreads suspect calls over the upstreams by rendezvous hashing, so that every host makes the same choice. */
function chooseForSuspect(
    usable: readonly upstreams.KnownUpstream[],
    fingerprint: string,
): upstreams.KnownUpstream | undefined {
    const weight = (candidate: upstreams.KnownUpstream) => membership.stableHash(`${candidate.name}/${fingerprint}`);
    return [...usable].sort((left, right) => weight(right) - weight(left))[0];
}

function toRunResult(
    router: components.RouterComponents,
    request: callerRequests.CallerRequest,
    name: string,
    avoid: string[],
    outcome: upstream.CallOutcome<upstream.ServiceResponse>,
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
                router.upstreams.markDeparting(name);
            }
            avoid.push(name);
            const message = "the upstream takes no call now";
            const refusal = refusals.notRun(refusals.Reason.UpstreamFailed, message, outcome.retryAfterMs);
            return { kind: RunKind.NotRun, refusal };
        }
        case upstream.CallResult.Unreachable: {
            avoid.push(name);
            const message = "the upstream cannot be reached";
            const refusal = request.signal.aborted
                ? { ...modelServing.abortRefusal(request), ran: refusals.Ran.No }
                : refusals.notRun(refusals.Reason.UpstreamFailed, message, decision.SECOND_MS);
            return { kind: RunKind.NotRun, refusal };
        }
        case upstream.CallResult.Broken: {
            avoid.push(name);
            const message = "the upstream broke off";
            const refusal = request.signal.aborted
                ? modelServing.abortRefusal(request)
                : refusals.mayHaveRun(refusals.Reason.UpstreamFailed, message);
            return { kind: RunKind.Unknown, refusal };
        }
    }
}
