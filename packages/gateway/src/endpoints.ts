import type * as lifecycle from "@citronlead/lifecycle";
import * as http from "node:http";
import type * as promClient from "prom-client";
import type * as logs from "./log.js";
import type * as settings from "./settings.js";

/** Serves the load balancer's readiness probe: 200 if the host accepts connections, otherwise 503. */
export function openReadinessServer(
    scope: lifecycle.Scope,
    listen: settings.ListenAddress,
    path: string,
    ready: () => boolean,
): Promise<void> {
    return openServer(scope, listen, (request, response) => {
        response.statusCode = request.url !== path ? 404 : ready() ? 200 : 503;
        response.end();
    });
}

/** Serves the metrics in the text format of the registry. */
export function openMetricsServer(
    scope: lifecycle.Scope,
    listen: settings.ListenAddress,
    path: string,
    registry: promClient.Registry,
    log: logs.DecisionLog,
): Promise<void> {
    return openServer(scope, listen, (request, response) => {
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
    handle: http.RequestListener,
): Promise<void> {
    const server = http.createServer((request, response) => {
        request.resume();
        handle(request, response);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(listen.port, listen.address, resolve);
    });
    scope.defer(() => {
        server.close();
        server.closeAllConnections();
    });
}
