import type * as http from "node:http";
import type * as net from "node:net";

/** Most bytes of a head, or of a body in chunks, that are parsed at a time. */
const MAX_PIECE_BYTES = 2_048;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NO_BYTES = Buffer.alloc(0);

/** What the intake of a connection asks and tells. */
export interface IntakeListener {
    /** Whether the requests in further bytes are taken; what arrives is dropped otherwise. */
    readonly acceptsMore: () => boolean;
    /** Called with the number of bytes that have arrived. */
    readonly onArrival: (bytes: number) => void;
    /** Called with the number of bytes of a head before they are parsed. */
    readonly onHeadBytes: (bytes: number) => void;
}

/**
 * Parses the bytes of a connection up to the end of the next head at a time. Node parses all requests that arrive together
 * at once: thousands of small ones, before any has been answered.
 */
export class RequestIntake {
    private rest: Buffer = NO_BYTES;
    private headBytes = 0;
    private newest: http.IncomingMessage | undefined;
    /** Length of the newest request's body that has not been parsed; undefined if it comes in chunks. */
    private bodyLeft: number | undefined;
    private readonly parse: (bytes: Buffer) => void;

    /** Takes the bytes of a connection that an HTTP server has just accepted. */
    constructor(private readonly socket: net.Socket, private readonly listener: IntakeListener) {
        const [parse] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        this.parse = parse ?? (() => undefined);
        socket.on("data", (bytes: Buffer) => this.push(bytes));
        socket.off("data", this.parse);
        socket.on("resume", () => this.parseRest());
    }

    /** Number of bytes that have arrived and are not parsed. */
    get unparsedBytes(): number {
        return this.rest.length + this.socket.readableLength;
    }

    /** Number of bytes of a head that is not whole. */
    get partialHeadBytes(): number {
        return this.headBytes;
    }

    /** Records a request whose head the bytes just parsed have ended. */
    onRequest(request: http.IncomingMessage): void {
        this.headBytes = 0;
        this.newest = request;
        this.bodyLeft = request.headers["transfer-encoding"] === undefined
            ? Number(request.headers["content-length"] ?? 0)
            : undefined;
    }

    private push(bytes: Buffer): void {
        this.listener.onArrival(bytes.length);
        this.rest = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
        this.parseRest();
    }

    private parseRest(): void {
        while (this.rest.length > 0 && !this.socket.destroyed && !this.socket.isPaused()) {
            if (!this.listener.acceptsMore()) {
                this.rest = NO_BYTES;
                return;
            }
            const isHead = !this.newest || this.newest.complete;
            const piece = this.rest.subarray(0, this.nextLength(isHead));
            // A view of no bytes would keep all that arrived with them.
            this.rest = piece.length === this.rest.length ? NO_BYTES : this.rest.subarray(piece.length);
            if (isHead && (this.headBytes > 0 || !isBlank(piece))) {
                this.headBytes += piece.length;
                this.listener.onHeadBytes(piece.length);
            }
            this.parse(piece);
        }
    }

    private nextLength(isHead: boolean): number {
        const { rest } = this;
        if (isHead) {
            return endOfHead(rest.subarray(0, MAX_PIECE_BYTES));
        }
        if (this.bodyLeft === undefined) {
            return Math.min(rest.length, MAX_PIECE_BYTES);
        }
        const length = Math.min(rest.length, Math.max(1, this.bodyLeft));
        this.bodyLeft -= length;
        return length;
    }
}

/** The end of the first empty line; that of the bytes if there is none. */
function endOfHead(bytes: Buffer): number {
    for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
        const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
        if (bytes[next] === LINE_FEED) {
            return next + 1;
        }
    }
    return bytes.length;
}

/** Whether bytes are line ends alone, which may stand before a head. */
function isBlank(bytes: Buffer): boolean {
    return bytes.every((byte) => byte === LINE_FEED || byte === CARRIAGE_RETURN);
}
