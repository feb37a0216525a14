import type * as configuration from "@citronlead/configuration";
import * as lifecycle from "@citronlead/lifecycle";
import * as platform from "@citronlead/platform";
import * as crypto from "node:crypto";
import * as admissions from "./admission/shell.js";
import * as callerServers from "./callers/server.js";
import type * as components from "./components.js";
import * as configurations from "./configuration/shell.js";
import type * as contexts from "./context.js";
import * as control from "./control.js";
import * as logs from "./log.js";
import * as memberships from "./membership/shell.js";
import * as metrics from "./metrics.js";
import * as operations from "./operations/shell.js";
import * as orders from "./orders/shell.js";
import * as peers from "./peers/transport.js";
import * as quarantines from "./quarantine/shell.js";
import * as schedulings from "./scheduling/shell.js";
import * as traces from "./trace.js";
import * as traffic from "./traffic.js";
import * as upstreams from "./upstreams.js";

/** A running router. */
export interface Router {
    /** Stops gracefully: reports not ready, drains requests in flight, hands over partitions, releases resources. */
    readonly stop: () => Promise<void>;
}

/** The number of requests whose traces are kept. */
const TRACE_LIMIT = 2_000;

/** Starts a router. The settings must be valid. */
export async function startRouter(settings: configuration.RouterSettings): Promise<Router> {
    const context = makeContext(settings);
    const router = await startComponents(context);
    let stopping = false;
    const callerServer = await callerServers.startCallerServer(router);
    await control.openControl(router, {
        ready: () => !stopping && router.configuration.current() !== undefined,
        openRequests: callerServer.openCount,
    });
    context.log.info({ callers: settings.callers, peers: settings.peers, control: settings.control }, "started");
    let stopped: Promise<void> | undefined;
    const stop = async () => {
        stopping = true;
        callerServer.disableKeepAlive();
        context.log.info("stopping");
        await lifecycle.pause(context.scope, settings.stop.noticePeriod);
        await callerServer.drain(settings.stop.drainPeriod);
        await router.membership.handOver();
        await context.scope.close();
        context.log.info("stopped");
    };
    return { stop: () => stopped ??= stop() };
}

function makeContext(settings: configuration.RouterSettings): contexts.Context {
    const scope = new lifecycle.Scope("router");
    const incarnation = crypto.randomUUID();
    const agent = platform.makeAgent();
    scope.defer(() => agent.destroy());
    const routerMetrics = metrics.makeMetrics();
    const controlTraffic = traffic.countControlTraffic(scope, routerMetrics.registry);
    return {
        settings,
        incarnation,
        scope,
        agent,
        clock: lifecycle.monotonicClock,
        log: logs.makeLog(settings, incarnation),
        control: controlTraffic,
        metrics: routerMetrics,
        traces: traces.makeTraces(settings.host, TRACE_LIMIT, lifecycle.monotonicClock),
        keyValue: platform.connectKeyValue({
            addresses: settings.platform.keyValue,
            timeoutMs: settings.platform.timeout,
            agent: controlTraffic.agent,
        }),
    };
}

async function startComponents(context: contexts.Context): Promise<components.RouterComponents> {
    const transport = await peers.openPeerTransport(context);
    const membership = memberships.startMembership(context, transport);
    const activeConfiguration = configurations.followConfiguration(context, membership, transport);
    const knownUpstreams = upstreams.followUpstreams(context);
    const engineOrders = orders.startOrders(context, activeConfiguration, membership, knownUpstreams);
    knownUpstreams.setExclusionSource(engineOrders.excludedUpstreams);
    return {
        context,
        membership,
        configuration: activeConfiguration,
        upstreams: knownUpstreams,
        admission: admissions.startAdmission(context, activeConfiguration, membership, transport),
        scheduling: schedulings.startScheduling(context, activeConfiguration, membership, knownUpstreams, transport),
        operations: operations.startOperations(context),
        quarantine: quarantines.startQuarantine(context, membership, transport, knownUpstreams),
        orders: engineOrders,
    };
}
