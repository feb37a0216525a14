import * as bodies from "@citronlead/bodies";
import * as decision from "@citronlead/decision";
import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import type * as http from "node:http";
import * as util from "node:util";
import type * as contexts from "./context.js";
import * as endpoints from "./endpoints.js";
import type * as exchanges from "./exchange.js";
import * as garbage from "./garbage.js";
import * as limits from "./limits.js";
import * as liveness from "./liveness.js";
import * as logs from "./log.js";
import * as metrics from "./metrics.js";
import * as handlers from "./model/handler.js";
import * as versions from "./model/versions.js";
import * as observations from "./observations.js";
import * as outcomes from "./outcome.js";
import * as peers from "./peers.js";
import * as quarantines from "./quarantine.js";
import type * as registries from "./registry.js";
import * as relays from "./relay/client.js";
import * as envelopes from "./relay/envelope.js";
import * as reachabilities from "./relay/reachability.js";
import * as servers from "./server.js";
import type * as settings from "./settings.js";
import * as speeds from "./speeds.js";
import * as stops from "./stop.js";
import * as views from "./store/view.js";
import * as turns from "./turns.js";
import * as agents from "./upstream/agent.js";
import * as notices from "./upstream/notices.js";
import * as polling from "./upstream/polls.js";
import * as pools from "./upstream/pool.js";
import * as warmups from "./warmup.js";
import type * as wires from "./wire.js";

/** Interval at which a stopping process checks whether requests are in flight. */
const DRAIN_POLL_MS = 50;
/** The same, in its last moment. */
const LAST_POLL_MS = 10;
/** Settings that only change with a restart of the process. */
const RESTART_ONLY_FIELDS: ReadonlySet<keyof settings.GatewaySettings> = new Set([
    "host",
    "availabilityZone",
    "callers",
    "readiness",
    "metrics",
    "peers",
    "quotaWindowMs",
    "machine",
]);

/** A running gateway. */
export interface Gateway {
    /** Stops gracefully: leaves the rotation, drains the requests in flight, then releases all resources. */
    readonly stop: () => Promise<void>;
    /** Applies changed settings: limits and periods at once; addresses and identity only with the next start. */
    readonly reload: (settings: settings.GatewaySettings) => void;
    /** Logs that changed settings are invalid; the current ones stay in effect. */
    readonly rejectReload: (reason: string) => void;
    /** Logs an error that nothing in the process has caught. */
    readonly recordFailure: (task: string, error: unknown) => void;
    /** Writes the buffered log lines. */
    readonly flushLog: () => void;
}

/** Options of a gateway. */
export interface GatewayOptions {
    readonly settings: settings.GatewaySettings;
    readonly wireFormat: wires.WireFormat;
    /** Creates the registry, which reports store entries that it cannot decode to `onUnreadable`. */
    readonly makeRegistry: (onUnreadable: (key: string, problem: string) => void) => registries.Registry;
    readonly random: () => number;
    /** Whether another process of this host may have run until shortly before. */
    readonly mayReplaceProcess?: boolean;
}

