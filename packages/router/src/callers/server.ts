import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import type * as components from "../components.js";
import * as refusals from "../refusal.js";
import * as handler from "./handler.js";
import * as reply from "./reply.js";

/** The HTTP server that accepts requests from callers. */
export interface CallerServer {
    /** Closes each connection after its next answer, so that callers move to other hosts before the stop. */
    readonly disableKeepAlive: () => void;
    /** Stops accepting connections. Resolves when every request has its final answer, or after the timeout. */
    readonly drain: (timeoutMs: number) => Promise<void>;
    /** The number of requests in flight. */
    readonly openCount: () => number;
}

/** The requests in flight and their connections. */
interface OpenRequests {
    readonly responses: Set<http.ServerResponse>;
    /** The latest response on each connection. */
    readonly responseBySocket: WeakMap<stream.Duplex, http.ServerResponse>;
    /** Called once no request is in flight. */
    readonly idleCallbacks: (() => void)[];
    keepAliveDisabled: boolean;
}

const KEEP_ALIVE_MS = 60_000;
const MAX_CHECK_INTERVAL_MS = 1_000;
/** Limits accepted connections to this multiple of the limit of open requests. */
const CONNECTIONS_PER_REQUEST = 4;
/** How long a caller may take to read the rest of its final answer before its connection is destroyed. */
const FLUSH_TIMEOUT_MS = 30_000;

/** Starts the server for callers. */
export async function startCallerServer(router: components.RouterComponents): Promise<CallerServer> {
    const { context } = router;
    const { limits, callers } = context.settings;
    const open: OpenRequests = {
        responses: new Set(),
        responseBySocket: new WeakMap(),
        idleCallbacks: [],
        keepAliveDisabled: false,
    };
    const server = http.createServer({
        maxHeaderSize: limits.headers,
        headersTimeout: limits.headerTimeout,
        // The request handler limits the time for the body, so that a slow one gets a regular refusal.
        requestTimeout: 0,
        connectionsCheckingInterval: Math.min(limits.headerTimeout, MAX_CHECK_INTERVAL_MS),
        keepAliveTimeout: KEEP_ALIVE_MS,
    });
    server.maxConnections = CONNECTIONS_PER_REQUEST * limits.openRequests;
    const handle = (request: http.IncomingMessage, response: http.ServerResponse, expectsContinue: boolean) => {
        trackResponse(router, open, response);
        const overloaded = open.responses.size > limits.openRequests;
        void handler.handleRequest(router, request, response, { overloaded, expectsContinue });
    };
    server.on("request", (request, response) => handle(request, response, false));
    server.on("checkContinue", (request, response) => handle(request, response, true));
    server.on("clientError", (error, socket) => handleClientError(router, open, error, socket));
    server.on("drop", () => countOutcome(router, refusals.Reason.Overloaded));
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(callers.port, callers.address, resolve);
    });
    context.scope.defer(() => server.closeAllConnections());
    const disableKeepAlive = () => {
        open.keepAliveDisabled = true;
        open.responses.forEach((response) => response.shouldKeepAlive = false);
    };
    return {
        disableKeepAlive,
        openCount: () => open.responses.size,
        drain: async (timeoutMs) => {
            disableKeepAlive();
            server.close();
            server.closeIdleConnections();
            await waitUntilIdle(open, timeoutMs);
        },
    };
}

/** Counts a request as in flight until its answer is sent or its connection closes. */
function trackResponse(router: components.RouterComponents, open: OpenRequests, response: http.ServerResponse): void {
    const { openRequests } = router.context.metrics;
    const { socket } = response.req;
    open.responses.add(response);
    open.responseBySocket.set(socket, response);
    openRequests.set(open.responses.size);
    if (open.keepAliveDisabled) {
        response.shouldKeepAlive = false;
    }
    response.once("prefinish", () => limitFlushTime(response, socket));
    response.once("close", () => {
        open.responses.delete(response);
        openRequests.set(open.responses.size);
        if (open.keepAliveDisabled) {
            closeAfterLastResponse(open, response, socket);
        }
        if (open.responses.size === 0) {
            open.idleCallbacks.splice(0).forEach((callback) => callback());
        }
    });
}

/**
 * Closes a connection after its last answer. Needed for an answer whose headers were sent before the stop began: they
 * still promised keep-alive.
 */
function closeAfterLastResponse(open: OpenRequests, response: http.ServerResponse, socket: net.Socket): void {
    if (open.responseBySocket.get(socket) === response) {
        socket.end();
    }
}

/** Destroys the connection of a caller that does not read its final answer in time. */
function limitFlushTime(response: http.ServerResponse, socket: net.Socket): void {
    const timer = setTimeout(() => socket.destroy(), FLUSH_TIMEOUT_MS);
    response.once("close", () => clearTimeout(timer));
}

async function waitUntilIdle(open: OpenRequests, timeoutMs: number): Promise<void> {
    if (open.responses.size === 0) {
        return;
    }
    await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, timeoutMs);
        open.idleCallbacks.push(() => {
            clearTimeout(timer);
            resolve();
        });
    });
}

/** Answers data that is not a complete HTTP request. A request in flight on the connection counts its own outcome. */
function handleClientError(
    router: components.RouterComponents,
    open: OpenRequests,
    error: Error,
    socket: stream.Duplex,
): void {
    const response = open.responseBySocket.get(socket);
    const refusal = parserErrorRefusal((error as NodeJS.ErrnoException).code);
    const answering = response !== undefined && !response.writableEnded;
    if (!answering && refusal) {
        countOutcome(router, refusal.reason);
    }
    if (!refusal || !socket.writable || (answering && response.headersSent)) {
        socket.destroy();
        return;
    }
    const status = refusals.statusOf(refusal);
    const body = JSON.stringify(refusals.refusalBody(refusal, ""));
    const headers = Object.entries({
        ...reply.refusalHeaders(refusal),
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        "connection": "close",
    });
    const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.end(`HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ""}\r\n${lines}\r\n${body}`, () => socket.destroy());
}

/** The refusal for an error of Node's HTTP parser, or undefined for an error of the connection itself. */
function parserErrorRefusal(code: string | undefined): refusals.Refusal | undefined {
    if (code === "HPE_HEADER_OVERFLOW") {
        return refusals.notRun(refusals.Reason.HeadersTooLarge, "the headers are over their limit");
    }
    if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
        return refusals.notRun(refusals.Reason.RequestTimeout, "the headers did not come in time");
    }
    return code?.startsWith("HPE_")
        ? refusals.notRun(refusals.Reason.BadRequest, "this is no HTTP request")
        : undefined;
}

function countOutcome(router: components.RouterComponents, outcome: refusals.Reason): void {
    const { metrics, log } = router.context;
    metrics.requests.inc({ workspace: metrics.workspaceLabel(undefined), outcome });
    log.info({ outcome, ran: refusals.Ran.No }, "connection refused");
}
