import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import type * as http from "node:http";
import * as util from "node:util";
import type * as contexts from "./context.js";
import * as endpoints from "./endpoints.js";
import type * as exchanges from "./exchange.js";
import * as logs from "./log.js";
import * as metrics from "./metrics.js";
import * as peers from "./peers.js";
import type * as registries from "./registry.js";
import * as servers from "./server.js";
import type * as settings from "./settings.js";
import * as views from "./store/view.js";
import * as agents from "./upstream/agent.js";
import * as pools from "./upstream/pool.js";
import type * as wires from "./wire.js";

/** Time in which the balancer takes a host out of rotation: two questions, a second apart, and one to spare. */
const BALANCER_REMOVAL_MS = 2_600;
/** Part of the stop period after which the process ends with work under way. */
const STOP_DEADLINE_SHARE = 0.93;
/** Period in which a stopping process looks whether its work is done. */
const DRAIN_POLL_MS = 50;

/** Settings that hold until the process ends. */
const RESTART_ONLY_FIELDS: ReadonlySet<keyof settings.GatewaySettings> = new Set([
    "host",
    "availabilityZone",
    "callers",
    "readiness",
    "metrics",
    "peers",
    "quotaWindowMs",
]);

/** A gateway that runs. */
export interface Gateway {
    /** Stops gracefully: out of rotation, requests under way to their end, then all is released. */
    readonly stop: () => Promise<void>;
    /** Takes changed settings in: limits and periods at once, addresses and identity at the next start. */
    readonly reload: (settings: settings.GatewaySettings) => void;
    /** Keeps the settings in force, since changed ones cannot be used. */
    readonly refuseReload: (reason: string) => void;
}

/** What a gateway is started with. */
export interface GatewayOptions {
    readonly settings: settings.GatewaySettings;
    readonly wire: wires.Wire;
    /** Makes the registry; it tells of entries of the store that cannot be read. */
    readonly registry: (onUnreadable: (key: string, problem: string) => void) => registries.Registry;
    readonly random: () => number;
}

