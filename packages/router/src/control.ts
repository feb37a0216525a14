import * as http from "node:http";
import * as listening from "./listening.js";
import type * as parts from "./parts.js";
import * as reply from "./reply.js";

/** What the control port shows of the process besides its parts. */
export interface ControlState {
    /** Whether the balancer should send callers here. */
    readonly ready: () => boolean;
    readonly openRequests: () => number;
}

/** A router that could not learn of an upstream for some pool by then is ready all the same, in milliseconds. */
const READY_AT_LATEST_MS = 5_000;

/** Opens the port for operators and the balancer: health, readiness, metrics, status and explanations. */
export async function openControl(served: parts.Parts, state: ControlState): Promise<void> {
    const { context } = served;
    const watched = { ...state, ready: readyOnceStarted(served, state) };
    const server = http.createServer((request, response) => void answer(served, watched, request, response));
    await listening.listen(context.scope, server, context.settings.control);
}

/** A router is not ready before it has joined the fleet and knows the upstreams; after that, until it stops. */
function readyOnceStarted(served: parts.Parts, state: ControlState): () => boolean {
    const { clock } = served.context;
    const openedAt = clock();
    let started = false;
    return () => {
        started ||= hasStarted(served, clock() - openedAt);
        return started && state.ready();
    };
}

function hasStarted({ configuration, membership, upstreams }: parts.Parts, sinceMs: number): boolean {
    const fleet = configuration.current()?.fleet;
    const complete = fleet !== undefined
        && Object.keys(fleet.pools).every((pool) => upstreams.all(pool).length > 0);
    return membership.settled() && (complete || sinceMs > READY_AT_LATEST_MS);
}

async function answer(
    served: parts.Parts,
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
        const { registry } = served.context.metrics;
        response.writeHead(200, { "content-type": registry.contentType });
        response.end(await registry.metrics());
    }
    else if (path === "/status") {
        reply.sendJson(response, 200, status(served, state));
    }
    else if (path.startsWith("/explain/")) {
        const trace = served.context.traces.find(path.slice("/explain/".length));
        reply.sendJson(response, trace ? 200 : 404, trace ?? { error: "this host has no record of the request" });
    }
    else {
        reply.sendJson(response, 404, { error: "no such page" });
    }
}

function status(served: parts.Parts, state: ControlState): object {
    const { context, configuration, membership, upstreams } = served;
    const fleet = configuration.current()?.fleet;
    const pools = Object.keys(fleet?.pools ?? {}).map((pool) => ({
        pool,
        upstreams: upstreams.all(pool).map((candidate) => ({
            name: candidate.name,
            availabilityZone: candidate.availabilityZone,
            usable: upstreams.takesWork(candidate.name),
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
        orders: served.orders.underWay(),
        openRequests: state.openRequests(),
        roster: membership.roster(),
        pools,
    };
}
