// Stand-in for a model engine of one stage. It reserves memory, prefills, streams, and may send a second copy of an answer
// late: where the next answer on that connection is expected.
import { randomBytes } from "node:crypto";
import { listen, makeRawServer, pause } from "./fleet.mjs";

/** The results of prefills that engines keep, as IP:PORT/HANDLE. */
const keptHandles = new Set();
/** `kv_hold_s`. */
const HANDLE_TTL_MS = 500;

/** A name as in the pages' examples. */
const makeHandle = () => randomBytes(6).toString("hex");

export class Engine {
    /** Tokens of running requests and of reservations. */
    used = 0;
    holds = new Map();
    /** Share of the answers of runs of which a second copy is sent late. */
    extraShare = 0;
    /** Share of all other answers, such as those to reservations and prefills, of which a second copy is sent late. */
    controlExtraShare = 0;
    extrasSent = 0;
    lateCopies = new WeakMap();

    constructor({ id, stage, service, zone, kvTokens, controlMs, onRun, record }) {
        Object.assign(this, { id, stage, service, zone, kvTokens, controlMs, onRun, record, seqNo: 0 });
    }

    /** Version of its software. */
    version = "v1";
    born = Date.now();
    sockets = new Set();
    /** Time between the events of a stream. */
    eventMs = 48;

    async listen() {
        this.server = makeRawServer((request, socket) => this.serve(request, socket));
        this.server.on("connection", (socket) => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        this.port = await listen(this.server);
        this.address = `127.0.0.1:${this.port}`;
    }

    /** Ends: its connections close, and new ones are refused. */
    crash() {
        this.down = true;
        this.server.close();
        this.sockets.forEach((socket) => socket.destroy());
        this.used = 0;
        this.holds.clear();
    }

    /** Starts again under its id and address, with a version of its software. */
    async restart(version) {
        this.version = version;
        this.born = Date.now();
        this.seqNo = 0;
        await new Promise((resolve) => this.server.listen(this.port, "127.0.0.1", resolve));
        this.down = false;
    }

    close() {
        this.server.close();
    }

    get registration() {
        return {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: this.version,
            slots: 128,
            state: "ready",
            cold_left_ms: 0,
            stage: this.stage,
            models: [{ name: "m", version: 1, adapters: [] }],
            seq_no: ++this.seqNo,
            born: this.born,
        };
    }

    async serve(request, socket) {
        const { headers, method, path } = request;
        const requestId = headers["x-citronlead-request-id"];
        const echo = requestId === undefined ? "" : `X-Citronlead-Request-Id: ${requestId}\r\n`;
        const answer = (status, extraHeaders = "", body = "") => {
            const text = `HTTP/1.1 ${status} -\r\n${echo}${extraHeaders}Content-Length: ${body.length}\r\n\r\n${body}`;
            if (!socket.destroyed) {
                socket.write(text);
                if (Math.random() < this.controlExtraShare) {
                    this.lateCopies.set(socket, { requestId: `${status} to ${method} ${path}`, text });
                }
            }
        };
        const copy = this.lateCopies.get(socket);
        if (copy !== undefined) {
            this.lateCopies.delete(socket);
            this.extrasSent++;
            this.record.write(
                `${this.id} sends the late copy of ${copy.requestId} before its answer to ${method} ${path} ${
                    requestId ?? ""
                }`,
            );
            socket.write(copy.text);
        }
        if (
            headers["x-citronlead-expect-instance"] !== undefined && headers["x-citronlead-expect-instance"] !== this.id
        ) {
            answer(421, `X-Citronlead-Instance-Id: ${this.id}\r\n`);
            return;
        }
        const json = "Content-Type: application/json\r\n";
        if (path === "/-/hold-take") {
            await pause(this.controlMs);
            const { tokens, ttl_ms: ttlMs } = JSON.parse(request.body.toString());
            if (this.used + tokens > this.kvTokens) {
                answer(503, "X-Citronlead-Not-Executed: 1\r\n");
                return;
            }
            const hold = makeHandle();
            this.used += tokens;
            this.holds.set(hold, tokens);
            setTimeout(() => this.dropHold(hold), ttlMs);
            const body = Buffer.from(JSON.stringify({ hold }));
            answer(200, json, this.spoilHold?.(body.toString()) ?? body.toString());
            return;
        }
        if (path.startsWith("/-/")) {
            await pause(this.controlMs);
            this.dropHold(path.split("/").at(-1));
            answer(200, json, "{}");
            return;
        }
        if (headers["x-citronlead-stage"] === "prefill") {
            this.onPrefill?.(requestId);
            await pause(Number(headers["x-citronlead-token-counts"].split(",")[0]) / 55);
            const handle = makeHandle();
            const source = `${this.address}/${handle}`;
            keptHandles.add(source);
            setTimeout(() => keptHandles.delete(source), HANDLE_TTL_MS);
            const body = JSON.stringify({ kv_handle: handle, tokens: 1, version: 1 });
            answer(200, json, this.spoilPrefill?.(requestId, body) ?? body);
            return;
        }
        const source = headers["x-citronlead-kv-source"];
        if (source !== undefined && !keptHandles.delete(source)) {
            this.record.write(`${this.id} can't fetch ${source} for ${requestId}`);
            answer(503, "X-Citronlead-Not-Executed: 1\r\n");
            return;
        }
        const signature = `X-Citronlead-Server-Seal: ${this.id}.${requestId}\r\nX-Citronlead-Weight-Versions: 1\r\n`;
        if (this.spoil?.(requestId, socket, echo + signature)) {
            return;
        }
        await this.stream(request, socket, requestId, echo + signature);
    }

    dropHold(hold) {
        this.used = Math.max(0, this.used - (this.holds.get(hold) ?? 0));
        this.holds.delete(hold);
    }

    async stream({ headers }, socket, requestId, signedHeaders) {
        const [prompt, output] = headers["x-citronlead-token-counts"].split(",").map(Number);
        const hold = headers["x-citronlead-kv-hold"];
        if (hold !== undefined) {
            this.dropHold(hold);
        }
        const tokens = prompt + output;
        this.used += tokens;
        let text = `HTTP/1.1 200 OK\r\n${signedHeaders}`
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        const count = Math.max(2, Math.round(output / 11));
        let written = 0;
        const first = Number(headers["last-event-id"] ?? 0) + 1;
        const { version } = this;
        for (let index = first; index <= count && !socket.destroyed; index++) {
            await pause(index === first ? 40 : this.eventMs);
            const event = `id: ${index}\ndata: ${requestId} ${index} ${version}\n\n`;
            text += `${event.length.toString(16)}\r\n${event}\r\n`;
            if (index === first && !socket.destroyed) {
                this.onRun(requestId, this.id);
            }
            if (!socket.destroyed) {
                socket.write(text.slice(written));
                written = text.length;
            }
        }
        this.used = Math.max(0, this.used - tokens);
        if (!socket.destroyed) {
            text += "0\r\n\r\n";
            socket.write(text.slice(written));
            if (Math.random() < this.extraShare) {
                this.lateCopies.set(socket, { requestId, text });
            }
        }
    }
}
