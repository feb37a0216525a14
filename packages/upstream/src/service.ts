import * as decision from "@citronlead/decision";
import * as http from "node:http";
import * as url from "node:url";
import * as contract from "./contract.js";
import * as engine from "./engine.js";

/** A call to a plain service, with the caller's credentials already removed. */
export interface ServiceCall {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: Buffer;
    readonly timeoutMs: decision.Milliseconds;
    readonly agent?: http.Agent;
    readonly signal?: AbortSignal;
    /** Maximum size of the response body, in bytes. */
    readonly maxResponseBytes: number;
}

/** A complete response of a plain service. */
export interface ServiceResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Statuses of responses that have no body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number | undefined> = new Set([204, 304]);
/** Statuses that, with the header x-not-run, mean that the service did not run the call. */
const NOT_RUN_STATUSES = new Set([429, 503]);

/**
 * Makes one call to a plain service. The result Unreachable means that no byte was sent. A 503 or 429 with the header
 * x-not-run means that the service refused the call without running it; without the header it is a normal response.
 */
export function callService(call: ServiceCall): Promise<engine.CallOutcome<ServiceResponse>> {
    return new Promise((resolve) => {
        let connected = false;
        const fail = (error: Error) =>
            resolve({
                result: connected ? engine.CallResult.Broken : engine.CallResult.Unreachable,
                reason: (error as NodeJS.ErrnoException).code ?? error.message,
            });
        const request = http.request({
            ...url.urlToHttpOptions(new URL(call.address)),
            // Unchanged: URL parsing would resolve dot segments, and the route was matched without that.
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
            void readResponse(response, call.maxResponseBytes).then(
                (complete) => resolve(classifyResponse(complete)),
                fail,
            );
        });
        request.end(call.body);
    });
}

async function readResponse(response: http.IncomingMessage, maxBytes: number): Promise<ServiceResponse> {
    const chunks: Buffer[] = [];
    let length = 0;
    const { headers, socket } = response;
    let isEndKnown = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined
        || STATUSES_WITHOUT_BODY.has(response.statusCode);
    if (!isEndKnown) {
        // A reset found together with data is reported as the end too; the connection has no peer any more then.
        socket.prependOnceListener("end", () => isEndKnown = socket.remoteAddress !== undefined);
    }
    for await (const chunk of response) {
        length += (chunk as Buffer).length;
        if (length > maxBytes) {
            response.destroy();
            throw new Error("response exceeds the size limit");
        }
        chunks.push(chunk as Buffer);
    }
    if (!response.complete || !isEndKnown) {
        throw new Error("response ended early");
    }
    return { status: response.statusCode ?? 502, headers: response.headers, body: Buffer.concat(chunks) };
}

function classifyResponse(response: ServiceResponse): engine.CallOutcome<ServiceResponse> {
    if (NOT_RUN_STATUSES.has(response.status) && response.headers["x-not-run"] !== undefined) {
        const seconds = Number(response.headers["retry-after"] ?? 1);
        return {
            result: engine.CallResult.Refused,
            refusal: response.headers["x-not-run"] === "departing"
                ? contract.UpstreamRefusal.Departing
                : contract.UpstreamRefusal.Busy,
            retryAfterMs: (Number.isFinite(seconds) ? seconds : 1) * decision.SECOND_MS,
        };
    }
    return { result: engine.CallResult.Done, value: response };
}
