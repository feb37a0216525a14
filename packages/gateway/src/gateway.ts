import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import type * as http from "node:http";
import * as util from "node:util";
import * as callerservers from "./callerserver.js";
import type * as contexts from "./context.js";
import type * as exchanges from "./exchange.js";
import * as knowledges from "./knowledge.js";
import * as logs from "./log.js";
import * as metrics from "./metrics.js";
import * as peers from "./peers.js";
import type * as ports from "./ports.js";
import type * as settings from "./settings.js";
import * as sideports from "./sideports.js";
import * as agents from "./upstreamagent.js";
import * as pools from "./upstreampool.js";
import type * as wires from "./wire.js";

/** Time in which the balancer takes a host out of rotation: two questions, a second apart, and one to spare. */
const ROTATION_MS = 2_600;
/** Part of the stop period after which the process ends with work under way. */
const STOP_SHARE = 0.93;
/** Period in which a stopping process looks whether its work is done. */
const DRAIN_POLL_MS = 50;

/** Settings that hold until the process ends. */
const FIXED_FIELDS: ReadonlySet<keyof settings.GatewaySettings> = new Set([
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
export interface GatewayParts {
    readonly settings: settings.GatewaySettings;
    readonly wire: wires.Wire;
    /** Makes the registry; it tells of entries of the store that cannot be read. */
    readonly registry: (onUnreadable: (key: string, problem: string) => void) => ports.Registry;
    readonly random: () => number;
}

/** Starts a gateway with checked settings. */
export async function startGateway({ settings, wire, registry, random }: GatewayParts): Promise<Gateway> {
    let current = settings;
    const scope = new lifecycle.Lifecycle("gateway");
    const clock = lifecycle.monotonicClock;
    const measured = metrics.makeGatewayMetrics();
    const identity = { host: settings.host, availabilityZone: settings.availabilityZone, pid: process.pid };
    const log = logs.makeDecisionLog(identity, clock, () => measured.droppedLogLines.inc());
    const agent = new agents.UpstreamAgent(() => measured.connections.inc());
    scope.own(() => agent.destroy());
    const pool = new pools.UpstreamPool((incarnation) => agent.forget(incarnation));
    const suspects = new dispatch.Suspects();
    const knowledge = knowledges.keepKnowledge({
        scope,
        clock,
        log,
        metrics: measured,
        registry: registry((key, problem) => log.decision("registration not readable", { key, problem })),
        pool,
        host: settings.host,
        address: `${settings.peers.address}:${settings.peers.port}`,
        freshness: () => current.freshness,
    });
    const peerPort = await peers.openPeers({
        scope,
        clock,
        log,
        listen: settings.peers,
        hosts: knowledge.hosts,
        quotaTolerance: () => current.quotaTolerance,
        quotaWindowMs: settings.quotaWindowMs,
        onNews: knowledge.hear,
        onCrash: (report) => {
            const crashes = suspects.add(report, clock());
            log.decision("content suspected", { ...report, crashes, source: "other host" });
        },
    });
    knowledge.tellBy(peerPort.tellNews);
    const context: contexts.GatewayContext = {
        scope,
        settings,
        clock,
        random,
        log,
        metrics: measured,
        wire,
        agent,
        pool,
        knowledge,
        peers: peerPort,
        retries: new dispatch.RetryBudget(() => current.retries),
        outputs: new dispatch.OutputForecast(),
        suspects,
        answerRefusal: (response, requestId, refusal) => answerRefusal(wire, response, requestId, refusal),
        logOutcome: (exchange, reason, status) => logOutcome(context, exchange, reason, status),
    };
    let stopping = false;
    const callers = await callerservers.openCallerServer(context);
    await sideports.openReadiness(
        scope,
        settings.readiness,
        wire.readyPath,
        () => !stopping && knowledge.inForce() !== undefined && pool.usable,
    );
    await sideports.openMetrics(scope, settings.metrics, settings.metrics.path, measured.registry);
    log.notice("started", { callers: settings.callers, metrics: settings.metrics });
    const stop = async () => {
        stopping = true;
        const startedAt = clock();
        log.notice("stopping", { open: callers.open() });
        callers.leave();
        await lifecycle.pause(scope, Math.min(ROTATION_MS, current.stopPeriodMs / 3));
        callers.closeIdle();
        while (callers.open() > 0 && clock() - startedAt < current.stopPeriodMs * STOP_SHARE) {
            await lifecycle.pause(scope, DRAIN_POLL_MS);
            callers.closeIdle();
        }
        log.notice("stopped", { open: callers.open(), afterMs: Math.round(clock() - startedAt) });
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
            const atNextStart = changed.filter((field) => FIXED_FIELDS.has(field));
            const kept = Object.fromEntries(atNextStart.map((field) => [field, current[field]]));
            current = { ...next, ...kept };
            log.notice("settings reloaded", { changed, atNextStart });
        },
        refuseReload: (reason) => log.notice("settings not reloaded", { reason }),
    };
}

function answerRefusal(
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
    const { clock, knowledge, log, pool } = context;
    const now = clock();
    const inForce = knowledge.inForce();
    context.metrics.requests.inc({ service: exchange.service, outcome: reason });
    context.metrics.duration.observe({ service: exchange.service }, (now - exchange.startedAt) / decision.SECOND_MS);
    log.decision("request ended", {
        requestId: exchange.facts.requestId,
        route: exchange.route.name,
        service: exchange.service,
        workspace: exchange.workspace?.name,
        promptTokens: exchange.facts.promptTokens,
        outputTokens: exchange.facts.outputTokens,
        expectedOutputTokens: exchange.expectedOutput,
        refusedReservations: exchange.refusedReservations,
        passedEvents: exchange.passedEvents,
        outcome: reason,
        status,
        tookMs: Math.round(now - exchange.startedAt),
        steps: exchange.steps,
        configuration: inForce?.table.configuration.version,
        upstreamsAgeMs: Math.round(pool.age(now)),
    });
}