/** Starts a gateway. The settings must have been validated. */
export async function startGateway(
    { settings, wireFormat, makeRegistry, random, mayReplaceProcess = false }: GatewayOptions,
): Promise<Gateway> {
    let current = settings;
    const scope = new lifecycle.Scope("gateway");
    const clock = lifecycle.monotonicClock;
    const gatewayMetrics = metrics.makeGatewayMetrics(
        (reason) => pool.countExcluded(reason, clock()),
        () => pool.count((upstream) => upstreamLimits.warmUps.leftMs(upstream) > 0),
        () =>
            pool.list().map((upstream) => {
                const incarnation = routing.incarnationOf(upstream);
                return {
                    upstream: upstream.id,
                    service: upstream.service,
                    belief: observed.beliefOf(incarnation, clock()),
                    reportAgeMs: observed.reportAgeMs(incarnation, clock()),
                    slowness: pool.healthOf(upstream).expectedSlowness(clock()),
                };
            }),
    );
    const identity = { host: settings.host, availabilityZone: settings.availabilityZone, pid: process.pid };
    const log = logs.makeDecisionLog(identity, clock, () => gatewayMetrics.droppedLogLines.inc());
    const agent = new agents.UpstreamAgent(() => gatewayMetrics.connections.inc());
    scope.defer(() => agent.destroy());
    const polls = new polling.PollRecorder(scope, clock);
    // An idle connection to another host may have gone silent, and opening one costs a round trip.
    const hostAgent = new agents.UpstreamAgent(() => undefined, false);
    scope.defer(() => hostAgent.destroy());
    const upstreamLimits = new limits.UpstreamLimits(clock, log);
    const self = `${settings.peers.address}:${settings.peers.port}`;
    const observed = new dispatch.ObservedUpstreams(self);
    const sharedSpeeds = new dispatch.SharedSpeeds();
    const pool = new pools.UpstreamPool({
        onIncarnationGone: (incarnation) => {
            agent.closeIdle(incarnation);
            upstreamLimits.forget(incarnation);
            observed.forget(incarnation);
            sharedSpeeds.forget(incarnation);
        },
        onListed: (upstreams) => upstreamLimits.warmUps.recordListing(upstreams),
        onReturn: (upstream, at) => upstreamLimits.warmUps.recordReturn(upstream, at),
        beliefOf: (incarnation, now) => observed.beliefOf(incarnation, now),
        ratioOf: (incarnation, now) => sharedSpeeds.ratioOf(incarnation, now),
    });
    const quarantine = new quarantines.Quarantine(
        clock,
        log,
        random,
        (report, source) => gatewayMetrics.crashReports.inc({ report, source }),
    );
    const registry = makeRegistry((key, problem) =>
        log.decision("invalid registration in the store", { key, problem })
    );
    const streamVersions = new versions.StreamVersions({
        scope,
        clock,
        log,
        registry,
        pool,
        longestTimeoutMs: () => longestTimeoutMs(storeView.activeConfiguration()),
        retires: (service) => dispatch.ownerOf(storeView.hosts(), service) === self,
    });
    const storeView: views.StoreView = views.openStoreView({
        scope,
        clock,
        log,
        metrics: gatewayMetrics,
        registry,
        pool,
        quarantine,
        onVersions: (stored) => streamVersions.adopt(stored),
        host: settings.host,
        address: self,
        availabilityZone: onlyRegion(settings.regions) === undefined ? settings.availabilityZone : undefined,
        freshness: () => current.freshness,
        random,
    });
    const hostTurns = new turns.HostTurns(
        { scope, clock, random, log, metrics: gatewayMetrics, pool, storeView },
        self,
        settings.availabilityZone,
    );
    const peerChannel = await peers.openPeers({
        scope,
        clock,
        log,
        listen: settings.peers,
        hosts: storeView.hosts,
        quotaTolerance: () => current.quotaTolerance,
        quotaWindowMs: settings.quotaWindowMs,
        onStoreUpdate: storeView.receiveUpdate,
        onObservations: (told) => upstreamObservations.receive(told),
        onSpeeds: (samples) => engineSpeeds.receive(samples),
        evacuations: storeView.evacuations,
        onEvacuations: storeView.receiveEvacuations,
        onUnread: (reason) => gatewayMetrics.unreadMessages.inc({ reason }),
        random,
        quarantine,
        limits: upstreamLimits,
        onTurnMessage: (message, from) => hostTurns.receive(message, from),
    });
    upstreamLimits.warmUps.setSettings({
        limitsOf: (service) => storeView.activeConfiguration()?.table.serviceByName.get(service)?.warmUp,
        tolerance: () => current.warmUpTolerance ?? warmups.NO_TOLERANCE,
    });
    storeView.setPublisher(peerChannel.sendStoreUpdate, peerChannel.askEvacuations);
    hostTurns.setChannel(peerChannel.sendTurnMessage);
    quarantine.setMessages(peerChannel.quarantine);
    upstreamLimits.setChannel(peerChannel);
    const durationForecast = new dispatch.DurationForecast();
    const hostStop = new stops.HostStop({ clock, random, log, metrics: gatewayMetrics, durationForecast });
    const reachability = new reachabilities.UpstreamReachability({ scope, clock, log, pool, agent, random });
    const upstreamObservations = new observations.UpstreamObservations({
        scope,
        clock,
        log,
        metrics: gatewayMetrics,
        view: observed,
        pool,
        self,
        hosts: storeView.hosts,
        random,
        readsBacklog: storeView.readsBacklog,
        reaches: (service) => reachability.stateOf(service) === dispatch.Reachability.Reachable,
        send: peerChannel.sendObservations,
        probe: async (upstream) => {
            await liveness.probe(context, upstream);
        },
    });
    const engineSpeeds = new speeds.EngineSpeeds({
        scope,
        clock,
        speeds: sharedSpeeds,
        pool,
        self,
        hosts: storeView.hosts,
        random,
        send: peerChannel.sendSpeeds,
    });
    const context: contexts.GatewayContext = {
        scope,
        settings,
        clock,
        random,
        log,
        metrics: gatewayMetrics,
        wireFormat,
        agent,
        polls,
        pool,
        notices: new notices.UpstreamNotices({ clock, limits: upstreamLimits, log, pool, random }),
        storeView,
        peers: peerChannel,
        retryBudget: new dispatch.RetryBudget(() => current.retries, mayReplaceProcess ? clock() : undefined),
        outputForecast: new dispatch.OutputForecast(),
        durationForecast,
        quarantine,
        limits: upstreamLimits,
        longBodies: new dispatch.Pace(dispatch.LONG_BODIES, clock()),
        longStreams: new dispatch.Pace(dispatch.LONG_STREAMS, clock()),
        observations: upstreamObservations,
        turns: hostTurns,
        speeds: engineSpeeds,
        streamVersions,
        reachability,
        relay: new relays.RelayClient(hostAgent),
        hostStop,
        regionOf: (zone) => current.regions.get(zone),
        regionOfHost: (address) =>
            onlyRegion(current.regions) ?? current.regions.get(storeView.zoneOfHost(address) ?? ""),
        sendRefusal: (response, requestId, refusal) => sendRefusal(wireFormat, response, requestId, refusal),
        logOutcome: (exchange, reason, status) => outcomes.logOutcome(context, exchange, reason, status),
    };
    const models = new handlers.ModelRequestHandler(context);
    const bounds = dispatch.boundsOf(settings.machine);
    const memory = new bodies.HeldMemory(bounds.heldBytes);
    gatewayMetrics.watchHeldBytes(() => memory.heldBytes);
    const bodyGarbage = new garbage.BodyGarbage(bounds.garbageBytes);
    const boundedTo = (maxConnections: number) => ({ maxConnections, memory, bodyGarbage });
    const callers = await servers.openCallerServer(
        context,
        models,
        settings.callers,
        boundedTo(bounds.callerConnections),
    );
    // Requests that other hosts relay arrive at the TCP port of the same number as the UDP port for messages.
    const relayed = await servers.openCallerServer(context, models, settings.peers, boundedTo(bounds.hostConnections), {
        markRequest: envelopes.markRelayed,
        accepts: (request, configuration) =>
            !hostStop.isStopping && configuration >= (envelopes.relayedRequestOf(request)?.configuration ?? Infinity),
    });
    const openRequests = () => [...callers.openRequests(), ...relayed.openRequests()];
    await endpoints.openReadinessServer(
        scope,
        settings.readiness,
        boundedTo(bounds.probeConnections),
        wireFormat.readinessPath,
        () => !hostStop.isStopping && storeView.activeConfiguration() !== undefined && pool.hasAcceptingUpstreams,
    );
    await endpoints.openMetricsServer(
        scope,
        settings.metrics,
        boundedTo(bounds.probeConnections),
        settings.metrics.path,
        gatewayMetrics.registry,
        log,
    );
    log.notice("started", { callers: settings.callers, metrics: settings.metrics });
    const stop = async () => {
        const plan = dispatch.planStop(clock(), current.stopPeriodMs);
        const isBusy = () => callers.openConnections() > 0 || relayed.openRequests().length > 0;
        hostStop.begin(plan);
        log.notice("stopping", { open: openRequests().length });
        callers.disableKeepAlive();
        relayed.disableKeepAlive();
        await lifecycle.pause(scope, plan.removedAt - clock());
        callers.stopAccepting(plan.idleMs);
        while (isBusy() && clock() < plan.lastAnswersAt) {
            await lifecycle.pause(scope, DRAIN_POLL_MS);
            callers.stopAccepting(plan.idleMs);
        }
        hostStop.answerWaiting();
        while (isBusy() && clock() < plan.cutAt) {
            await lifecycle.pause(scope, LAST_POLL_MS);
        }
        relayed.stopAccepting(0);
        const cut = openRequests();
        hostStop.cut(cut);
        log.notice("stopped", { open: cut.length, afterMs: hostStop.sinceMs });
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
        rejectReload: (reason) => log.notice("settings not reloaded", { reason }),
        recordFailure: log.failure,
        flushLog: log.flush,
    };
}

/** The region that all zones are in; undefined if there are several or none. */
function onlyRegion(regions: ReadonlyMap<string, string>): string | undefined {
    const distinct = new Set(regions.values());
    return distinct.size === 1 ? [...distinct][0] : undefined;
}

function longestTimeoutMs(active: routing.ActiveConfiguration | undefined): decision.Milliseconds {
    return Math.max(0, ...active?.table.configuration.routes.map(({ timeoutMs }) => timeoutMs) ?? []);
}

function sendRefusal(
    wireFormat: wires.WireFormat,
    response: http.ServerResponse,
    requestId: string | undefined,
    { status, reason, retryAfterMs }: exchanges.Refusal,
): void {
    const relayHeaders = envelopes.refusalHeaders(response.req, { reason, retryAfterMs });
    if (response.destroyed || response.headersSent) {
        return;
    }
    const body = Buffer.from(JSON.stringify({ error: reason }));
    response.writeHead(
        status,
        [
            ...wireFormat.refusalHeaders(requestId, retryAfterMs),
            ...relayHeaders,
            "Content-Type",
            "application/json",
            "Content-Length",
            String(body.length),
        ] as unknown as http.OutgoingHttpHeader[],
    );
    response.end(body);
}
