// Clients: each keeps one connection open and sends its requests on it, one after another.
import * as crypto from "node:crypto";
import * as http from "node:http";

export class Client {
    constructor(port, hostName) {
        Object.assign(this, { port, hostName });
        this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    }

    /** Sends a request. Resolves to { id, outcome, status, signed, text, reused, tookMs }; never rejects. */
    send({ method = "POST", path, key, body, deadlineMs = 3_000, headers = {}, whole = false }) {
        const id = crypto.randomBytes(8).toString("hex");
        const sentAt = performance.now();
        return new Promise((resolve) => {
            let result = { id, outcome: "closed without an answer" };
            let timer;
            const request = http.request({
                host: "127.0.0.1",
                port: this.port,
                method,
                path,
                agent: this.agent,
                headers: {
                    "Host": this.hostName,
                    "X-Citronlead-Request-Id": id,
                    "X-Citronlead-Deadline-Ms": String(deadlineMs),
                    ...(key ? { "X-Api-Key": key } : {}),
                    ...(body ? { "Content-Length": body.length } : {}),
                    ...headers,
                },
            }, (response) => {
                const chunks = [];
                response.on("data", (chunk) => chunks.push(chunk));
                response.on("error", () => undefined);
                response.on("close", () => {
                    result = {
                        id,
                        outcome: response.complete ? "answered" : "answer broken off",
                        status: response.statusCode,
                        signed: response.headers["x-citronlead-server-seal"] !== undefined,
                        answeredId: response.headers["x-citronlead-request-id"],
                        text: Buffer.concat(chunks).toString().slice(0, whole ? undefined : 200),
                    };
                });
            });
            request.on("error", (error) => result.error = error.code ?? error.message);
            request.on("close", () => {
                clearTimeout(timer);
                setImmediate(() =>
                    resolve({
                        ...result,
                        reused: request.reusedSocket,
                        sentAt,
                        tookMs: Math.round(performance.now() - sentAt),
                    })
                );
            });
            timer = setTimeout(() => {
                result.outcome = "no answer in time";
                request.destroy();
            }, deadlineMs + 1_000);
            request.end(body);
        });
    }

    close() {
        this.agent.destroy();
    }
}
