import type * as configuration from "@citronlead/configuration";
import type * as decision from "@citronlead/decision";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as components from "../components.js";
import * as refusals from "../refusal.js";
import * as dispatch from "../serving/dispatch.js";
import * as modelServing from "../serving/model.js";
import type * as traces from "../trace.js";
import * as authenticate from "./authenticate.js";
import * as bodies from "./body.js";
import * as reply from "./reply.js";
import * as callerRequests from "./request.js";

/** Circumstances under which a request arrived. */
export interface RequestArrival {
    /** The number of open requests exceeds the configured limit. */
    readonly overloaded: boolean;
    /** The caller sent "Expect: 100-continue" and withholds its body until it is asked to continue. */
    readonly expectsContinue: boolean;
}

/** The state of one request in flight. */
interface RequestRun {
    readonly router: components.RouterComponents;
    readonly incoming: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly arrival: RequestArrival;
    readonly requestId: string;
    readonly arrivedAt: decision.Milliseconds;
    readonly abortController: AbortController;
    readonly addTraceStep: traces.AddTraceStep;
    readonly timings: callerRequests.Timings;
    /** Called once the request has its final answer. */
    readonly cleanups: (() => void)[];
    credential: authenticate.Credential | undefined;
    plan: dispatch.Plan | undefined;
}

const DEADLINE_HEADER = "x-deadline-ms";
const DEADLINE_PATTERN = /^[1-9][0-9]{0,8}$/;
const DEFAULT_DEADLINE_MS = 10_000;
const RETRY_AFTER_MS = 1_000;
/** How long the rest of a refused body is read and discarded, so that the caller can read the refusal. */
const DISCARD_BODY_MS = 1_000;

/** Serves one request up to its final answer and logs its outcome. */
export async function handleRequest(
    router: components.RouterComponents,
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    arrival: RequestArrival,
): Promise<void> {
    const requestId = crypto.randomUUID();
    const run: RequestRun = {
        router,
        incoming,
        response,
        arrival,
        requestId,
        arrivedAt: router.context.clock(),
        abortController: new AbortController(),
        addTraceStep: router.context.traces.start(requestId),
        timings: callerRequests.newTimings(),
        cleanups: [],
        credential: undefined,
        plan: undefined,
    };
    response.setHeader(reply.REQUEST_ID_HEADER, requestId);
    response.once("close", () => {
        if (!response.writableFinished) {
            run.abortController.abort(callerRequests.AbortReason.CallerDisconnected);
        }
    });
    const prepared = arrival.overloaded
        ? refusals.notRun(refusals.Reason.Overloaded, "too many requests are open", RETRY_AFTER_MS)
        : await prepare(run);
    const refusal = Buffer.isBuffer(prepared) ? await serve(run, prepared) : refuse(run, prepared);
    run.cleanups.forEach((cleanUp) => cleanUp());
    recordOutcome(run, refusal);
}

function refuse(run: RequestRun, refusal: refusals.Refusal): refusals.Refusal {
    reply.sendRefusal(run.response, run.requestId, refusal);
    discardBody(run.incoming);
    return refusal;
}

/** Discards the rest of the body for a short time, then closes the connection. */
function discardBody(incoming: http.IncomingMessage): void {
    incoming.resume();
    if (!incoming.complete) {
        const timer = setTimeout(() => incoming.socket.destroy(), DISCARD_BODY_MS);
        incoming.once("close", () => clearTimeout(timer));
    }
}

/** Checks route, key and body, in this order, so that no body is read before authentication. */
async function prepare(run: RequestRun): Promise<Buffer | refusals.Refusal> {
    const { router, incoming, response } = run;
    const current = router.configuration.current();
    if (!current) {
        const message = "no configuration is known yet";
        return refusals.notRun(refusals.Reason.ConfigurationStale, message, RETRY_AFTER_MS);
    }
    const route = dispatch.findRoute(current.fleet, incoming.method ?? "GET", incoming.url ?? "/");
    if ("reason" in route) {
        return route;
    }
    const credentialRefusal = checkCredential(run, current, dispatch.allowsAnonymous(route));
    if (credentialRefusal) {
        return credentialRefusal;
    }
    if (run.arrival.expectsContinue) {
        response.writeContinue();
    }
    const body = await readBody(run);
    if (!Buffer.isBuffer(body)) {
        return body;
    }
    const keyRefusal = dispatch.refuseKeyInBody(run.credential, body);
    if (keyRefusal) {
        return keyRefusal;
    }
    const plan = dispatch.makePlan(current.fleet, route, body);
    return "reason" in plan ? plan : startDeadlineTimer(run, current, plan) ?? body;
}

/** Authenticates the request and aborts it if the key is withdrawn while it runs. */
function checkCredential(
    run: RequestRun,
    current: configuration.Configuration,
    anonymousAllowed: boolean,
): refusals.Refusal | undefined {
    const { router, incoming, addTraceStep } = run;
    const key = authenticate.parseBearerKey(incoming.headers.authorization);
    run.credential = key === undefined ? undefined : authenticate.authenticate(current, key);
    if (!anonymousAllowed && !router.configuration.keysUsable()) {
        const message = "this host cannot know whether the key was withdrawn";
        return refusals.notRun(refusals.Reason.ConfigurationStale, message, RETRY_AFTER_MS);
    }
    if (!anonymousAllowed && !run.credential) {
        return refusals.notRun(refusals.Reason.Unauthenticated, "the key is missing or unknown");
    }
    addTraceStep("router", "authenticated", { workspace: run.credential?.workspace, revision: current.revision });
    const { credential } = run;
    if (credential) {
        run.cleanups.push(router.configuration.onChange((next) => {
            if (authenticate.workspacesByKeyHash(next).get(credential.hash) !== credential.workspace) {
                run.abortController.abort(callerRequests.AbortReason.KeyWithdrawn);
            }
        }));
    }
    return undefined;
}