/** Starts a gateway with checked settings. */
export async function startGateway({ settings, wire, registry, random }: GatewayOptions): Promise<Gateway> {
    let current = settings;
    const scope = new lifecycle.Lifecycle("gateway");
    const clock = lifecycle.monotonicClock;
    const gatewayMetrics = metrics.makeGatewayMetrics();
    const identity = { host: settings.host, availabilityZone: settings.availabilityZone, pid: process.pid };
    const log = logs.makeDecisionLog(identity, clock, () => gatewayMetrics.droppedLogLines.inc());
    const agent = new agents.UpstreamAgent(() => gatewayMetrics.connections.inc());
    scope.own(() => agent.destroy());
    const pool = new pools.UpstreamPool((incarnation) => agent.closeIdle(incarnation));
    const crashSuspects = new dispatch.CrashSuspects();
    const storeView = views.openStoreView({
        scope,
        clock,
        log,
        metrics: gatewayMetrics,
        registry: registry((key, problem) => log.decision("registration not readable", { key, problem })),
        pool,
        host: settings.host,
        address: `${settings.peers.address}:${settings.peers.port}`,
        freshness: () => current.freshness,
    });
    const peerChannel = await peers.openPeers({
        scope,
        clock,
        log,
        listen: settings.peers,
        hosts: storeView.hosts,
        quotaTolerance: () => current.quotaTolerance,
        quotaWindowMs: settings.quotaWindowMs,
        onStoreUpdate: storeView.receiveUpdate,
        onCrash: (report) => {
            const crashes = crashSuspects.recordCrash(report, clock());
            log.decision("content suspected", { ...report, crashes, source: "other host" });
        },
    });
    storeView.setPublisher(peerChannel.sendStoreUpdate);
    const context: contexts.GatewayContext = {
        scope,
        settings,
        clock,
        random,
        log,
        metrics: gatewayMetrics,
        wire,
        agent,
        pool,
        storeView,
        peers: peerChannel,
        retryBudget: new dispatch.RetryBudget(() => current.retries),
        outputForecast: new dispatch.OutputForecast(),
        crashSuspects,
        sendRefusal: (response, requestId, refusal) => sendRefusal(wire, response, requestId, refusal),
        logOutcome: (exchange, reason, status) => logOutcome(context, exchange, reason, status),
    };
    let stopping = false;
    const callers = await servers.openCallerServer(context);
    await endpoints.openReadinessServer(
        scope,
        settings.readiness,
        wire.readyPath,
        () => !stopping && storeView.activeConfiguration() !== undefined && pool.hasUpstreams,
    );
    await endpoints.openMetricsServer(scope, settings.metrics, settings.metrics.path, gatewayMetrics.registry);
    log.notice("started", { callers: settings.callers, metrics: settings.metrics });
    const stop = async () => {
        stopping = true;
        const startedAt = clock();
        log.notice("stopping", { open: callers.openRequests() });
        callers.disableKeepAlive();
        await lifecycle.pause(scope, Math.min(BALANCER_REMOVAL_MS, current.stopPeriodMs / 3));
        callers.stopAccepting();
        while (callers.openRequests() > 0 && clock() - startedAt < current.stopPeriodMs * STOP_DEADLINE_SHARE) {
            await lifecycle.pause(scope, DRAIN_POLL_MS);
            callers.stopAccepting();
        }
        log.notice("stopped", { open: callers.openRequests(), afterMs: Math.round(clock() - startedAt) });
        log.flush();
        await scope.close();
    };
    let stopped: Promise<void> | undefined;
    return {
        stop: () => stopped ??= stop(),
        reload: (next) => {
            const differs = (field: keyof settings.GatewaySettings) =>
                !util.isDeepStrictEqual(next[field], current[field]);
            const changed = (Object.keys(next) as (keyof settings.GatewaySettings)[]).filter(differs);
            const atNextStart = changed.filter((field) => RESTART_ONLY_FIELDS.has(field));
            const kept = Object.fromEntries(atNextStart.map((field) => [field, current[field]]));
            current = { ...next, ...kept };
            log.notice("settings reloaded", { changed, atNextStart });
        },
        refuseReload: (reason) => log.notice("settings not reloaded", { reason }),
    };
}

function sendRefusal(
    wire: wires.Wire,
    response: http.ServerResponse,
    requestId: string | undefined,
    { status, reason, retryAfterMs }: exchanges.Refusal,
): void {
    if (response.destroyed || response.headersSent) {
        return;
    }
    const body = Buffer.from(JSON.stringify({ error: reason }));
    response.writeHead(
        status,
        [
            ...wire.refusalHeaders(requestId, retryAfterMs),
            "Content-Type",
            "application/json",
            "Content-Length",
            String(body.length),
        ] as unknown as http.OutgoingHttpHeader[],
    );
    response.end(body);
}

function logOutcome(
    context: contexts.GatewayContext,
    exchange: exchanges.Exchange,
    reason: exchanges.FinalReason,
    status: number,
): void {
    const { clock, storeView, log, pool } = context;
    const now = clock();
    const active = storeView.activeConfiguration();
    context.metrics.requests.inc({ service: exchange.service, outcome: reason });
    context.metrics.duration.observe({ service: exchange.service }, (now - exchange.startedAt) / decision.SECOND_MS);
    log.decision("request ended", {
        requestId: exchange.metadata.requestId,
        route: exchange.route.name,
        service: exchange.service,
        workspace: exchange.workspace?.name,
        promptTokens: exchange.metadata.promptTokens,
        outputTokens: exchange.metadata.outputTokens,
        expectedOutputTokens: exchange.expectedOutputTokens,
        refusedReservations: exchange.refusedReservations,
        passedEvents: exchange.relayedChunks,
        outcome: reason,
        status,
        tookMs: Math.round(now - exchange.startedAt),
        steps: exchange.callRecords,
        configuration: active?.table.configuration.version,
        upstreamsAgeMs: Math.round(pool.listingAgeMs(now)),
    });
}
