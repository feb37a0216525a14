import * as decision from "@citronlead/decision";
import * as routing from "@citronlead/routing";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as charges from "./charge.js";
import type * as contexts from "./context.js";
import * as exchanges from "./exchange.js";
import * as modelpaths from "./modelpath.js";
import * as plainpath from "./plainpath.js";

/** Longest head of a request that is read at all; the configuration's limit is checked on what was read. */
const HEADER_LIMIT_BYTES = 65_536;
/** Limits until a configuration is known. */
const FIRST_LIMITS: routing.CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};
/** Retry-After of a host that has no configuration yet. */
const NOT_READY_RETURN_MS = 500;
/** Retry-After of a content that crashes upstreams. */
const BARRED_RETURN_MS = 60_000;

/** The port that callers use. */
export interface CallerServer {
    /** Requests under way. */
    readonly open: () => number;
    /** From now on each answer closes its connection. */
    readonly leave: () => void;
    /** Takes no more connections and closes those that are idle. */
    readonly closeIdle: () => void;
}

/** Opens the port that callers use. */
export async function openCallerServer(context: contexts.GatewayContext): Promise<CallerServer> {
    const models = new modelpaths.ModelPath(context);
    const open = new Set<http.ServerResponse>();
    let leaving = false;
    const server = http.createServer({
        maxHeaderSize: HEADER_LIMIT_BYTES,
        keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs,
        headersTimeout: 0,
        requestTimeout: 0,
        noDelay: true,
    });
    const limits = () => context.knowledge.inForce()?.table.configuration.limits ?? FIRST_LIMITS;
    server.on("request", (request, response) => {
        open.add(response);
        server.keepAliveTimeout = limits().idleTimeoutMs;
        if (leaving) {
            closeAfter(response);
        }
        response.on("error", () => undefined);
        response.on("close", () => open.delete(response));
        serve(context, models, limits(), request, response).catch((error: unknown) => failed(context, response, error));
    });
    server.on("clientError", (error, socket) => {
        context.log.decision("request not readable", { reason: error.message });
        socket.destroy();
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(context.settings.callers.port, context.settings.callers.address, resolve);
    });
    context.scope.own(() => {
        server.close();
        server.closeAllConnections();
    });
    return {
        open: () => open.size,
        leave: () => {
            leaving = true;
            open.forEach(closeAfter);
        },
        closeIdle: () => {
            server.close();
            server.closeIdleConnections();
        },
    };
}

/** Ends a request that met a fault of the gateway's own; other requests go on unless an invariant is broken. */
function failed(context: contexts.GatewayContext, response: http.ServerResponse, error: unknown): void {
    context.log.notice("request met a fault", { error: error instanceof Error ? error.stack : String(error) });
    if (error instanceof decision.BrokenInvariantError) {
        throw error;
    }
    response.destroy();
}

/** Closes the connection of an answer when the answer is out, so that no further request arrives on it. */
function closeAfter(response: http.ServerResponse): void {
    response.shouldKeepAlive = false;
    if (response.headersSent) {
        const { socket } = response;
        response.on("finish", () => socket?.end());
    }
}

async function serve(
    context: contexts.GatewayContext,
    models: modelpaths.ModelPath,
    limits: routing.CallerLimits,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<void> {
    const startedAt = context.clock();
    const facts = context.wire.readCaller(request.headers);
    const refuse = (status: number, reason: exchanges.FinalReason, retryAfterMs?: decision.Milliseconds) => {
        context.log.decision("request refused", { requestId: facts.requestId, status, reason });
        context.metrics.requests.inc({ service: "", outcome: reason });
        context.answerRefusal(response, facts.requestId, { status, reason, retryAfterMs });
    };
    if (headerBytes(request) > limits.headerBytes) {
        response.shouldKeepAlive = false;
        refuse(431, exchanges.FinalReason.HeadersTooLong);
        return;
    }
    const body = await readBody(request, limits.bodyBytes);
    if (body === BodyProblem.TooLong) {
        response.shouldKeepAlive = false;
        refuse(413, exchanges.FinalReason.BodyTooLong);
        return;
    }
    if (body === BodyProblem.Broken) {
        return;
    }
    const inForce = context.knowledge.inForce();
    if (!inForce) {
        refuse(503, exchanges.FinalReason.NotReady, NOT_READY_RETURN_MS);
        return;
    }
    const route = routing.findRoute(inForce.table, request.headers.host ?? "", request.url ?? "/");
    const service = route ? routing.pickTarget(route, context.random()) : undefined;
    if (!route || service === undefined) {
        refuse(404, exchanges.FinalReason.NoRoute);
        return;
    }
    const check = routing.checkKey(inForce.table, route, facts.key);
    if (check.access === routing.Access.Denied) {
        refuse(401, exchanges.FinalReason.KeyDenied);
        return;
    }
    const workspace = check.access === routing.Access.Granted ? check.workspace : undefined;
    const content = contentHash(request.url ?? "", workspace?.name, body);
    if (context.suspects.barred(content, context.clock())) {
        refuse(503, exchanges.FinalReason.ContentBarred, BARRED_RETURN_MS);
        return;
    }
    const exchange = new exchanges.Exchange(
        context,
        request,
        response,
        facts,
        route,
        service,
        workspace,
        body,
        content,
        startedAt,
    );
    context.retries.countRequest(service, startedAt);
    if (!(await charges.charge(exchange, inForce.table.configuration.version)) || exchange.over) {
        return;
    }
    await (route.generative ? models.serve(exchange) : plainpath.servePlain(exchange));
}

function contentHash(path: string, workspace: string | undefined, body: Buffer | undefined): string {
    const hash = crypto.createHash("sha1").update(`${path}\n${workspace ?? ""}\n`);
    return hash.update(body ?? "").digest("base64url").slice(0, 16);
}

function headerBytes(request: http.IncomingMessage): number {
    return request.rawHeaders.reduce((sum, part) => sum + part.length + 2, (request.url ?? "").length);
}

enum BodyProblem {
    TooLong = "tooLong",
    /** The caller left before the body was whole. */
    Broken = "broken",
}

/** Reads a caller's body. Undefined if the request has none. */
function readBody(request: http.IncomingMessage, limitBytes: number): Promise<Buffer | undefined | BodyProblem> {
    const hasBody = request.headers["content-length"] !== undefined
        || request.headers["transfer-encoding"] !== undefined;
    return new Promise((resolve) => {
        const pieces: Buffer[] = [];
        let length = 0;
        request.on("data", (piece: Buffer) => {
            length += piece.length;
            if (length > limitBytes) {
                request.pause();
                resolve(BodyProblem.TooLong);
                return;
            }
            pieces.push(piece);
        });
        request.on("end", () => resolve(hasBody ? Buffer.concat(pieces) : undefined));
        request.on("error", () => resolve(BodyProblem.Broken));
        request.on("close", () => resolve(BodyProblem.Broken));
    });
}
