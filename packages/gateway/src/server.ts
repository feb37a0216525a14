import * as bodies from "@citronlead/bodies";
import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as routing from "@citronlead/routing";
import * as http from "node:http";
import * as background from "./background.js";
import * as charges from "./charge.js";
import * as connections from "./connections.js";
import type * as contexts from "./context.js";
import * as exchanges from "./exchange.js";
import * as heads from "./head.js";
import type * as handlers from "./model/handler.js";
import * as plain from "./plain.js";
import * as quarantines from "./quarantine.js";
import type * as settings from "./settings.js";

/**
 * Limit of the HTTP parser, which closes the connection beyond it. The configured limit is checked after parsing and
 * refused with a 431.
 */
const PARSER_HEADER_LIMIT_BYTES = 65_536;
/** Limits that apply until a configuration has been read. */
const DEFAULT_LIMITS: routing.CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};
/** Retry-After while the host has no configuration yet. */
const NOT_READY_RETRY_AFTER_MS = 500;

/** Mean Retry-After while no host reaches the upstreams of a service. */
const UNREACHABLE_RETRY_AFTER_MS = 800;

/** Longest time to read the body of a request; its caller may wait less. */
const BODY_TIMEOUT_MS = 30 * decision.SECOND_MS;
/** Mean Retry-After while what is held for other callers takes all of its memory. */
const NO_MEMORY_RETRY_AFTER_MS = 500;

/** The HTTP server for callers. */
export interface CallerServer {
    /** Ids of the requests in flight. */
    readonly openRequests: () => (string | undefined)[];
    /** Number of connections that are not closed yet. */
    readonly openConnections: () => number;
    /** Closes each connection after its next response that has not begun. */
    readonly disableKeepAlive: () => void;
    /** Stops accepting connections and closes those that have been idle for the given time. */
    readonly stopAccepting: (idleMs: decision.Milliseconds) => void;
}

/** Options of a server for requests that other hosts relay. */
export interface RelayServerOptions {
    readonly markRequest: (request: http.IncomingMessage) => void;
    /** Whether a marked request is served under the given version of the configuration; others are refused. */
    readonly accepts: (request: http.IncomingMessage, configuration: number) => boolean;
}

/** Starts the HTTP server for callers, or for requests that other hosts relay. */
export async function openCallerServer(
    context: contexts.GatewayContext,
    models: handlers.ModelRequestHandler,
    listen: settings.ListenAddress,
    bounds: Pick<connections.ConnectionLimits, "maxConnections" | "memory" | "bodyGarbage">,
    relay?: RelayServerOptions,
): Promise<CallerServer> {
    const server = http.createServer({
        maxHeaderSize: PARSER_HEADER_LIMIT_BYTES,
        keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs,
        headersTimeout: 0,
        requestTimeout: 0,
        // Node would answer such a request itself, out of turn.
        requireHostHeader: false,
        noDelay: true,
    });
    const limits = () => context.storeView.activeConfiguration()?.table.configuration.limits ?? DEFAULT_LIMITS;
    const idOf = ({ headers }: http.IncomingMessage) => context.wireFormat.parseRequest(headers).requestId;
    const callers: connections.CallerConnections = new connections.CallerConnections(
        server,
        context.clock,
        {
            serve: (request, response) => {
                server.keepAliveTimeout = limits().idleTimeoutMs;
                relay?.markRequest(request);
                response.on("error", () => undefined);
                handleRequest(context, models, limits(), relay, request, response).catch((error: unknown) =>
                    handleInternalError(context, response, error)
                );
            },
            onDropped: (requests) => {
                context.metrics.droppedRequests.inc(requests.length);
                context.log.decision("requests behind the last response of a connection", {
                    count: requests.length,
                    requestIds: requests.map(idOf),
                    sinceStopMs: context.hostStop.sinceMs,
                });
            },
            onClosed: (reason, heldBytes) => {
                context.metrics.closedConnections.inc({ reason });
                context.log.decision("connection closed", { reason, heldBytes, connections: callers.openConnections });
            },
        },
        { ...bounds, times: () => ({ headMs: limits().headerTimeoutMs, idleMs: limits().idleTimeoutMs }) },
        context.scope,
    );
    server.on("clientError", (error, socket) => {
        context.log.decision("malformed request", { reason: error.message });
        socket.destroy();
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(listen.port, listen.address, resolve);
    });
    context.scope.defer(() => {
        server.close();
        callers.cutOffAll();
    });
    return {
        openRequests: () => callers.openRequests.map(idOf),
        disableKeepAlive: () => callers.disableKeepAlive(),
        openConnections: () => callers.openConnections,
        stopAccepting: (idleMs) => {
            callers.stopAccepting();
            callers.closeIdle(idleMs);
        },
    };
}

