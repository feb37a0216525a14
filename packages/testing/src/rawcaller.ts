import * as net from "node:net";

/** Time after a host's end of a connection until the caller ends it too; it goes on sending meanwhile. */
const HALF_OPEN_MS = 200;
/** Number of pieces of a body, and the time between them. */
const PIECE_COUNT = 4;
const PIECE_INTERVAL_MS = 60;

/** How a caller sends the body of a request. */
export enum BodyFraming {
    WithLength = "with a length",
    ChunkedPieces = "in chunks, in pieces",
}

/** A request as a caller writes it. */
export interface RawRequest {
    readonly path: string;
    /** Header lines, without the framing of the body. */
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly framing: BodyFraming;
}

/** A response as it arrived on a connection. */
export interface RawResponse {
    readonly status: number;
    /** Header lines, as received. */
    readonly head: string;
    readonly body: string;
    /** Whether it is complete by its framing. */
    readonly isWhole: boolean;
}

/** A caller with one connection of its own, which it does not end as soon as the host does. */
export class RawCaller {
    received = "";
    readonly socket: net.Socket;
    readonly closed: Promise<void>;

    constructor(port: number) {
        this.socket = net.connect({ host: "127.0.0.1", port, allowHalfOpen: true });
        this.socket.on("data", (bytes: Buffer) => this.received += bytes.toString("latin1"));
        this.socket.on("end", () => setTimeout(() => this.socket.end(), HALF_OPEN_MS));
        this.socket.on("error", () => undefined);
        this.closed = new Promise((resolve) => this.socket.on("close", () => resolve()));
    }

    /** Writes a POST request. */
    async send({ path, headers, body, framing }: RawRequest): Promise<void> {
        const withLength = framing === BodyFraming.WithLength;
        const lines = Object.entries({
            ...headers,
            ...(withLength ? { "Content-Length": String(body.length) } : { "Transfer-Encoding": "chunked" }),
        }).map(([name, value]) => `${name}: ${value}\r\n`);
        this.socket.write(`POST ${path} HTTP/1.1\r\n${lines.join("")}\r\n${withLength ? body : ""}`);
        if (withLength) {
            return;
        }
        const size = Math.ceil(body.length / PIECE_COUNT);
        for (let start = 0; start < body.length; start += size) {
            await new Promise((resolve) => setTimeout(resolve, PIECE_INTERVAL_MS));
            const piece = body.slice(start, start + size);
            this.socket.write(`${piece.length.toString(16)}\r\n${piece}\r\n`);
        }
        this.socket.write("0\r\n\r\n");
    }

    /** Waits until a text has been received, or the connection has ended. */
    async waitFor(text: string): Promise<void> {
        while (!this.received.includes(text) && !this.socket.closed) {
            await new Promise((resolve) => setTimeout(resolve, 2));
        }
    }

    /** The responses so far, in turn. */
    get responses(): RawResponse[] {
        const texts = this.received.split(/(?=HTTP\/1\.1 \d{3} )/).filter((text) => text !== "");
        return texts.map((text) => {
            const headEnd = text.indexOf("\r\n\r\n") + 4;
            const [head, body] = [text.slice(0, headEnd), text.slice(headEnd)];
            const length = /^content-length: (\d+)\r$/im.exec(head)?.[1];
            const isWhole = headEnd > 3
                && (length === undefined ? body.endsWith("0\r\n\r\n") : body.length === Number(length));
            return { status: Number(text.slice(9, 12)), head, body, isWhole };
        });
    }

    /** The response that bears a header line. */
    responseWith(line: string): RawResponse | undefined {
        return this.responses.find(({ head }) => head.toLowerCase().includes(`${line.toLowerCase()}\r\n`));
    }
}
