import * as http from "node:http";
import * as reply from "./callers/reply.js";
import type * as components from "./components.js";
import * as listening from "./listening.js";

/** State of the process that the control port reports, besides that of its components. */
export interface ControlState {
    /** Whether the load balancer should send callers here. */
    readonly ready: () => boolean;
    readonly openRequests: () => number;
}

/** After this time a router becomes ready even if it knows no upstream for some pool. */
const UPSTREAM_WAIT_LIMIT_MS = 5_000;

/** Serves health, readiness, metrics, status and request traces to operators and the load balancer. */
export async function openControl(router: components.RouterComponents, state: ControlState): Promise<void> {
    const { context } = router;
    const guardedState = { ...state, ready: readyAfterStartup(router, state) };
    const server = http.createServer((request, response) =>
        void handleRequest(router, guardedState, request, response)
    );
    await listening.listen(context.scope, server, context.settings.control);
}

/** A router becomes ready once it has joined the fleet and knows the upstreams, and stays ready until it stops. */
function readyAfterStartup(router: components.RouterComponents, state: ControlState): () => boolean {
    const { clock } = router.context;
    const openedAt = clock();
    let started = false;
    return () => {
        started ||= startupComplete(router, clock() - openedAt);
        return started && state.ready();
    };
}

function startupComplete(
    { configuration, membership, upstreams }: components.RouterComponents,
    sinceMs: number,
): boolean {
    const fleet = configuration.current()?.fleet;
    const upstreamsKnown = fleet !== undefined
        && Object.keys(fleet.pools).every((pool) => upstreams.all(pool).length > 0);
    return membership.settled() && (upstreamsKnown || sinceMs > UPSTREAM_WAIT_LIMIT_MS);
}

async function handleRequest(
    router: components.RouterComponents,
    state: ControlState,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<void> {
    const path = (request.url ?? "/").split("?")[0] ?? "/";
    if (path === "/healthz") {
        reply.sendJson(response, 200, { healthy: true });
    }
    else if (path === "/readyz") {
        const ready = state.ready();
        reply.sendJson(response, ready ? 200 : 503, { ready });
    }
    else if (path === "/metrics") {
        const { registry } = router.context.metrics;
        response.writeHead(200, { "content-type": registry.contentType });
        response.end(await registry.metrics());
    }
    else if (path === "/status") {
        reply.sendJson(response, 200, statusBody(router, state));
    }
    else if (path.startsWith("/explain/")) {
        const trace = router.context.traces.find(path.slice("/explain/".length));
        reply.sendJson(response, trace ? 200 : 404, trace ?? { error: "this host has no record of the request" });
    }
    else {
        reply.sendJson(response, 404, { error: "no such page" });
    }
}

function statusBody(router: components.RouterComponents, state: ControlState): object {
    const { context, configuration, membership, upstreams } = router;
    const fleet = configuration.current()?.fleet;
    const pools = Object.keys(fleet?.pools ?? {}).map((pool) => ({
        pool,
        upstreams: upstreams.all(pool).map((candidate) => ({
            name: candidate.name,
            availabilityZone: candidate.availabilityZone,
            usable: upstreams.isUsable(candidate.name),
            role: candidate.load?.role,
            running: candidate.load?.running,
            version: candidate.load?.version,
        })),
    }));
    return {
        host: context.settings.host,
        incarnation: context.incarnation,
        availabilityZone: context.settings.availabilityZone,
        revision: configuration.current()?.revision ?? 0,
        keysUsable: configuration.keysUsable(),
        ready: state.ready(),
        settled: membership.settled(),
        orders: router.orders.changesInProgress(),
        openRequests: state.openRequests(),
        roster: membership.roster(),
        pools,
    };
}
