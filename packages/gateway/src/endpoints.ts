import * as decision from "@citronlead/decision";
import type * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as http from "node:http";
import type * as promClient from "prom-client";
import * as connections from "./connections.js";
import type * as logs from "./log.js";
import type * as settings from "./settings.js";

/** Times that peers of these ports may take. */
const TIMES: dispatch.PeerTimes = { headMs: 3 * decision.SECOND_MS, idleMs: 15 * decision.SECOND_MS };

/** Bounds of an endpoint's connections. */
export type EndpointBounds = Pick<connections.ConnectionLimits, "maxConnections" | "memory" | "bodyGarbage">;

/** Serves the load balancer's readiness probe: 200 if the host accepts connections, otherwise 503. */
export function openReadinessServer(
    scope: lifecycle.Scope,
    listen: settings.ListenAddress,
    bounds: EndpointBounds,
    path: string,
    ready: () => boolean,
): Promise<void> {
    return openServer(scope, listen, bounds, (request, response) => {
        response.statusCode = request.url !== path ? 404 : ready() ? 200 : 503;
        response.end();
    });
}

/** Serves the metrics in the text format of the registry. */
export function openMetricsServer(
    scope: lifecycle.Scope,
    listen: settings.ListenAddress,
    bounds: EndpointBounds,
    path: string,
    registry: promClient.Registry,
    log: logs.DecisionLog,
): Promise<void> {
    return openServer(scope, listen, bounds, (request, response) => {
        if (request.url !== path) {
            response.statusCode = 404;
            response.end();
            return;
        }
        registry.metrics().then(
            (text) => {
                response.setHeader("Content-Type", registry.contentType);
                response.end(text);
            },
            (error: unknown) => {
                log.failure("write metrics", error);
                response.destroy();
            },
        );
    });
}

async function openServer(
    scope: lifecycle.Scope,
    listen: settings.ListenAddress,
    bounds: EndpointBounds,
    handle: http.RequestListener,
): Promise<void> {
    const server = http.createServer({ requireHostHeader: false, headersTimeout: 0, requestTimeout: 0 });
    server.keepAliveTimeout = TIMES.idleMs;
    server.on("clientError", (_, socket) => socket.destroy());
    const listener: connections.ConnectionListener = {
        serve: (request, response) => {
            request.resume();
            response.on("error", () => undefined);
            handle(request, response);
        },
        onDropped: () => undefined,
        onClosed: () => undefined,
    };
    const limits = { ...bounds, times: () => TIMES };
    new connections.CallerConnections(server, lifecycle.monotonicClock, listener, limits, scope);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(listen.port, listen.address, resolve);
    });
    scope.defer(() => {
        server.close();
        server.closeAllConnections();
    });
}
