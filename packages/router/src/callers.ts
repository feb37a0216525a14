import type * as configuration from "@citronlead/configuration";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as authenticate from "./authenticate.js";
import * as bodies from "./body.js";
import * as callerRequests from "./callerrequest.js";
import * as dispatch from "./dispatch.js";
import type * as parts from "./parts.js";
import * as refusals from "./refusal.js";
import * as reply from "./reply.js";
import type * as traces from "./trace.js";

/** The port for callers. */
export interface Callers {
    /** Stops accepting connections and resolves when every request has its final answer, or after the longest wait. */
    readonly drain: (longestMs: number) => Promise<void>;
    /** How many requests are under way. */
    readonly open: () => number;
}

const DEADLINE_HEADER = "x-deadline-ms";
const RETRY_AFTER_MS = 1_000;

/** Opens the port for callers. */
export async function openCallers(served: parts.Parts): Promise<Callers> {
    const { context } = served;
    const { limits, callers } = context.settings;
    const open = new Set<http.ServerResponse>();
    const idle: (() => void)[] = [];
    const server = http.createServer({
        maxHeaderSize: limits.headers,
        headersTimeout: limits.headerTimeout,
        requestTimeout: limits.requestTimeout,
        connectionsCheckingInterval: Math.min(limits.headerTimeout, 1_000),
        keepAliveTimeout: 60_000,
    }, (request, response) => {
        open.add(response);
        context.metrics.openRequests.set(open.size);
        response.once("close", () => {
            open.delete(response);
            context.metrics.openRequests.set(open.size);
            if (open.size === 0) {
                idle.splice(0).forEach((callback) => callback());
            }
        });
        void answer(served, request, response, open.size > limits.openRequests);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(callers.port, callers.address, resolve);
    });
    context.scope.own(() => server.closeAllConnections());
    return {
        open: () => open.size,
        drain: async (longestMs) => {
            server.close();
            server.closeIdleConnections();
            open.forEach((response) => response.shouldKeepAlive = false);
            if (open.size > 0) {
                await new Promise<void>((resolve) => {
                    const timer = setTimeout(resolve, longestMs);
                    idle.push(() => {
                        clearTimeout(timer);
                        resolve();
                    });
                });
            }
        },
    };
}

/** Answers one request, whatever comes of it, and writes its line into the log. */
async function answer(
    served: parts.Parts,
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    overloaded: boolean,
): Promise<void> {
    const { context } = served;
    const arrivedAt = context.clock();
    const requestId = crypto.randomUUID();
    const note = context.traces.start(requestId);
    const prepared = overloaded
        ? refusals.notRun(refusals.Reason.Overloaded, "too many requests are open", RETRY_AFTER_MS)
        : await prepare(served, incoming, note);
    let workspace: string | undefined;
    let refusal: refusals.Refusal | undefined;
    if ("reason" in prepared) {
        refusal = prepared;
        reply.sendRefusal(response, requestId, prepared);
        incoming.resume();
    }
    else {
        workspace = prepared.credential?.workspace;
        refusal = await run(served, prepared, response, requestId, arrivedAt, note);
    }
    const durationMs = context.clock() - arrivedAt;
    const outcome = refusal?.reason ?? "answered";
    const label = context.metrics.label(workspace);
    note("router", "final answer", { outcome, ran: refusal?.ran });
    context.metrics.requests.inc({ workspace: label, outcome });
    context.metrics.duration.observe({ workspace: label }, durationMs / 1_000);
    context.log.info({
        requestId,
        workspace,
        method: incoming.method,
        route: "route" in prepared ? prepared.route.kind : undefined,
        outcome,
        ran: refusal?.ran,
        durationMs: Math.round(durationMs * 10) / 10,
    }, "request");
}

interface Prepared {
    readonly current: configuration.Configuration;
    readonly route: dispatch.Route;
    readonly credential: authenticate.Credential | undefined;
    readonly body: Buffer;
    readonly incoming: http.IncomingMessage;
}

