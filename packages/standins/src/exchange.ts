import * as lifecycle from "@citronlead/lifecycle";
import * as http from "node:http";
import * as net from "node:net";

/** One call that a stand-in answers. */
export interface Exchange {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
    readonly response: http.ServerResponse;
    /** Runs when the caller has gone before the answer was whole. */
    readonly onGone: (callback: () => void) => void;
}

/** Answers one call. */
export type Handler = (exchange: Exchange) => void | Promise<void>;

/** A stand-in that listens. */
export interface Listening {
    /** The base address, such as http://127.0.0.1:7000. */
    readonly address: string;
}

/** Serves calls with a handler until the scope closes. */
export async function serve(
    scope: lifecycle.Lifecycle,
    endpoint: { readonly address: string; readonly port: number; },
    handle: Handler,
): Promise<Listening> {
    const server = http.createServer((request, response) => void answer(request, response, handle));
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(endpoint.port, endpoint.address, resolve);
    });
    scope.own(() =>
        new Promise((resolve) => {
            server.close(() => resolve());
            server.closeAllConnections();
        })
    );
    const { port } = server.address() as net.AddressInfo;
    return { address: `http://${endpoint.address}:${port}` };
}

async function answer(request: http.IncomingMessage, response: http.ServerResponse, handle: Handler): Promise<void> {
    const url = new URL(request.url ?? "/", "http://standin");
    const pieces: Buffer[] = [];
    try {
        for await (const piece of request) {
            pieces.push(piece as Buffer);
        }
    }
    catch {
        return;
    }
    await handle({
        method: request.method ?? "GET",
        path: url.pathname,
        query: url.searchParams,
        headers: request.headers,
        body: Buffer.concat(pieces),
        response,
        onGone: (callback) =>
            response.once("close", () => {
                if (!response.writableFinished) {
                    callback();
                }
            }),
    });
}

/** Answers with JSON. */
export function sendJson(
    exchange: Exchange,
    status: number,
    body: unknown,
    headers: http.OutgoingHttpHeaders = {},
): void {
    const payload = Buffer.from(JSON.stringify(body));
    exchange.response.writeHead(status, {
        "content-type": "application/json",
        "content-length": payload.length,
        ...headers,
    });
    exchange.response.end(payload);
}

/** Drops the connection without an answer. */
export function dropAnswer(exchange: Exchange): void {
    exchange.response.destroy();
}

/** Reads the body as JSON. */
export function readJson<Body>(exchange: Exchange): Body {
    return JSON.parse(exchange.body.toString("utf8") || "{}") as Body;
}
