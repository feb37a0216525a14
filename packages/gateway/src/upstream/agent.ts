import type * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";

/** Timeout of opening a connection; the latency between hosts and upstreams is about a millisecond. */
const CONNECT_TIMEOUT_MS = 350;
/** Message of the error that ends such a connection. */
export const CONNECT_TIMEOUT_REASON = "connect timeout";
/** Maximum idle time of a connection, also if the upstream announces none or a longer one. */
const MAX_IDLE_MS = 10_000;
/**
 * Margin by which a connection is closed before the upstream closes it, since the announced time is in whole seconds.
 */
const IDLE_MARGIN_MS = 1_000;
/** Requests and answers of which a connection keeps the ids: a late copy of an answer comes in place of the next answers. */
const MAX_KEPT_IDS = 32;
/** Length beyond which ids are not kept. */
const MAX_ID_LENGTH = 128;

/** Incarnations of which it is kept that they end responses with their connection. */
const MAX_ENDING_INCARNATIONS = 1_024;

interface ConnectionState {
    /** Maximum idle time; 0 if the connection must not be reused. */
    maxIdleMs: decision.Milliseconds;
    /** Ids of the latest requests on the connection, oldest first. */
    readonly carriedIds: string[];
    /** When it was established; undefined until it is. */
    connectedAt: decision.Milliseconds | undefined;
    /** What the latest answers on the connection have granted, oldest first. */
    readonly grants: string[];
}

/** Connections are pooled by incarnation, so that those of a previous incarnation are never used for a new one. */
export interface UpstreamRequestOptions extends http.RequestOptions {
    readonly incarnation: string;
}

/** Pools connections to upstreams. Bytes that arrive on an idle connection close it. */
export class UpstreamAgent extends http.Agent {
    private readonly connections = new WeakMap<stream.Duplex, ConnectionState>();
    private readonly endingIncarnations = new Set<string>();

    constructor(
        private readonly onConnection: () => void,
        keepAlive = true,
        private readonly clock: decision.Clock = lifecycle.monotonicClock,
    ) {
        super({ keepAlive, scheduling: "lifo" });
    }

    override getName(options?: object): string {
        return (options as UpstreamRequestOptions | undefined)?.incarnation ?? "";
    }

    override createConnection(options: http.ClientRequestArgs): stream.Duplex {
        this.onConnection();
        const socket = net.connect({ host: options.host ?? "", port: Number(options.port), noDelay: true });
        const timer = setTimeout(() => socket.destroy(new Error(CONNECT_TIMEOUT_REASON)), CONNECT_TIMEOUT_MS);
        socket.once("connect", () => {
            clearTimeout(timer);
            this.stateOf(socket).connectedAt = this.clock();
        });
        socket.once("close", () => clearTimeout(timer));
        // A request that is aborted as its response ends has removed its listener by the time the error is emitted.
        socket.on("error", () => undefined);
        return socket;
    }

    override keepSocketAlive(socket: stream.Duplex): boolean {
        const { maxIdleMs } = this.stateOf(socket);
        if (maxIdleMs <= 0 || !(socket instanceof net.Socket) || socket.destroyed) {
            return false;
        }
        socket.setKeepAlive(true);
        socket.unref();
        socket.setTimeout(maxIdleMs);
        socket.on("data", destroyIdle);
        return true;
    }

    override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
        socket.off("data", destroyIdle);
        if (socket instanceof net.Socket) {
            socket.setTimeout(0);
        }
        super.reuseSocket(socket, request);
    }

    /** Records how long the upstream keeps the connection of a response open when idle. */
    recordKeepAlive(socket: stream.Duplex, headers: http.IncomingHttpHeaders): void {
        const state = this.stateOf(socket);
        if (state.maxIdleMs <= 0) {
            return;
        }
        const seconds = /timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""))?.[1];
        const maxIdleMs = seconds === undefined ? MAX_IDLE_MS : Number(seconds) * 1_000 - IDLE_MARGIN_MS;
        state.maxIdleMs = Math.min(MAX_IDLE_MS, Math.max(0, maxIdleMs));
    }

    /** Records that a connection carries a request with this id. */
    recordRequest(socket: stream.Duplex, id: string): void {
        keepId(this.stateOf(socket).carriedIds, id);
    }

    /**
     * Records what an answer on a connection grants. Returns false if one before it has granted the same, so that this is a copy; the
     * answer that is due comes after it, and the connection is closed.
     */
    recordGrant(socket: stream.Duplex, id: string): boolean {
        const state = this.stateOf(socket);
        if (state.grants.includes(id)) {
            state.maxIdleMs = 0;
            this.closeIfIdle(socket);
            return false;
        }
        keepId(state.grants, id);
        return true;
    }

    /** Whether an idle connection to the incarnation has carried, or may have carried, a request with this id. */
    mayHaveCarried(incarnation: string, id: string): boolean {
        return id.length > MAX_ID_LENGTH
            || this.freeSockets[incarnation]?.some((socket) => this.stateOf(socket).carriedIds.includes(id)) === true;
    }

    /** Closes the idle connections of an incarnation. */
    closeIdle(incarnation: string): void {
        this.idleTo(incarnation).forEach((socket) => socket.destroy());
    }

    /** Records that an upstream has ended a response with its connection. */
    recordEndWithConnection(incarnation: string): void {
        if (this.endingIncarnations.size >= MAX_ENDING_INCARNATIONS) {
            this.endingIncarnations.clear();
        }
        this.endingIncarnations.add(incarnation);
    }

    /** Whether an upstream has ended a response with its connection. */
    endsWithConnections(incarnation: string): boolean {
        return this.endingIncarnations.has(incarnation);
    }

    /** When a connection was established; undefined if it has not been. */
    connectedAt(socket: stream.Duplex): decision.Milliseconds | undefined {
        return this.stateOf(socket).connectedAt;
    }

    /** Whether an idle connection to an incarnation is open that was established before a time. */
    hasIdleSince(incarnation: string, time: decision.Milliseconds): boolean {
        return this.idleTo(incarnation).some((socket) =>
            (this.connectedAt(socket) ?? Infinity) < time && !socket.destroyed && !socket.readableEnded
        );
    }

    /** Name of the pool for a probe: one connection is kept for probes, so that it is older than the next answer. */
    probePoolOf(incarnation: string): string {
        const pool = probePool(incarnation);
        return (this.sockets[pool]?.length ?? 0) > 0 ? incarnation : pool;
    }

    private idleTo(incarnation: string): readonly net.Socket[] {
        return [...this.freeSockets[incarnation] ?? [], ...this.freeSockets[probePool(incarnation)] ?? []];
    }

    private closeIfIdle(socket: stream.Duplex): void {
        if (Object.values(this.freeSockets).some((sockets) => sockets?.some((idle) => idle === socket))) {
            socket.destroy();
        }
    }

    private stateOf(socket: stream.Duplex): ConnectionState {
        const state = this.connections.get(socket)
            ?? { maxIdleMs: MAX_IDLE_MS, carriedIds: [], grants: [], connectedAt: undefined };
        this.connections.set(socket, state);
        return state;
    }
}

function probePool(incarnation: string): string {
    return `${incarnation} probe`;
}

function keepId(ids: string[], id: string): void {
    if (id.length <= MAX_ID_LENGTH) {
        ids.push(id);
    }
    if (ids.length > MAX_KEPT_IDS) {
        ids.shift();
    }
}

function destroyIdle(this: stream.Duplex): void {
    this.destroy();
}