/** Checks key, route and body, in this order, so that nothing is read for callers without a key. */
async function prepare(
    served: parts.Parts,
    incoming: http.IncomingMessage,
    note: traces.Note,
): Promise<Prepared | refusals.Refusal> {
    const current = served.configuration.current();
    if (!current) {
        const message = "no configuration is known yet";
        return refusals.notRun(refusals.Reason.ConfigurationStale, message, RETRY_AFTER_MS);
    }
    const route = dispatch.findRoute(current.fleet, incoming.method ?? "GET", incoming.url ?? "/");
    if ("reason" in route) {
        return route;
    }
    const key = authenticate.presentedKey(incoming.headers.authorization);
    const credential = key === undefined ? undefined : authenticate.authenticate(current, key);
    const refusedKey = dispatch.isOpen(route) ? undefined : checkKey(served, credential);
    if (refusedKey) {
        return refusedKey;
    }
    note("router", "authenticated", { workspace: credential?.workspace, revision: current.revision });
    const body = await bodies.readBody(incoming, served.context.settings.limits.body);
    if (body.kind !== bodies.BodyKind.Whole) {
        return body.kind === bodies.BodyKind.TooLarge
            ? refusals.notRun(refusals.Reason.BodyTooLarge, "the body is over its limit")
            : refusals.notRun(refusals.Reason.BadRequest, "the body stopped before its end");
    }
    const misplaced = dispatch.checkKeyPlacement(credential, body.body);
    return misplaced ?? { current, route, credential, body: body.body, incoming };
}

function checkKey(
    served: parts.Parts,
    credential: authenticate.Credential | undefined,
): refusals.Refusal | undefined {
    if (!served.configuration.keysUsable()) {
        const message = "this host cannot know whether the key was withdrawn";
        return refusals.notRun(refusals.Reason.ConfigurationStale, message, RETRY_AFTER_MS);
    }
    return credential ? undefined : refusals.notRun(refusals.Reason.Unauthenticated, "the key is missing or unknown");
}

async function run(
    served: parts.Parts,
    prepared: Prepared,
    response: http.ServerResponse,
    requestId: string,
    arrivedAt: number,
    note: traces.Note,
): Promise<refusals.Refusal | undefined> {
    const { context } = served;
    const { current, route, credential, body, incoming } = prepared;
    const profileDeadlineMs = dispatch.profileOf(current.fleet, route, body)?.deadline ?? DEFAULT_DEADLINE_MS;
    const deadline = arrivedAt + Math.min(profileDeadlineMs, deadlineHeader(incoming.headers) ?? Infinity);
    const control = new AbortController();
    const timer = setTimeout(
        () => control.abort(callerRequests.AbortCause.DeadlinePassed),
        Math.max(0, deadline - context.clock()),
    );
    response.once("close", () => {
        if (!response.writableFinished) {
            control.abort(callerRequests.AbortCause.CallerGone);
        }
    });
    const stopWatching = watchKey(served, credential, control);
    const request: callerRequests.CallerRequest = {
        requestId,
        method: incoming.method ?? "GET",
        pathAndQuery: incoming.url ?? "/",
        headers: incoming.headers,
        body,
        credential,
        arrivedAt,
        deadline,
        signal: control.signal,
        note,
    };
    const refusal = await dispatch.serve(served, current, route, request, response);
    clearTimeout(timer);
    stopWatching();
    return refusal;
}

const DEFAULT_DEADLINE_MS = 10_000;

function deadlineHeader(headers: http.IncomingHttpHeaders): number | undefined {
    const value = Number(headers[DEADLINE_HEADER]);
    return Number.isFinite(value) && value > 0 ? value : undefined;
}

/** Aborts the request when its key is withdrawn. Returns a function that ends the watch. */
function watchKey(
    served: parts.Parts,
    credential: authenticate.Credential | undefined,
    control: AbortController,
): () => void {
    if (!credential) {
        return () => undefined;
    }
    return served.configuration.onChange((next) => {
        if (authenticate.indexKeys(next).get(credential.hash) !== credential.workspace) {
            control.abort(callerRequests.AbortCause.KeyWithdrawn);
        }
    });
}
