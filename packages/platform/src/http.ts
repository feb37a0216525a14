import * as decision from "@citronlead/decision";
import * as http from "node:http";

/** How a JSON call is made. */
export interface JsonCall {
    readonly url: string;
    /** Defaults to GET without a body and POST with one. */
    readonly method?: string;
    readonly body?: unknown;
    /** After this time without the whole answer the call is given up, in milliseconds. */
    readonly timeoutMs: decision.Milliseconds;
    readonly agent?: http.Agent;
    readonly signal?: AbortSignal;
    readonly headers?: http.OutgoingHttpHeaders;
}

/** An answer with its JSON body. */
export interface JsonAnswer {
    readonly status: number;
    readonly body: unknown;
    readonly headers: http.IncomingHttpHeaders;
}

/** The largest answer that is read, in bytes. */
const ANSWER_LIMIT_BYTES = 8 * 1024 * 1024;

/** Errors that prove that the request never left this machine. */
const NOT_SENT_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ENOTFOUND", "EADDRNOTAVAIL"]);

/** Starts the request. Returns undefined if its address or headers can't be used. */
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
 * Makes one JSON call. The outcome's effect is None only if the connection was never made, Unknown if the call may have
 * been carried out although no whole answer arrived.
 */
export function callJson(call: JsonCall): Promise<decision.Outcome<JsonAnswer>> {
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
            resolve(decision.noEffect("the address cannot be used"));
            return;
        }
        const timer = setTimeout(() => request.destroy(new Error("timeout")), call.timeoutMs);
        request.on("close", () => clearTimeout(timer));
        request.on("error", fail);
        request.on("response", (response) => readJson(response, resolve, fail));
        request.end(payload);
    });
}

function readJson(
    response: http.IncomingMessage,
    resolve: (outcome: decision.Outcome<JsonAnswer>) => void,
    fail: (error: Error) => void,
): void {
    const pieces: Buffer[] = [];
    let length = 0;
    response.on("data", (piece: Buffer) => {
        length += piece.length;
        if (length > ANSWER_LIMIT_BYTES) {
            response.destroy(new Error("answer too long"));
            return;
        }
        pieces.push(piece);
    });
    response.on("error", fail);
    response.on("end", () => {
        const text = Buffer.concat(pieces).toString("utf8");
        try {
            const body: unknown = text === "" ? undefined : JSON.parse(text);
            resolve(decision.known({ status: response.statusCode ?? 0, body, headers: response.headers }));
        }
        catch {
            resolve(decision.unknownEffect("answer is not JSON"));
        }
    });
}