/** Ends a request that failed on an internal error. Other requests continue, unless an invariant is broken. */
function handleInternalError(context: contexts.GatewayContext, response: http.ServerResponse, error: unknown): void {
    background.throwBrokenInvariant(error);
    context.log.failure("handle request", error);
    response.destroy();
}

async function handleRequest(
    context: contexts.GatewayContext,
    models: handlers.ModelRequestHandler,
    limits: routing.CallerLimits,
    relay: RelayServerOptions | undefined,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<void> {
    const startedAt = context.clock();
    const metadata = context.wireFormat.parseRequest(request.headers);
    const refuse = (status: number, reason: exchanges.FinalReason, retryAfterMs?: decision.Milliseconds) => {
        context.log.decision("request refused", { requestId: metadata.requestId, status, reason });
        context.metrics.requests.inc({ service: "", outcome: reason });
        context.sendRefusal(response, metadata.requestId, { status, reason, retryAfterMs });
    };
    const refuseAndClose: typeof refuse = (status, reason, retryAfterMs) => {
        response.shouldKeepAlive = false;
        refuse(status, reason, retryAfterMs);
    };
    const problem = heads.findMalformedHeader(request.rawHeaders)
        ?? (request.headers.host === undefined && request.httpVersion === "1.1" ? "no host" : undefined);
    if (problem !== undefined) {
        context.log.decision("malformed request", { requestId: metadata.requestId, reason: problem });
        refuseAndClose(400, exchanges.FinalReason.BadRequest);
        return;
    }
    // The host that relayed a request has checked it against the limits.
    if (!relay && headerSizeBytes(request) > limits.headerBytes) {
        refuseAndClose(431, exchanges.FinalReason.HeadersTooLong);
        return;
    }
    const body = await readBody(
        request,
        connections.memoryOf(request) ?? NO_MEMORY,
        limits.bodyBytes,
        Math.min(metadata.timeoutMs ?? Infinity, BODY_TIMEOUT_MS),
        (callback) => context.hostStop.onLastAnswers(callback),
    );
    if (body === BodyProblem.TooLong) {
        refuseAndClose(413, exchanges.FinalReason.BodyTooLong);
        return;
    }
    if (body === BodyProblem.NoMemory) {
        const retryAfterMs = NO_MEMORY_RETRY_AFTER_MS * (0.5 + context.random());
        refuseAndClose(503, exchanges.FinalReason.NoCapacity, retryAfterMs);
        return;
    }
    if (body === BodyProblem.TimedOut) {
        refuseAndClose(408, exchanges.FinalReason.TimedOut);
        return;
    }
    if (body === BodyProblem.HostStopping) {
        refuseAndClose(503, exchanges.FinalReason.HostStopping, context.hostStop.retryAfterMs());
        return;
    }
    if (body === BodyProblem.Broken) {
        return;
    }
    const active = context.storeView.activeConfiguration();
    if (!active || (relay && !relay.accepts(request, active.table.configuration.version))) {
        refuse(503, exchanges.FinalReason.NotReady, NOT_READY_RETRY_AFTER_MS);
        return;
    }
    const route = routing.findRoute(active.table, request.headers.host ?? "", request.url ?? "/");
    const service = route ? routing.pickTarget(route, context.random()) : undefined;
    if (!route || service === undefined) {
        refuse(404, exchanges.FinalReason.NoRoute);
        return;
    }
    const check = routing.checkKey(active.table, route, metadata.key);
    if (check.access === routing.Access.Denied) {
        refuse(401, exchanges.FinalReason.KeyDenied);
        return;
    }
    const workspace = check.access === routing.Access.Granted ? check.workspace : undefined;
    const exchange = new exchanges.Exchange(
        context,
        request,
        response,
        metadata,
        route,
        service,
        workspace,
        body,
        quarantines.fingerprintsOf(service, request.url ?? "", workspace?.name, body, metadata.sharedPromptParts),
        active.table.configuration.version,
        startedAt,
    );
    if (exchange.refuseIfBarred() || exchange.refuseIfStopping()) {
        return;
    }
    if (context.reachability.stateOf(service) !== dispatch.Reachability.Reachable && await serveElsewhere(exchange)) {
        return;
    }
    exchange.countForRetries();
    if (!(await charges.chargeWorkspace(exchange, active.table.configuration.version)) || exchange.isOver) {
        return;
    }
    await (route.generative ? models.handle(exchange) : plain.servePlainRequest(exchange));
}

/** Serves a request whose upstreams this host cannot reach through another host. Returns whether it is over. */
async function serveElsewhere(exchange: exchanges.Exchange): Promise<boolean> {
    const { context, service } = exchange;
    if (await context.relay.relay(exchange)) {
        return true;
    }
    if (exchange.isRelayed || context.reachability.stateOf(service) === dispatch.Reachability.Lost) {
        exchange.refuse({
            status: 503,
            reason: exchanges.FinalReason.Unreachable,
            retryAfterMs: UNREACHABLE_RETRY_AFTER_MS * (0.5 + context.random()),
        });
        return true;
    }
    return exchange.isOver;
}

function headerSizeBytes(request: http.IncomingMessage): number {
    return request.rawHeaders.reduce((sum, part) => sum + part.length + 2, (request.url ?? "").length);
}

/** For a request of which nothing more is held. */
const NO_MEMORY: bodies.Memory = { tryTake: () => false, release: () => undefined };

enum BodyProblem {
    TooLong = "tooLong",
    NoMemory = "noMemory",
    TimedOut = "timedOut",
    /** This host stops, and has no time to read the rest. */
    HostStopping = "hostStopping",
    /** The caller disconnected before the body was complete. */
    Broken = "broken",
}

/** Reads the body of a request. Undefined if the request has none. */
function readBody(
    request: http.IncomingMessage,
    memory: bodies.Memory,
    limitBytes: number,
    timeoutMs: decision.Milliseconds,
    onLastAnswers: (callback: () => void) => () => void,
): Promise<Buffer | undefined | BodyProblem> {
    const hasBody = request.headers["content-length"] !== undefined
        || request.headers["transfer-encoding"] !== undefined;
    const expectedBytes = Math.min(limitBytes, Number(request.headers["content-length"] ?? 0));
    // A body that will not fit is refused before its bytes come.
    if (!memory.tryTake(expectedBytes)) {
        // With a listener, so that Node does not read and drop the body once the request is answered.
        request.on("data", () => undefined).pause();
        return Promise.resolve(BodyProblem.NoMemory);
    }
    let reservedBytes = expectedBytes;
    return new Promise((resolve) => {
        const collector = new bodies.BodyCollector(limitBytes, {
            tryTake: (bytes) => {
                const reserved = Math.min(reservedBytes, bytes);
                const taken = memory.tryTake(bytes - reserved);
                reservedBytes -= taken ? reserved : 0;
                return taken;
            },
            release: memory.release.bind(memory),
        });
        let finished = false;
        const finish = (result: Buffer | undefined | BodyProblem) => {
            if (!finished) {
                finished = true;
                clearTimeout(timer);
                forgetStop();
                collector.discard();
                memory.release(reservedBytes);
                resolve(result);
            }
        };
        const timer = setTimeout(() => {
            request.pause();
            finish(BodyProblem.TimedOut);
        }, timeoutMs);
        const forgetStop = onLastAnswers(() => {
            request.pause();
            finish(BodyProblem.HostStopping);
        });
        request.on("data", (piece: Buffer) => {
            const added = finished ? bodies.AddResult.Added : collector.add(piece);
            if (added !== bodies.AddResult.Added) {
                request.pause();
                finish(added === bodies.AddResult.TooLong ? BodyProblem.TooLong : BodyProblem.NoMemory);
            }
        });
        request.on("end", () => {
            const body = hasBody && !finished ? collector.finish() : undefined;
            // The pieces were counted with more; the body is held until the response has been sent.
            const isHeld = memory.tryTake(body?.length ?? 0);
            finish(isHeld ? body : BodyProblem.NoMemory);
        });
        request.on("error", () => finish(BodyProblem.Broken));
        request.on("close", () => finish(BodyProblem.Broken));
    });
}
