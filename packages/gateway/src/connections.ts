import type * as bodies from "@citronlead/bodies";
import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as http from "node:http";
import * as net from "node:net";
import type * as garbage from "./garbage.js";
import * as intakes from "./intake.js";

/** Number of requests that may wait on a connection for the response to an earlier one. */
const MAX_WAITING = 32;
/** Time for a peer to close a connection whose last response has been sent. */
const LINGER_MS = 2 * decision.SECOND_MS;

/** Number of requests behind the last response of a connection that are read, so that they can be logged. */
const MAX_DROPPED = 32;
/** Memory that a connection takes, and a request beside its head and body; measured, rounded up. */
const CONNECTION_BYTES = 12_288;
const REQUEST_BYTES = 12_288;
/** Memory that a byte of a head takes, as a part of texts and lists of texts. */
const HEAD_FACTOR = 3;
/** Interval of checks for connections without progress. */
const CHECK_PERIOD_MS = 500;

/** A request with its response, and the memory that is held for both. */
interface Arrival {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly memory: RequestMemory;
}

interface Connection {
    readonly socket: net.Socket;
    readonly intake: intakes.RequestIntake;
    readonly holder: bodies.Holder;
    readonly progress: dispatch.ProgressCheck;
    /** The request that is being served. */
    current: Arrival | undefined;
    readonly waiting: Arrival[];
    /** Whether the caller of that request keeps the connection open. */
    callerKeepsAlive: boolean;
    /** When its latest response ended, or it was opened. */
    idleSince: decision.Milliseconds;
    /** Whether it has had a request. */
    used: boolean;
    /** Whether its last response has begun to end it: later requests cannot be answered. */
    ending: boolean;
    /** Number of requests that arrived behind it. */
    dropped: number;
}

/** How the requests of connections are served, and how it is told of those that are not. */
export interface ConnectionListener {
    readonly serve: (request: http.IncomingMessage, response: http.ServerResponse) => void;
    /** Called with the requests that arrived behind the last response of a connection, or wait on one that is gone. */
    readonly onDropped: (requests: readonly http.IncomingMessage[]) => void;
    /** Called when a connection is closed that its peer keeps open. */
    readonly onClosed: (reason: dispatch.CloseReason, heldBytes: number) => void;
}

/** Bounds of the connections of a server. */
export interface ConnectionLimits {
    readonly maxConnections: number;
    /** The memory for all connections of this process. */
    readonly memory: bodies.HeldMemory;
    readonly bodyGarbage: garbage.BodyGarbage;
    readonly times: () => dispatch.PeerTimes;
}

/** Memory that is held for one request, until its response has been sent. */
class RequestMemory implements bodies.Memory {
    private heldBytes = 0;
    private closed = false;

    constructor(private readonly holder: bodies.Holder, private readonly bodyGarbage: garbage.BodyGarbage) {}

    tryTake(bytes: number): boolean {
        const taken = !this.closed && this.holder.tryTake(bytes);
        this.heldBytes += taken ? bytes : 0;
        return taken;
    }

    release(bytes: number): void {
        // What is let go after the response has been sent must not be taken off what the next request holds.
        if (this.closed) {
            return;
        }
        this.holder.release(bytes);
        this.heldBytes -= bytes;
        this.bodyGarbage.add(bytes);
    }

    releaseAll(): void {
        this.release(this.heldBytes);
        this.closed = true;
    }
}

const requestMemories = new WeakMap<http.IncomingMessage, bodies.Memory>();

/** The memory that is counted for a request until its response has been sent. */
export function memoryOf(request: http.IncomingMessage): bodies.Memory | undefined {
    return requestMemories.get(request);
}

/**
 * The connections of an HTTP server. Requests of a connection are served in turn, and none after its last response: such a
 * request could run without its caller getting an answer. What is held for them is bounded, whatever their peers send.
 */
export class CallerConnections {
    private readonly connections = new Map<net.Socket, Connection>();
    private keepAlive = true;

