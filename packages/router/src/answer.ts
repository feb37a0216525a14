import type * as configuration from "@citronlead/configuration";
import type * as decision from "@citronlead/decision";
import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as authenticate from "./authenticate.js";
import * as bodies from "./body.js";
import * as callerRequests from "./callerrequest.js";
import * as dispatch from "./dispatch.js";
import * as modelpath from "./modelpath.js";
import type * as parts from "./parts.js";
import * as refusals from "./refusal.js";
import * as reply from "./reply.js";
import type * as traces from "./trace.js";

/** How a request arrived. */
export interface Arrival {
    /** More requests are open than the settings allow. */
    readonly overloaded: boolean;
    /** The caller sends its body only once it is asked to. */
    readonly waitsForContinue: boolean;
}

/** One request while it runs. */
interface Run {
    readonly served: parts.Parts;
    readonly incoming: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly arrival: Arrival;
    readonly requestId: string;
    readonly arrivedAt: decision.Milliseconds;
    readonly control: AbortController;
    readonly note: traces.Note;
    readonly timings: callerRequests.Timings;
    /** What has to be ended with the request. */
    readonly releases: (() => void)[];
    credential: authenticate.Credential | undefined;
    plan: dispatch.Plan | undefined;
}

const DEADLINE_HEADER = "x-deadline-ms";
const DEADLINE_PATTERN = /^[1-9][0-9]{0,8}$/;
const DEFAULT_DEADLINE_MS = 10_000;
const RETRY_AFTER_MS = 1_000;
/** So long the rest of a refused body is read and dropped, that the caller may read the refusal. */
const LINGER_MS = 1_000;

/** Answers one request, whatever comes of it, and writes its line into the log. */
export async function answer(
    served: parts.Parts,
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    arrival: Arrival,
): Promise<void> {
    const requestId = crypto.randomUUID();
    const run: Run = {
        served,
        incoming,
        response,
        arrival,
        requestId,
        arrivedAt: served.context.clock(),
        control: new AbortController(),
        note: served.context.traces.start(requestId),
        timings: callerRequests.emptyTimings(),
        releases: [],
        credential: undefined,
        plan: undefined,
    };
    response.setHeader(reply.REQUEST_ID_HEADER, requestId);
    response.once("close", () => {
        if (!response.writableFinished) {
            run.control.abort(callerRequests.AbortCause.CallerGone);
        }
    });
    const body = arrival.overloaded
        ? refusals.notRun(refusals.Reason.Overloaded, "too many requests are open", RETRY_AFTER_MS)
        : await prepare(run);
    const refusal = Buffer.isBuffer(body) ? await serve(run, body) : refuse(run, body);
    run.releases.forEach((release) => release());
    report(run, refusal);
}

function refuse(run: Run, refusal: refusals.Refusal): refusals.Refusal {
    reply.sendRefusal(run.response, run.requestId, refusal);
    dropBody(run.incoming);
    return refusal;
}

/** Reads on for a short time what the caller still sends, then breaks the connection. */
function dropBody(incoming: http.IncomingMessage): void {
    incoming.resume();
    if (!incoming.complete) {
        const timer = setTimeout(() => incoming.socket.destroy(), LINGER_MS);
        incoming.once("close", () => clearTimeout(timer));
    }
}

/** Checks key, route and body, in this order, so that nothing is read for callers without a key. */
async function prepare(run: Run): Promise<Buffer | refusals.Refusal> {
    const { served, incoming, response } = run;
    const current = served.configuration.current();
    if (!current) {
        const message = "no configuration is known yet";
        return refusals.notRun(refusals.Reason.ConfigurationStale, message, RETRY_AFTER_MS);
    }
    const route = dispatch.findRoute(current.fleet, incoming.method ?? "GET", incoming.url ?? "/");
    if ("reason" in route) {
        return route;
    }
    const refusedKey = checkKey(run, current, dispatch.isOpen(route));
    if (refusedKey) {
        return refusedKey;
    }
    if (run.arrival.waitsForContinue) {
        response.writeContinue();
    }
    const read = await readBody(run);
    if (!Buffer.isBuffer(read)) {
        return read;
    }
    const misplaced = dispatch.checkKeyPlacement(run.credential, read);
    if (misplaced) {
        return misplaced;
    }
    const plan = dispatch.makePlan(current.fleet, route, read);
    return "reason" in plan ? plan : startDeadline(run, current, plan) ?? read;
}

/** Checks the key and, from then on, aborts the request when the key is withdrawn. */
function checkKey(run: Run, current: configuration.Configuration, open: boolean): refusals.Refusal | undefined {
    const { served, incoming, note } = run;
    const key = authenticate.presentedKey(incoming.headers.authorization);
    run.credential = key === undefined ? undefined : authenticate.authenticate(current, key);
    if (!open && !served.configuration.keysUsable()) {
        const message = "this host cannot know whether the key was withdrawn";
        return refusals.notRun(refusals.Reason.ConfigurationStale, message, RETRY_AFTER_MS);
    }
    if (!open && !run.credential) {
        return refusals.notRun(refusals.Reason.Unauthenticated, "the key is missing or unknown");
    }
    note("router", "authenticated", { workspace: run.credential?.workspace, revision: current.revision });
    const { credential } = run;
    if (credential) {
        run.releases.push(served.configuration.onChange((next) => {
            if (authenticate.indexKeys(next).get(credential.hash) !== credential.workspace) {
                run.control.abort(callerRequests.AbortCause.KeyWithdrawn);
            }
        }));
    }
    return undefined;
}

