import type * as configuration from "@citronlead/configuration";
import * as decision from "@citronlead/decision";
import * as membership from "@citronlead/membership";
import * as upstream from "@citronlead/upstream";
import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as callerRequests from "./callerrequest.js";
import * as modelpath from "./modelpath.js";
import * as operations from "./operationsshell.js";
import type * as parts from "./parts.js";
import * as quarantines from "./quarantineshell.js";
import * as refusals from "./refusal.js";
import type * as upstreams from "./upstreams.js";

const ANSWER_LIMIT_BYTES = 4 * 1024 * 1024;
/** How many tries of one call may have run; those that certainly did not are bounded by the upstreams there are. */
const TRIES = 3;
/** How long a call with an idempotency key may run on after its deadline, so that a repeat finds its answer. */
const RUN_ON_MS = 30 * decision.SECOND_MS;

/**
 * Calls that may not be repeated get a connection of their own: on one that was kept open, an upstream that closes it
 * meanwhile leaves open whether the call ran.
 */
const freshConnections = new http.Agent({ keepAlive: false });

/** Serves one call to a plain service. Calls that are not idempotent run at most once. */
export function serveService(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    service: configuration.Service,
): Promise<operations.OperationOutcome> {
    if (upstream.mentions(pathOf(request), request.credential?.key)) {
        const refusal = refusals.notRun(refusals.Reason.KeyMisplaced, "the key stands in the path");
        return Promise.resolve({ answered: false, refusal });
    }
    const idempotencyKey = request.headers["idempotency-key"];
    if (service.idempotent || typeof idempotencyKey !== "string" || idempotencyKey === "") {
        return toOutcome(runOnUpstreams(served, request, service));
    }
    const wish: operations.OperationWish = {
        workspace: request.credential?.workspace ?? "",
        service: service.name,
        idempotencyKey,
        contentHash: hashContent(request),
        request,
    };
    const running = { ...request, signal: new AbortController().signal, deadline: request.deadline + RUN_ON_MS };
    return served.operations.runOnce(wish, () => runOnUpstreams(served, running, service));
}

function pathOf(request: callerRequests.CallerRequest): string {
    return request.pathAndQuery.split("?")[0] ?? "";
}

/** Tries upstreams until one has or may have run the call; an idempotent call goes on after that. */
async function runOnUpstreams(
    served: parts.Parts,
    request: callerRequests.CallerRequest,
    service: configuration.Service,
): Promise<operations.RunResult> {
    const fingerprint = hashContent(request);
    const avoid: string[] = [];
    let tries = 0;
    for (;;) {
        const result = withDoubt(await runOnUpstream(served, request, service, fingerprint, avoid), tries > 0);
        tries += result.kind === operations.RunKind.NotRun ? 0 : 1;
        if (tries === TRIES || request.signal.aborted || !mayTryAgain(service, result)) {
            return explainBreak(result, served.quarantine.verdict(fingerprint));
        }
    }
}

/** A call whose last try made an upstream crash is told so, and when to come back. */
function explainBreak(result: operations.RunResult, verdict: quarantines.Verdict): operations.RunResult {
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

function mayTryAgain(service: configuration.Service, result: operations.RunResult): boolean {
    return result.kind !== operations.RunKind.Answered
        && result.refusal.reason === refusals.Reason.UpstreamFailed
        && (service.idempotent || result.kind === operations.RunKind.NotRun);
}

/** A refusal after a try that may have run says so. */
function withDoubt(result: operations.RunResult, mayHaveRun: boolean): operations.RunResult {
    return result.kind === operations.RunKind.NotRun && mayHaveRun
        ? { kind: operations.RunKind.Unknown, refusal: { ...result.refusal, ran: refusals.Ran.Unknown } }
        : result;
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
    fingerprint: string,
    avoid: string[],
): Promise<operations.RunResult> {
    const verdict = served.quarantine.verdict(fingerprint);
    const quarantined = quarantineRefusal(verdict);
    if (quarantined) {
        return { kind: operations.RunKind.NotRun, refusal: quarantined };
    }
    const usable = served.upstreams.usable(service.pool).filter((candidate) => !avoid.includes(candidate.name));
    const target = verdict.standing === quarantines.Standing.Suspect
        ? placeOfSuspect(usable, fingerprint)
        : usable[Math.floor(served.context.clock()) % Math.max(1, usable.length)];
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
        agent: service.idempotent ? served.context.agent : freshConnections,
        signal: request.signal,
        answerLimit: ANSWER_LIMIT_BYTES,
    });
    served.context.metrics.upstreamCalls.inc({ call: "service", result: outcome.result });
    request.note(target.name, `call ${outcome.result}`);
    if (outcome.result === upstream.CallResult.Done && verdict.standing === quarantines.Standing.Suspect) {
        served.quarantine.noteWhole(fingerprint);
    }
    if (outcome.result === upstream.CallResult.Broken && !request.signal.aborted) {
        await served.quarantine.noteBreak(fingerprint, target.name, request.requestId);
    }
    return judge(served, request, target.name, avoid, outcome);
}

/** Spreads suspects over the upstreams by their fingerprints, the same on every host. */
function placeOfSuspect(
    usable: readonly upstreams.KnownUpstream[],
    fingerprint: string,
): upstreams.KnownUpstream | undefined {
    const weight = (candidate: upstreams.KnownUpstream) => membership.hashNumber(`${candidate.name}/${fingerprint}`);
    return [...usable].sort((left, right) => weight(right) - weight(left))[0];
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
            const refusal = request.signal.aborted
                ? { ...modelpath.abortRefusal(request), ran: refusals.Ran.No }
                : refusals.notRun(refusals.Reason.UpstreamFailed, message, decision.SECOND_MS);
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
