import * as lifecycle from "@citronlead/lifecycle";
import * as http from "node:http";
import * as net from "node:net";

/** One HTTP call to a stand-in. */
export interface Exchange {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
    readonly response: http.ServerResponse;
    /** Registers a callback that runs if the caller disconnects before the response is complete. */
    readonly onDisconnect: (callback: () => void) => void;
}

/** Handles one call and sends its response. */
export type Handler = (exchange: Exchange) => void | Promise<void>;

/** A server that is listening. */
export interface ListeningServer {
    /** Base address, such as http://127.0.0.1:7000. */
    readonly address: string;
}

/** Starts an HTTP server that passes each call to the handler until the scope closes. */
export async function serve(
    scope: lifecycle.Scope,
    endpoint: { readonly address: string; readonly port: number; },
    handle: Handler,
): Promise<ListeningServer> {
    const server = http.createServer((request, response) => void handleRequest(request, response, handle));
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(endpoint.port, endpoint.address, resolve);
    });
    scope.defer(() =>
        new Promise((resolve) => {
            server.close(() => resolve());
            server.closeAllConnections();
        })
    );
    const { port } = server.address() as net.AddressInfo;
    return { address: `http://${endpoint.address}:${port}` };
}

async function handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    handle: Handler,
): Promise<void> {
    const url = new URL(request.url ?? "/", "http://standin");
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
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
        body: Buffer.concat(chunks),
        response,
        onDisconnect: (callback) =>
            response.once("close", () => {
                if (!response.writableFinished) {
                    callback();
                }
            }),
    });
}

/** Sends a JSON response. */
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

/** Closes the connection without a response. */
export function dropConnection(exchange: Exchange): void {
    exchange.response.destroy();
}

/** Parses the body as JSON; an empty body is an empty object. */
export function readJson<Body>(exchange: Exchange): Body {
    return JSON.parse(exchange.body.toString("utf8") || "{}") as Body;
}
