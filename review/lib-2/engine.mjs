// Stand-ins for model engines and plain servers, by the page on the protocol.
import http from "node:http";

let lastId = 0;

/** A server of a service. `run` gets each request that it runs; the other calls are answered here. */
export class Server {
    constructor(record, { service, address, port = 8080, stage, zone = "braga-a", slots = 128, run }) {
        this.record = record;
        this.service = service;
        this.address = address;
        this.port = port;
        this.stage = stage;
        this.zone = zone;
        this.slots = slots;
        this.run = run;
        this.id = `i-${(0x1000 + ++lastId).toString(16)}`;
        this.born = Date.now();
        this.holds = new Set();
        this.runs = [];
    }

    get registration() {
        return {
            service: this.service,
            address: `${this.address}:${this.port}`,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: "ready",
            cold_left_ms: 0,
            seq_no: 1,
            born: this.born,
            ...(this.stage === undefined
                ? {}
                : { stage: this.stage, models: [{ name: "m", version: 1, adapters: [] }] }),
        };
    }

    async listen() {
        this.server = http.createServer((request, response) => {
            const parts = [];
            request.on("data", (part) => parts.push(part));
            request.on("end", () => this.serve(request, response, Buffer.concat(parts)));
            request.on("error", () => undefined);
            response.on("error", () => undefined);
        });
        this.server.keepAliveTimeout = 10_000;
        await new Promise((resolve) => this.server.listen(this.port, this.address, resolve));
        return this;
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    serve(request, response, body) {
        const { method, url, headers } = request;
        const requestId = headers["x-citronlead-request-id"];
        const named = requestId === undefined ? {} : { "X-Citronlead-Request-Id": requestId };
        const json = (status, value) => {
            const text = JSON.stringify(value);
            response.writeHead(status, { ...named, "Content-Type": "application/json", "Content-Length": text.length });
            response.end(text);
        };
        const expected = headers["x-citronlead-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            return json(421, {});
        }
        if (url === "/health") {
            response.writeHead(200, { "X-Citronlead-Instance-Id": this.id, "Content-Length": 0 });
            return response.end();
        }
        if (url === "/-/report") {
            return json(200, {
                stage: this.stage,
                models: [{ name: "m", version: 1, adapters: [] }],
                busy: false,
                seq_no: 0,
                waiting: 0,
                running: 0,
                kv_used: 0,
                kv_total: 53_213,
                kv_handles: 0,
            });
        }
        if (method === "POST" && url === "/-/hold-take") {
            const hold = `h${++lastId}`;
            this.holds.add(hold);
            return json(200, { hold });
        }
        if (method === "DELETE" && url.startsWith("/-/")) {
            return json(200, {});
        }
        if (headers["x-citronlead-stage"] === "prefill") {
            return json(200, { kv_handle: `k${++lastId}`, tokens: 5_200, version: 1 });
        }
        this.runs.push(requestId);
        return this.run({ request, response, body, requestId, named, server: this });
    }
}

export const SEAL = "X-Citronlead-Server-Seal";

/** Headers of an answer that the server has made itself. */
export function sealed(named, more = {}) {
    return { ...named, [SEAL]: "3e1b.07.5a2.600.0.c9f2a4d1", ...more };
}
