import * as decision from "@citronlead/decision";
import * as http from "node:http";
import * as url from "node:url";
import * as contract from "./contract.js";
import * as engine from "./engine.js";

/** A call to a plain service, already without credentials. */
export interface ServiceCall {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: Buffer;
    readonly timeoutMs: decision.Milliseconds;
    readonly agent?: http.Agent;
    readonly signal?: AbortSignal;
    /** The longest answer that is read, in bytes. */
    readonly answerLimit: number;
}

/** The whole answer of a plain service. */
export interface ServiceAnswer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Statuses with which a service says that it did not run the call. */
const NOT_RUN_STATUSES = new Set([429, 503]);

/**
 * Makes one call to a plain service. Unreachable means that not a byte was sent. A 503 or 429 that carries the header
 * x-not-run is a refusal before the call ran; without that header it is an answer like any other.
 */
export function callService(call: ServiceCall): Promise<engine.CallOutcome<ServiceAnswer>> {
    return new Promise((resolve) => {
        let connected = false;
        const fail = (error: Error) =>
            resolve({
                result: connected ? engine.CallResult.Broken : engine.CallResult.Unreachable,
                reason: (error as NodeJS.ErrnoException).code ?? error.message,
            });
        const request = http.request({
            ...url.urlToHttpOptions(new URL(call.address)),
            // As it came: a parsed address would resolve what the route was not found by.
            path: call.path,
            method: call.method,
            agent: call.agent,
            signal: call.signal,
            headers: { ...call.headers, "content-length": call.body.length },
        });
        const timer = setTimeout(() => request.destroy(new Error("timeout")), call.timeoutMs);
        request.on("socket", (socket) => {
            if (socket.connecting) {
                socket.once("connect", () => connected = true);
            }
            else {
                connected = true;
            }
        });
        request.on("close", () => clearTimeout(timer));
        request.on("error", fail);
        request.on("response", (response) => {
            void readAnswer(response, call.answerLimit).then((answer) => resolve(judge(answer)), fail);
        });
        request.end(call.body);
    });
}

async function readAnswer(response: http.IncomingMessage, limit: number): Promise<ServiceAnswer> {
    const pieces: Buffer[] = [];
    let length = 0;
    for await (const piece of response) {
        length += (piece as Buffer).length;
        if (length > limit) {
            response.destroy();
            throw new Error("answer too long");
        }
        pieces.push(piece as Buffer);
    }
    if (!response.complete) {
        throw new Error("answer cut off");
    }
    return { status: response.statusCode ?? 502, headers: response.headers, body: Buffer.concat(pieces) };
}

function judge(answer: ServiceAnswer): engine.CallOutcome<ServiceAnswer> {
    if (NOT_RUN_STATUSES.has(answer.status) && answer.headers["x-not-run"] !== undefined) {
        const seconds = Number(answer.headers["retry-after"] ?? 1);
        return {
            result: engine.CallResult.Refused,
            refusal: answer.headers["x-not-run"] === "departing"
                ? contract.UpstreamRefusal.Departing
                : contract.UpstreamRefusal.Busy,
            retryAfterMs: (Number.isFinite(seconds) ? seconds : 1) * decision.SECOND_MS,
        };
    }
    return { result: engine.CallResult.Done, value: answer };
}
