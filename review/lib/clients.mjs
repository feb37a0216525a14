// Clients that keep connections open, each with a few requests at a time on connections of their own.
import * as http from "node:http";
import { API_KEY, HOST_NAME, PLAIN_DEADLINE_MS, STREAM_TIMEOUT_MS } from "./deployment.mjs";
import { pause } from "./fleet.mjs";

export class Clients {
    /** What became of each request, by its id. */
    answers = new Map();
    open = new Set();
    count = 0;
    /** Connections that have carried a request. */
    usedSockets = new WeakSet();

    constructor(record) {
        this.record = record;
        this.prefix = process.pid.toString(16);
        this.agent = new http.Agent({ keepAlive: true });
    }

    /** Sends a prompt of a stream that must not run twice. */
    sendStream(host, options = {}) {
        const {
            promptTokens = 2_000 + Math.floor(Math.random() * 6_000),
            outputTokens = 20 + Math.floor(Math.random() * 100),
        } = options;
        const { key = API_KEY, agent = this.agent, leaveAfterMs = STREAM_TIMEOUT_MS } = options;
        const requestId = `${this.prefix}-${++this.count}`;
        return this.send(
            host,
            requestId,
            "POST",
            `/quote/${this.count}`,
            STREAM_TIMEOUT_MS,
            "q".repeat(5_000),
            agent,
            leaveAfterMs,
            {
                "X-Api-Key": key,
                "X-Citronlead-Model": "m",
                "X-Citronlead-Token-Counts": `${promptTokens},${outputTokens}`,
                "X-Citronlead-Prompt-Prefix": `${(this.count % 2_000).toString(16)}:200,${requestId.replace("-", "")}:${
                    promptTokens - 200
                }`,
            },
        );
    }

    /** Sends a booking, which must not run twice. */
    sendBooking(host, { agent = this.agent } = {}) {
        const requestId = `${this.prefix}-${++this.count}`;
        return this.send(
            host,
            requestId,
            "POST",
            `/confirm/${this.count}`,
            PLAIN_DEADLINE_MS,
            "b".repeat(600),
            agent,
            PLAIN_DEADLINE_MS,
            { "X-Api-Key": API_KEY },
        );
    }

    send(host, requestId, method, path, deadlineMs, body, agent, leaveAfterMs, headers) {
        const done = new Promise((resolve) => {
            let sentAt = performance.now();
            const request = http.request({
                host: host.ip,
                port: host.front,
                agent,
                method,
                path,
                headers: {
                    "Host": HOST_NAME,
                    "X-Citronlead-Request-Id": requestId,
                    "X-Citronlead-Deadline-Ms": String(deadlineMs),
                    "Content-Length": String(body.length),
                    ...headers,
                },
            });
            let gaveUp = false;
            let answered = false;
            let kept = false;
            const finish = (status, seal, text) => {
                if (this.answers.has(requestId)) {
                    return;
                }
                clearTimeout(timer);
                const tookMs = performance.now() - sentAt;
                const answer = {
                    requestId,
                    host,
                    status,
                    seal,
                    text,
                    tookMs,
                    sentAt,
                    gaveUp,
                    kept,
                    path,
                };
                this.answers.set(requestId, answer);
                const shown = gaveUp
                    ? "none, the client has left"
                    : status === 0
                    ? "connection closed without a complete answer"
                    : status;
                this.record.write(
                    `answer to ${requestId} ${path}: ${shown}${seal ? ` of ${seal}` : ""} after ${
                        Math.round(tookMs)
                    } ms`,
                );
                resolve(answer);
            };
            let timer;
            request.on("socket", (socket) => {
                sentAt = performance.now();
                kept = this.usedSockets.has(socket);
                this.usedSockets.add(socket);
                timer = setTimeout(() => {
                    gaveUp = true;
                    request.destroy();
                }, leaveAfterMs);
            });
            request.on("response", (response) => {
                answered = true;
                let text = "";
                response.on("data", (bytes) => text += bytes);
                response.on("error", () => undefined);
                response.on(
                    "close",
                    () =>
                        finish(
                            response.complete ? response.statusCode : 0,
                            response.headers["x-citronlead-server-seal"],
                            text,
                        ),
                );
            });
            request.on("error", () => answered || finish(0));
            request.end(body);
        });
        this.open.add(done);
        void done.then(() => this.open.delete(done));
        return done;
    }

    /** Sends at random times, so many a second on average, until `isOver` says so. */
    async sendAtRate(perSecond, isOver, send) {
        while (!isOver()) {
            send();
            await pause(Math.min(2_000, -Math.log(1 - Math.random()) * 1_000 / perSecond));
        }
    }

    async waitForAnswers(limitMs) {
        await Promise.race([Promise.all(this.open), pause(limitMs)]);
    }

    /** Number of answers by status. */
    get statuses() {
        const counts = {};
        for (const { status, gaveUp } of this.answers.values()) {
            const name = gaveUp ? "none" : status === 0 ? "closed" : String(status);
            counts[name] = (counts[name] ?? 0) + 1;
        }
        return counts;
    }
}