async function readBody(run: RequestRun): Promise<Buffer | refusals.Refusal> {
    const { limits } = run.router.context.settings;
    const read = await bodies.readBody(run.incoming, limits.body, limits.requestTimeout);
    switch (read.kind) {
        case bodies.BodyOutcomeKind.Complete:
            return read.body;
        case bodies.BodyOutcomeKind.TooLarge:
            return refusals.notRun(refusals.Reason.BodyTooLarge, "the body is over its limit");
        case bodies.BodyOutcomeKind.TimedOut:
            return refusals.notRun(refusals.Reason.RequestTimeout, "the body did not come in time");
        case bodies.BodyOutcomeKind.Truncated:
            return refusals.notRun(refusals.Reason.BadRequest, "the body stopped before its end");
    }
}

/** Validates the caller's deadline and starts the timer that aborts the request. */
function startDeadlineTimer(
    run: RequestRun,
    current: configuration.Configuration,
    plan: dispatch.Plan,
): refusals.Refusal | undefined {
    const requestedDeadline = run.incoming.headers[DEADLINE_HEADER];
    if (requestedDeadline !== undefined && !DEADLINE_PATTERN.test(String(requestedDeadline))) {
        return refusals.notRun(refusals.Reason.BadRequest, `${DEADLINE_HEADER} is no whole number of milliseconds`);
    }
    const timer = setTimeout(
        () => run.abortController.abort(callerRequests.AbortReason.DeadlinePassed),
        Math.max(0, deadlineOf(run, current, plan) - run.router.context.clock()),
    );
    run.cleanups.push(() => clearTimeout(timer));
    run.plan = plan;
    return undefined;
}

/** The deadline of the request's profile or the default, or the caller's own deadline if that is sooner. */
function deadlineOf(run: RequestRun, current: configuration.Configuration, plan: dispatch.Plan): decision.Milliseconds {
    const profileName = dispatch.profileName(plan);
    const profile = profileName === undefined ? undefined : current.fleet.profiles[profileName];
    const requestedDeadline = run.incoming.headers[DEADLINE_HEADER];
    return run.arrivedAt + Math.min(
        profile?.deadline ?? DEFAULT_DEADLINE_MS,
        requestedDeadline === undefined ? Infinity : Number(requestedDeadline),
    );
}

async function serve(run: RequestRun, body: Buffer): Promise<refusals.Refusal | undefined> {
    const { router, incoming, plan, response } = run;
    const current = router.configuration.current();
    if (!plan || !current) {
        return undefined;
    }
    run.addTraceStep("router", "routed", { target: dispatch.targetName(plan), class: dispatch.profileName(plan) });
    const request: callerRequests.CallerRequest = {
        requestId: run.requestId,
        method: incoming.method ?? "GET",
        pathAndQuery: incoming.url ?? "/",
        headers: incoming.headers,
        body,
        credential: run.credential,
        arrivedAt: run.arrivedAt,
        deadline: deadlineOf(run, current, plan),
        signal: run.abortController.signal,
        addTraceStep: run.addTraceStep,
    };
    if (request.signal.aborted) {
        return refuse(run, { ...modelServing.abortRefusal(request), ran: refusals.Ran.No });
    }
    return dispatch.serve(router, plan, request, run.timings, response);
}

/** Counts and logs the outcome of a request. */
function recordOutcome(run: RequestRun, refusal: refusals.Refusal | undefined): void {
    const { router, plan, timings, requestId } = run;
    const { context } = router;
    const workspace = run.credential?.workspace;
    const durationMs = context.clock() - run.arrivedAt;
    const outcome = refusal?.reason ?? "answered";
    const label = context.metrics.workspaceLabel(workspace);
    run.addTraceStep("router", "final answer", { outcome, ran: refusal?.ran });
    context.metrics.requests.inc({ workspace: label, outcome });
    context.metrics.duration.observe({ workspace: label }, durationMs / 1_000);
    context.log.info({
        requestId,
        workspace,
        class: plan && dispatch.profileName(plan),
        method: run.incoming.method,
        route: plan?.kind,
        target: plan && dispatch.targetName(plan),
        upstreams: upstreamsUsed(run),
        outcome,
        ran: refusal?.ran,
        outputTokens: timings.outputTokens,
        queueingMs: roundToTenth(timings.queueingMs),
        firstTokenMs: roundToTenth(timings.firstTokenMs),
        durationMs: roundToTenth(durationMs),
    }, "request");
}

/** Names of the upstreams in the trace of a request, in the order of their first use. */
function upstreamsUsed(run: RequestRun): readonly string[] {
    const steps = run.router.context.traces.find(run.requestId)?.steps ?? [];
    return [...new Set(steps.map((step) => step.hop))].filter((hop) => run.router.upstreams.find(hop) !== undefined);
}

function roundToTenth(milliseconds: number | undefined): number | undefined {
    return milliseconds === undefined ? undefined : Math.round(milliseconds * 10) / 10;
}
