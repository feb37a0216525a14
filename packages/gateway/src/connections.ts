import * as decision from "@citronlead/decision";
import * as http from "node:http";
import * as net from "node:net";

/** Number of requests that may wait on a connection for the response to an earlier one. */
const MAX_WAITING = 32;
/** Time for a peer to close a connection whose last response has been sent. */
const LINGER_MS = 2 * decision.SECOND_MS;

/** A request with its response. */
interface Arrival {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
}

interface Connection {
    /** The request that is being served. */
    current: Arrival | undefined;
    readonly waiting: Arrival[];
    /** Whether the caller of that request keeps the connection open. */
    callerKeepsAlive: boolean;
    /** When its latest response ended, or it was opened. */
    idleSince: decision.Milliseconds;
    /** Whether its last response has begun to end it: later requests cannot be answered. */
    ending: boolean;
}

/** How the requests of connections are served, and how it is told of those that are not. */
export interface ConnectionListener {
    readonly serve: (request: http.IncomingMessage, response: http.ServerResponse) => void;
    /** Called with the requests that arrived behind the last response of a connection, or wait on one that is gone. */
    readonly onDropped: (requests: readonly http.IncomingMessage[]) => void;
}

/**
 * The connections of an HTTP server. Requests of a connection are served in turn, and none after its last response: such a
 * request could run without its caller getting an answer.
 */
export class CallerConnections {
    private readonly connections = new Map<net.Socket, Connection>();
    private keepAlive = true;

    constructor(
        private readonly server: http.Server,
        private readonly clock: decision.Clock,
        private readonly listener: ConnectionListener,
    ) {
        server.on("connection", (socket: net.Socket) => this.add(socket));
        server.on("request", (request, response) => this.accept({ request, response }));
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

    private add(socket: net.Socket): void {
        this.connections.set(socket, {
            current: undefined,
            waiting: [],
            callerKeepsAlive: true,
            idleSince: this.clock(),
            ending: false,
        });
        socket.on("close", () => this.connections.delete(socket));
    }

    private accept(arrival: Arrival): void {
        const { socket } = arrival.request;
        const connection = this.connections.get(socket);
        if (!connection || connection.ending) {
            this.listener.onDropped([arrival.request]);
            return;
        }
        if (!connection.current) {
            this.serve(socket, connection, arrival);
            return;
        }
        connection.waiting.push(arrival);
        const { response } = connection.current;
        if (!response.headersSent) {
            response.shouldKeepAlive = connection.callerKeepsAlive;
        }
        // Those that wait are answered; the caller may send later ones again on a new connection.
        connection.ending = !this.keepAlive || connection.waiting.length >= MAX_WAITING;
    }

    private serve(socket: net.Socket, connection: Connection, arrival: Arrival): void {
        const { request, response } = arrival;
        connection.current = arrival;
        connection.callerKeepsAlive = response.shouldKeepAlive;
        if ((!this.keepAlive || connection.ending) && connection.waiting.length === 0) {
            response.shouldKeepAlive = false;
        }
        response.on("close", () => this.onServed(socket, connection, response));
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
