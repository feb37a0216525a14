import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import * as answers from "./answer.js";
import type * as parts from "./parts.js";
import * as refusals from "./refusal.js";
import * as reply from "./reply.js";

/** The port for callers. */
export interface Callers {
    /** Tells callers to close their connections after the next answer, as a stop is near. */
    readonly leave: () => void;
    /** Stops accepting connections and resolves when every request has its final answer, or after the longest wait. */
    readonly drain: (longestMs: number) => Promise<void>;
    /** How many requests are under way. */
    readonly open: () => number;
}

/** The requests under way and the connections that they came over. */
interface OpenRequests {
    readonly responses: Set<http.ServerResponse>;
    readonly bySocket: WeakMap<stream.Duplex, http.ServerResponse>;
    readonly idle: (() => void)[];
    leaving: boolean;
}

const KEEP_ALIVE_MS = 60_000;
const LONGEST_CHECK_PERIOD_MS = 1_000;
/** Connections beyond so many for each request that may be open are not accepted. */
const CONNECTIONS_PER_REQUEST = 4;
/** A caller that has not taken the rest of its final answer by then loses its connection. */
const FLUSH_LIMIT_MS = 30_000;

/** Opens the port for callers. */
export async function openCallers(served: parts.Parts): Promise<Callers> {
    const { context } = served;
    const { limits, callers } = context.settings;
    const open: OpenRequests = { responses: new Set(), bySocket: new WeakMap(), idle: [], leaving: false };
    const server = http.createServer({
        maxHeaderSize: limits.headers,
        headersTimeout: limits.headerTimeout,
        // Bodies have their own limit, so that a late one gets a refusal like any other.
        requestTimeout: 0,
        connectionsCheckingInterval: Math.min(limits.headerTimeout, LONGEST_CHECK_PERIOD_MS),
        keepAliveTimeout: KEEP_ALIVE_MS,
    });
    server.maxConnections = CONNECTIONS_PER_REQUEST * limits.openRequests;
    const take = (request: http.IncomingMessage, response: http.ServerResponse, waitsForContinue: boolean) => {
        track(served, open, response);
        const overloaded = open.responses.size > limits.openRequests;
        void answers.answer(served, request, response, { overloaded, waitsForContinue });
    };
    server.on("request", (request, response) => take(request, response, false));
    server.on("checkContinue", (request, response) => take(request, response, true));
    server.on("clientError", (error, socket) => refuseConnection(served, open, error, socket));
    server.on("drop", () => countOutcome(served, refusals.Reason.Overloaded));
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(callers.port, callers.address, resolve);
    });
    context.scope.own(() => server.closeAllConnections());
    const leave = () => {
        open.leaving = true;
        open.responses.forEach((response) => response.shouldKeepAlive = false);
    };
    return {
        leave,
        open: () => open.responses.size,
        drain: async (longestMs) => {
            leave();
            server.close();
            server.closeIdleConnections();
            await waitUntilIdle(open, longestMs);
        },
    };
}

/** Counts a request as under way until its answer has gone out or its connection has broken. */
function track(served: parts.Parts, open: OpenRequests, response: http.ServerResponse): void {
    const { openRequests } = served.context.metrics;
    const { socket } = response.req;
    open.responses.add(response);
    open.bySocket.set(socket, response);
    openRequests.set(open.responses.size);
    if (open.leaving) {
        response.shouldKeepAlive = false;
    }
    response.once("prefinish", () => endLate(response, socket));
    response.once("close", () => {
        open.responses.delete(response);
        openRequests.set(open.responses.size);
        if (open.leaving) {
            closeAfterAnswer(open, response, socket);
        }
        if (open.responses.size === 0) {
            open.idle.splice(0).forEach((callback) => callback());
        }
    });
}

/** Closes a connection whose answer began before the stop, when its head still said keep-alive. */
function closeAfterAnswer(open: OpenRequests, response: http.ServerResponse, socket: net.Socket): void {
    if (open.bySocket.get(socket) === response) {
        socket.end();
    }
}

/** Breaks the connection of a caller that does not take its final answer. */
function endLate(response: http.ServerResponse, socket: net.Socket): void {
    const timer = setTimeout(() => socket.destroy(), FLUSH_LIMIT_MS);
    response.once("close", () => clearTimeout(timer));
}

async function waitUntilIdle(open: OpenRequests, longestMs: number): Promise<void> {
    if (open.responses.size === 0) {
        return;
    }
    await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, longestMs);
        open.idle.push(() => {
            clearTimeout(timer);
            resolve();
        });
    });
}

/** Answers what is no whole HTTP request. A request that is under way on the connection counts its own outcome. */
function refuseConnection(served: parts.Parts, open: OpenRequests, error: Error, socket: stream.Duplex): void {
    const underWay = open.bySocket.get(socket);
    const refusal = connectionRefusal((error as NodeJS.ErrnoException).code);
    const answering = underWay !== undefined && !underWay.writableEnded;
    if (!answering && refusal) {
        countOutcome(served, refusal.reason);
    }
    if (!refusal || !socket.writable || (answering && underWay.headersSent)) {
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

/** The refusal for an error of Node's parser; none for a connection that just broke. */
function connectionRefusal(code: string | undefined): refusals.Refusal | undefined {
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

function countOutcome(served: parts.Parts, outcome: refusals.Reason): void {
    const { metrics, log } = served.context;
    metrics.requests.inc({ workspace: metrics.label(undefined), outcome });
    log.info({ outcome, ran: refusals.Ran.No }, "connection refused");
}
