// Stand-in for a server of a plain service.
import { listen, makeRawServer, pause } from "./fleet.mjs";

export class PlainServer {
    /** Called instead of the sound answer if it returns true. */
    spoil = () => false;
    /** Share of the answers of which a second copy is sent late: where the next answer on that connection is expected. */
    extraShare = 0;
    /** Share of the answers to requests that have no length and end with their connection. */
    unframedShare = 0;
    extrasSent = 0;
    lateCopies = new WeakMap();

    constructor({ id, service, zone, slots = 6, workMs = () => 30, onRun }) {
        Object.assign(this, {
            id,
            service,
            zone,
            slots,
            workMs,
            onRun,
            born: Date.now(),
            seqNo: 0,
            open: 0,
            waiting: [],
        });
    }

    async listen() {
        this.server = makeRawServer((request, socket) => this.serve(request, socket));
        this.port = await listen(this.server);
        this.address = `127.0.0.1:${this.port}`;
    }

    close() {
        this.server.close();
    }

    get registration() {
        return {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: "ready",
            cold_left_ms: 0,
            seq_no: ++this.seqNo,
            born: this.born,
        };
    }

    async serve({ headers, method, path }, socket) {
        const requestId = headers["x-citronlead-request-id"];
        const echo = requestId === undefined ? "" : `X-Citronlead-Request-Id: ${requestId}\r\n`;
        const copy = this.lateCopies.get(socket);
        if (copy !== undefined) {
            this.lateCopies.delete(socket);
            this.extrasSent++;
            this.onCopy?.(
                `${this.id} sends the late copy of ${copy.of} before its answer to ${method} ${path} ${
                    requestId ?? ""
                }`,
            );
            socket.write(copy.text);
        }
        const write = (text) => {
            socket.write(text);
            if (Math.random() < this.extraShare) {
                this.lateCopies.set(socket, { of: `${text.slice(9, 12)} to ${method} ${path}`, text });
            }
        };
        if (
            headers["x-citronlead-expect-instance"] !== undefined && headers["x-citronlead-expect-instance"] !== this.id
        ) {
            socket.write(`HTTP/1.1 421 -\r\n${echo}X-Citronlead-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        if (this.open >= this.slots) {
            if (this.waiting.length >= 24) {
                write(`HTTP/1.1 503 -\r\n${echo}X-Citronlead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
                return;
            }
            await new Promise((resolve) => this.waiting.push(resolve));
        }
        this.open++;
        const seal = `X-Citronlead-Server-Seal: ${this.id}.${requestId}\r\n`;
        if (requestId !== undefined) {
            this.onRun(requestId, this.id);
        }
        await pause(this.workMs());
        this.open--;
        this.waiting.shift()?.();
        if (socket.destroyed || (requestId !== undefined && this.spoil(requestId, socket, echo + seal))) {
            return;
        }
        const body = `${requestId} ${method} ${path} ${"y".repeat(700)}`;
        const head = `HTTP/1.1 200 OK\r\n${echo}${seal}X-Citronlead-Instance-Id: ${this.id}\r\n`;
        if (requestId !== undefined && Math.random() < this.unframedShare) {
            socket.end(`${head}Connection: close\r\n\r\n${body}`);
            return;
        }
        write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
    }
}

/** Writes a piece to a connection again and again until it is closed, so many bytes a second at most. */
export function writeWithoutEnd(socket, head, piece, bytesPerSecond, onClose) {
    const PERIOD_MS = 10;
    const block = Buffer.from(piece.repeat(Math.ceil(bytesPerSecond * PERIOD_MS / 1_000 / piece.length)));
    let bytes = 0;
    socket.write(head);
    const timer = setInterval(() => {
        // What the caller has not read yet is not piled up here.
        if (socket.writableLength < block.length) {
            socket.write(block);
            bytes += block.length;
        }
    }, PERIOD_MS);
    socket.once("close", () => {
        clearInterval(timer);
        onClose(bytes);
    });
}
