// A sound server of a plain service: it runs each request once, answers with its seal, and registers in the store.
import * as http from "node:http";

export class PlainServer {
    /** Each run: { id, tenant, at, method, path, bytes }. */
    runs = [];
    /** How long a request runs, by its headers, in milliseconds. */
    workMs = () => 5;

    constructor(id, service, store, log = () => undefined) {
        Object.assign(this, { id, service, store, log });
        this.born = Date.now();
        this.server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
            this.handle(request, response).catch((error) => {
                this.log("server error", { error: String(error) });
                response.destroy();
            });
        });
        this.server.on("clientError", (_, socket) => socket.destroy());
    }

    async listen() {
        await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        this.beat();
        this.timer = setInterval(() => this.beat(), 1_200);
    }

    close() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    beats = 0;
    beat() {
        this.store.put(
            `servers/${this.id}`,
            JSON.stringify({
                service: this.service,
                address: this.address,
                zone: "zone-a",
                version: "v1",
                slots: 64,
                state: "ready",
                cold_left_ms: 0,
                seq_no: ++this.beats,
                born: this.born,
            }),
        );
    }

    async handle(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const bytes = chunks.reduce((sum, { length }) => sum + length, 0);
        const requestId = request.headers["x-citronlead-request-id"];
        const expected = request.headers["x-citronlead-expect-instance"];
        const common = { "X-Citronlead-Instance-Id": this.id, "Keep-Alive": "timeout=60" };
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { ...common, ...(requestId ? { "X-Citronlead-Request-Id": requestId } : {}) });
            response.end();
            return;
        }
        if (request.url === "/health") {
            response.writeHead(200, common);
            response.end();
            return;
        }
        if (!requestId) {
            response.writeHead(400, { ...common, "X-Citronlead-Not-Executed": "1" });
            response.end();
            return;
        }
        const run = {
            id: requestId,
            tenant: request.headers["x-citronlead-tenant"],
            at: performance.now(),
            method: request.method,
            path: request.url,
            bytes,
            server: this.id,
            ended: "under way",
        };
        this.runs.push(run);
        response.on("close", () => run.ended = response.writableFinished ? "answered" : "connection closed");
        await new Promise((resolve) => setTimeout(resolve, this.workMs(request)));
        response.writeHead(200, {
            ...common,
            "X-Citronlead-Request-Id": requestId,
            "X-Citronlead-Server-Seal": `seal.${requestId}`,
            "Content-Type": "text/plain",
        });
        if (request.headers["x-list"] === undefined) {
            response.end(`done ${requestId}`);
        }
        else {
            await this.writeAnswer(response, run);
        }
    }

    /** Writes the answer to a request for a list. */
    async writeAnswer(response) {
        response.end("a list");
    }
}