    constructor(
        private readonly server: http.Server,
        private readonly clock: decision.Clock,
        private readonly listener: ConnectionListener,
        private readonly limits: ConnectionLimits,
        scope: lifecycle.Scope,
    ) {
        server.on("connection", (socket: net.Socket) => this.add(socket));
        server.on("request", (request, response) => this.accept(request, response));
        // Otherwise Node answers a request with an unknown expectation itself, out of turn.
        server.on("checkExpectation", (request, response) => this.accept(request, response));
        lifecycle.every(scope, CHECK_PERIOD_MS, () => this.checkProgress());
    }

    /** The requests that are being served or wait for their turn. */
    get openRequests(): http.IncomingMessage[] {
        return [...this.connections.values()].flatMap(({ current, waiting }) =>
            [...(current ? [current] : []), ...waiting].map(({ request }) => request)
        );
    }

    /** Number of connections that are not closed yet. */
    get openConnections(): number {
        return this.connections.size;
    }

    /**
     * Makes the next response that begins on each connection its last. Where a response has already begun without saying so,
     * that is the one after it, unless the connection is closed while idle.
     */
    disableKeepAlive(): void {
        this.keepAlive = false;
        for (const { current, waiting } of this.connections.values()) {
            if (current && waiting.length === 0 && !current.response.headersSent) {
                current.response.shouldKeepAlive = false;
            }
        }
    }

    /** Stops accepting connections. Unlike `http.Server.close`, does not cut off responses that are still being sent. */
    stopAccepting(): void {
        if (this.server.listening) {
            net.Server.prototype.close.call(this.server);
        }
    }

    /**
     * Ends the connections that have had no request for the given time, once all that was written to them has been sent. A
     * caller that sends its next request as soon as it has a response is not cut off by that.
     */
    closeIdle(idleMs: decision.Milliseconds): void {
        const now = this.clock();
        for (const [socket, connection] of this.connections) {
            if (!connection.current && !connection.ending && now - connection.idleSince >= idleMs) {
                this.end(socket, connection);
            }
        }
    }

    /** Closes all connections at once; an answer that has not left whole does not look complete by it. */
    cutOffAll(): void {
        [...this.connections.values()].forEach(cutOff);
    }

    private add(socket: net.Socket): void {
        if (this.connections.size >= this.limits.maxConnections && !this.closeOne()) {
            this.listener.onClosed(dispatch.CloseReason.TooMany, 0);
            socket.destroy();
            return;
        }
        const holder = this.limits.memory.open(() => this.close(connection, dispatch.CloseReason.HeldMost));
        const connection: Connection = {
            socket,
            holder,
            intake: new intakes.RequestIntake(socket, {
                acceptsMore: () => connection.dropped < MAX_DROPPED,
                onArrival: (bytes) => this.limits.bodyGarbage.add(bytes),
                onHeadBytes: (bytes) => this.takeOrClose(connection, HEAD_FACTOR * bytes),
            }),
            progress: new dispatch.ProgressCheck(CHECK_PERIOD_MS),
            current: undefined,
            waiting: [],
            callerKeepsAlive: true,
            idleSince: this.clock(),
            used: false,
            ending: false,
            dropped: 0,
        };
        this.connections.set(socket, connection);
        socket.on("close", () => {
            this.connections.delete(socket);
            holder.close();
        });
        this.takeOrClose(connection, CONNECTION_BYTES);
    }

    /** Closes the connection that is needed least. Returns false if all are needed. */
    private closeOne(): boolean {
        const uses = [...this.connections.values()].filter(({ socket }) => !socket.destroyed).map((connection) => ({
            connection,
            isBusy: connection.current !== undefined || connection.ending,
            hasPartialHead: connection.intake.partialHeadBytes > 0,
            isStalled: connection.progress.isStalled,
            idleSince: connection.idleSince,
        }));
        const choice = dispatch.chooseToClose(uses);
        if (choice) {
            this.close(choice.connection, dispatch.CloseReason.TooMany);
        }
        return choice !== undefined;
    }

    private takeOrClose(connection: Connection, bytes: number): void {
        if (!connection.holder.tryTake(bytes)) {
            this.close(connection, dispatch.CloseReason.HeldMost);
        }
    }

