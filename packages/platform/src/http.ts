import * as bodies from "@citronlead/bodies";
import * as decision from "@citronlead/decision";
import * as http from "node:http";

/** Limits on a response body once its first bytes have arrived. */
export interface TransferLimits {
    /** Longest time between two pieces. */
    readonly silenceMs: decision.Milliseconds;
    /** Time from the first piece to the end. */
    readonly totalMs: decision.Milliseconds;
}

/** A JSON call over HTTP. */
export interface JsonCall {
    readonly url: string;
    /** Defaults to POST if there is a body, else to GET. */
    readonly method?: string;
    readonly body?: unknown;
    /** The call is aborted if the response is not complete after this time, or has not begun where `transfer` is set. */
    readonly timeoutMs: decision.Milliseconds;
    readonly transfer?: TransferLimits | undefined;
    readonly agent?: http.Agent;
    readonly signal?: AbortSignal;
    readonly headers?: http.OutgoingHttpHeaders;
}

/** A response with its parsed body. */
export interface JsonResponse {
    readonly status: number;
    /** Undefined if the body is empty. */
    readonly body: unknown;
    readonly headers: http.IncomingHttpHeaders;
}

/** Maximum size of a response body. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Maximum number of interim responses before the final one. */
const MAX_INTERIM_RESPONSES = 16;
/** Memory for all response bodies that are being read. */
const responseBodies = new bodies.MemoryBudget(4 * MAX_RESPONSE_BYTES);

/** Error codes that prove that the request was never sent. */
const NOT_SENT_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENOTFOUND", "EADDRNOTAVAIL"]);

/** Starts the request. Returns undefined if the URL or a header is invalid. */
function startRequest(call: JsonCall, payload: Buffer | undefined): http.ClientRequest | undefined {
    try {
        return http.request(call.url, {
            method: call.method ?? (payload ? "POST" : "GET"),
            agent: call.agent,
            signal: call.signal,
            headers: {
                ...call.headers,
                ...(payload ? { "content-type": "application/json", "content-length": payload.length } : {}),
            },
        });
    }
    catch {
        return undefined;
    }
}

/**
 * Makes one JSON call. The outcome's effect is None only if no connection was made, and Unknown if the call may have
 * been executed but no complete response arrived.
 */
export function callJson(call: JsonCall): Promise<decision.Outcome<JsonResponse>> {
    const payload = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body));
    return new Promise((resolve) => {
        const fail = (error: NodeJS.ErrnoException) =>
            resolve(
                error.code !== undefined && NOT_SENT_CODES.has(error.code)
                    ? decision.noEffect(error.code)
                    : decision.unknownEffect(error.code ?? error.message),
            );
        const request = startRequest(call, payload);
        if (!request) {
            resolve(decision.noEffect("invalid URL or header"));
            return;
        }
        const { transfer } = call;
        const abort = () => request.destroy(new Error("timeout"));
        let timer = setTimeout(abort, call.timeoutMs);
        let endTimer: NodeJS.Timeout | undefined;
        const restartTimer = ({ silenceMs, totalMs }: TransferLimits) => {
            clearTimeout(timer);
            timer = setTimeout(abort, silenceMs);
            endTimer ??= setTimeout(abort, totalMs);
        };
        request.on("close", () => {
            clearTimeout(timer);
            clearTimeout(endTimer);
        });
        request.on("error", fail);
        const heads = bodies.checkHeads(request);
        const refuseHead = (problem: bodies.HeadProblem) => request.destroy(new Error(`malformed head: ${problem}`));
        let interimCount = 0;
        request.on("information", () => {
            if (heads.problem !== undefined) {
                refuseHead(heads.problem);
            }
            else if (++interimCount > MAX_INTERIM_RESPONSES) {
                request.destroy(new Error("interim responses without end"));
            }
        });
        request.on("response", (response) => {
            if (heads.finalProblem !== undefined) {
                refuseHead(heads.finalProblem);
                response.on("error", fail);
                return;
            }
            if (transfer) {
                response.on("data", () => restartTimer(transfer));
            }
            readJson(response, resolve, fail);
        });
        request.end(payload);
    });
}

function readJson(
    response: http.IncomingMessage,
    resolve: (outcome: decision.Outcome<JsonResponse>) => void,
    fail: (error: Error) => void,
): void {
    const collector = new bodies.BodyCollector(MAX_RESPONSE_BYTES, responseBodies);
    response.on("data", (piece: Buffer) => {
        if (!response.destroyed && collector.add(piece) !== bodies.AddResult.Added) {
            response.destroy(new Error("response exceeds the size limit"));
        }
    });
    response.on("close", () => collector.discard());
    response.on("error", fail);
    response.on("end", () => {
        const text = collector.finish().toString("utf8");
        try {
            const body: unknown = text === "" ? undefined : JSON.parse(text);
            resolve(decision.knownEffect({ status: response.statusCode ?? 0, body, headers: response.headers }));
        }
        catch {
            resolve(decision.unknownEffect("response is not valid JSON"));
        }
    });
}