async function readBody(run: Run): Promise<Buffer | refusals.Refusal> {
    const { limits } = run.served.context.settings;
    const read = await bodies.readBody(run.incoming, limits.body, limits.requestTimeout);
    switch (read.kind) {
        case bodies.BodyKind.Whole:
            return read.body;
        case bodies.BodyKind.TooLarge:
            return refusals.notRun(refusals.Reason.BodyTooLarge, "the body is over its limit");
        case bodies.BodyKind.TooSlow:
            return refusals.notRun(refusals.Reason.RequestTimeout, "the body did not come in time");
        case bodies.BodyKind.CutOff:
            return refusals.notRun(refusals.Reason.BadRequest, "the body stopped before its end");
    }
}

/** Aborts the request at its deadline: the profile's, or the caller's if that is sooner. */
function startDeadline(
    run: Run,
    current: configuration.Configuration,
    plan: dispatch.Plan,
): refusals.Refusal | undefined {
    const asked = run.incoming.headers[DEADLINE_HEADER];
    if (asked !== undefined && !DEADLINE_PATTERN.test(String(asked))) {
        return refusals.notRun(refusals.Reason.BadRequest, `${DEADLINE_HEADER} is no whole number of milliseconds`);
    }
    const timer = setTimeout(
        () => run.control.abort(callerRequests.AbortCause.DeadlinePassed),
        Math.max(0, deadlineOf(run, current, plan) - run.served.context.clock()),
    );
    run.releases.push(() => clearTimeout(timer));
    run.plan = plan;
    return undefined;
}

function deadlineOf(run: Run, current: configuration.Configuration, plan: dispatch.Plan): decision.Milliseconds {
    const profileName = dispatch.profileName(plan);
    const profile = profileName === undefined ? undefined : current.fleet.profiles[profileName];
    const asked = run.incoming.headers[DEADLINE_HEADER];
    return run.arrivedAt + Math.min(
        profile?.deadline ?? DEFAULT_DEADLINE_MS,
        asked === undefined ? Infinity : Number(asked),
    );
}

async function serve(run: Run, body: Buffer): Promise<refusals.Refusal | undefined> {
    const { served, incoming, plan, response } = run;
    const current = served.configuration.current();
    if (!plan || !current) {
        return undefined;
    }
    run.note("router", "routed", { target: dispatch.targetName(plan), class: dispatch.profileName(plan) });
    const request: callerRequests.CallerRequest = {
        requestId: run.requestId,
        method: incoming.method ?? "GET",
        pathAndQuery: incoming.url ?? "/",
        headers: incoming.headers,
        body,
        credential: run.credential,
        arrivedAt: run.arrivedAt,
        deadline: deadlineOf(run, current, plan),
        signal: run.control.signal,
        note: run.note,
    };
    if (request.signal.aborted) {
        return refuse(run, { ...modelpath.abortRefusal(request), ran: refusals.Ran.No });
    }
    return dispatch.serve(served, plan, request, run.timings, response);
}

/** Writes the request's line into the log, and counts it. */
function report(run: Run, refusal: refusals.Refusal | undefined): void {
    const { served, plan, timings, requestId } = run;
    const { context } = served;
    const workspace = run.credential?.workspace;
    const durationMs = context.clock() - run.arrivedAt;
    const outcome = refusal?.reason ?? "answered";
    const label = context.metrics.label(workspace);
    run.note("router", "final answer", { outcome, ran: refusal?.ran });
    context.metrics.requests.inc({ workspace: label, outcome });
    context.metrics.duration.observe({ workspace: label }, durationMs / 1_000);
    context.log.info({
        requestId,
        workspace,
        class: plan && dispatch.profileName(plan),
        method: run.incoming.method,
        route: plan?.kind,
        target: plan && dispatch.targetName(plan),
        upstreams: upstreamsOf(run),
        outcome,
        ran: refusal?.ran,
        outputTokens: timings.outputTokens,
        queueingMs: rounded(timings.queueing),
        firstTokenMs: rounded(timings.firstToken),
        durationMs: rounded(durationMs),
    }, "request");
}

/** The upstreams that the record of a request names, in the order of their first use. */
function upstreamsOf(run: Run): readonly string[] {
    const steps = run.served.context.traces.find(run.requestId)?.steps ?? [];
    return [...new Set(steps.map((step) => step.hop))].filter((hop) => run.served.upstreams.find(hop) !== undefined);
}

function rounded(milliseconds: number | undefined): number | undefined {
    return milliseconds === undefined ? undefined : Math.round(milliseconds * 10) / 10;
}