    private close(connection: Connection, reason: dispatch.CloseReason): void {
        if (!connection.socket.destroyed) {
            this.listener.onClosed(reason, connection.holder.heldBytes);
            connection.ending = true;
            connection.holder.close();
            this.connections.delete(connection.socket);
            cutOff(connection);
        }
    }

    private checkProgress(): void {
        const times = this.limits.times();
        for (const connection of [...this.connections.values()]) {
            const { socket, intake, progress } = connection;
            this.countWaiting(connection);
            const reason = progress.check({
                hasPartialHead: intake.partialHeadBytes > 0 && !socket.isPaused(),
                isUnused: !connection.used && intake.partialHeadBytes === 0,
                unreadBytes: socket.writableLength,
                takenBytes: socket.bytesWritten - socket.writableLength,
            }, times);
            if (reason !== undefined) {
                this.close(connection, reason);
            }
        }
    }

    /** Counts what has arrived and was not parsed, and what the peer has not read. */
    private countWaiting({ socket, intake, holder }: Connection): void {
        holder.setWaiting(intake.unparsedBytes + socket.writableLength);
    }

    private accept(request: http.IncomingMessage, response: http.ServerResponse): void {
        const { socket } = request;
        const connection = this.connections.get(socket);
        const headBytes = connection?.intake.partialHeadBytes ?? 0;
        connection?.intake.onRequest(request);
        if (!connection || connection.ending) {
            if (connection) {
                connection.dropped++;
            }
            this.listener.onDropped([request]);
            return;
        }
        connection.used = true;
        // The bytes of the head have been taken as they arrived; from now on they are the request's.
        connection.holder.release(HEAD_FACTOR * headBytes);
        const memory = new RequestMemory(connection.holder, this.limits.bodyGarbage);
        if (!memory.tryTake(REQUEST_BYTES + HEAD_FACTOR * headBytes)) {
            this.close(connection, dispatch.CloseReason.HeldMost);
            return;
        }
        requestMemories.set(request, memory);
        const arrival = { request, response, memory };
        if (!connection.current) {
            this.serve(socket, connection, arrival);
            return;
        }
        connection.waiting.push(arrival);
        const { response: latest } = connection.current;
        if (!latest.headersSent) {
            latest.shouldKeepAlive = connection.callerKeepsAlive;
        }
        // Those that wait are answered; the caller may send later ones again on a new connection.
        connection.ending = !this.keepAlive || connection.waiting.length >= MAX_WAITING;
    }

    private serve(socket: net.Socket, connection: Connection, arrival: Arrival): void {
        const { request, response, memory } = arrival;
        connection.current = arrival;
        connection.callerKeepsAlive = response.shouldKeepAlive;
        if ((!this.keepAlive || connection.ending) && connection.waiting.length === 0) {
            response.shouldKeepAlive = false;
        }
        response.on("prefinish", () => this.countWaiting(connection));
        response.on("close", () => {
            memory.releaseAll();
            this.onServed(socket, connection, response);
        });
        this.listener.serve(request, response);
    }

    private onServed(socket: net.Socket, connection: Connection, response: http.ServerResponse): void {
        connection.current = undefined;
        connection.idleSince = this.clock();
        if (socket.destroyed || !this.connections.has(socket)) {
            this.drop(connection);
            return;
        }
        if (!response.shouldKeepAlive) {
            this.end(socket, connection);
            return;
        }
        const next = connection.waiting.shift();
        if (next) {
            this.serve(socket, connection, next);
        }
    }

    private end(socket: net.Socket, connection: Connection): void {
        connection.ending = true;
        this.drop(connection);
        socket.end(() => {
            const timer = setTimeout(() => socket.destroy(), LINGER_MS);
            socket.on("close", () => clearTimeout(timer));
        });
    }

    private drop({ waiting }: Connection): void {
        if (waiting.length > 0) {
            this.listener.onDropped(waiting.splice(0).map(({ request }) => request));
        }
    }
}

/** Closes a connection. To callers without chunks, such as those of HTTP/1.0, an end in order would end a part of an answer. */
function cutOff({ current, socket }: Connection): void {
    if (current !== undefined || socket.writableLength > 0) {
        socket.resetAndDestroy();
    }
    else {
        socket.destroy();
    }
}
