import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import type * as logs from "./log.js";
import type * as metrics from "./metrics.js";
import type * as ports from "./ports.js";
import type * as pools from "./upstreampool.js";

/** Period of listings of upstreams: departures must be known within two seconds, and each call is billed. */
const LISTING_PERIOD_MS = 1_000;
/** Pause after a failed read of the store: with the time-out of a call, one failure still leaves time for a departure. */
const RETRY_PAUSE_MS = 250;
/** A pause between listings after which registrations may have lapsed: two beats of an upstream. */
const OUTAGE_MS = 2_400;
/** Time in which lapsed registrations are back after an outage, with one listing period to spare. */
const RETURN_MS = 2_800;
/** Period of renewals of this host's registration, a third of its life. */
const ANNOUNCE_PERIOD_MS = 2_500;

/** What a host knows from the store: configuration, upstreams and other hosts. */
export interface Knowledge {
    readonly inForce: () => routing.InForce | undefined;
    /** Addresses of the hosts that are registered, this one included. */
    readonly hosts: () => readonly string[];
    /** Takes a configuration in that came by another way than the store. */
    readonly offer: (configuration: routing.RoutedConfiguration, source: string) => void;
}

/** What knowledge is kept with. */
export interface KnowledgeParts {
    readonly scope: lifecycle.Lifecycle;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly metrics: metrics.GatewayMetrics;
    readonly registry: ports.Registry;
    readonly pool: pools.UpstreamPool;
    readonly host: string;
    /** Address at which other hosts reach this one. */
    readonly address: string;
}

/** Keeps knowledge up to date until the scope closes. */
export function keepKnowledge(parts: KnowledgeParts): Knowledge {
    const { scope, clock, log, registry, pool } = parts;
    let inForce: routing.InForce | undefined;
    let directory = routing.emptyDirectory;
    let hosts: readonly string[] = [parts.address];
    const offer = (configuration: routing.RoutedConfiguration, source: string) => {
        const next = routing.adopt(inForce, configuration, clock());
        if (next !== inForce) {
            log.notice("configuration in force", {
                version: configuration.version,
                formerVersion: inForce?.table.configuration.version,
                source,
                routes: configuration.routes.length,
            });
            parts.metrics.configurationVersion.set(configuration.version);
            inForce = next;
        }
    };
    const followConfiguration = async () => {
        const outcome = await registry.nextConfiguration(inForce?.table.configuration.version ?? 0);
        if (outcome.effect === decision.Effect.Known && outcome.value) {
            offer(outcome.value, "store");
        }
        return outcome;
    };
    const listUpstreams = async () => {
        const asked = clock();
        const outcome = await registry.listUpstreams();
        if (outcome.effect === decision.Effect.Known) {
            const terms = { outageMs: OUTAGE_MS, returnMs: RETURN_MS };
            const next = routing.applyListing(directory, outcome.value, terms, asked, clock());
            logChanges(log, directory, next);
            directory = next;
            pool.update(directory);
        }
        return outcome;
    };
    const announce = async () => {
        const announced = await registry.announceHost(parts.host, parts.address);
        const listed = await registry.listHosts();
        if (listed.effect === decision.Effect.Known) {
            const next = [...new Set([...listed.value, parts.address])].sort();
            if (next.join() !== hosts.join()) {
                log.notice("hosts changed", { hosts: next.length, former: hosts.length });
            }
            hosts = next;
        }
        return announced.effect === decision.Effect.Known ? listed : announced;
    };
    repeat(parts, "configuration", 0, followConfiguration);
    repeat(parts, "upstreams", LISTING_PERIOD_MS, listUpstreams);
    repeat(parts, "hosts", ANNOUNCE_PERIOD_MS, announce);
    scope.own(async () => {
        await registry.withdrawHost();
    });
    return { inForce: () => inForce, hosts: () => hosts, offer };
}

/** Repeats a read of the store until the scope closes, and logs when it is lost and regained. */
function repeat(
    parts: KnowledgeParts,
    what: string,
    periodMs: decision.Milliseconds,
    read: () => Promise<decision.Outcome<unknown>>,
): void {
    const { scope, clock, log, metrics } = parts;
    let lostAt: decision.Milliseconds | undefined;
    const once = async () => {
        const startedAt = clock();
        const outcome = await read();
        const known = outcome.effect === decision.Effect.Known;
        metrics.storeCalls.inc({ call: what, result: outcome.effect });
        if (!known && lostAt === undefined) {
            lostAt = startedAt;
            log.notice("store lost", { read: what, reason: outcome.reason });
        }
        if (known && lostAt !== undefined) {
            log.notice("store regained", { read: what, afterMs: Math.round(clock() - lostAt) });
            lostAt = undefined;
        }
        const pauseMs = known ? Math.max(0, periodMs - (clock() - startedAt)) : RETRY_PAUSE_MS;
        if (pauseMs > 0) {
            await lifecycle.pause(scope, pauseMs);
        }
    };
    const loop = async () => {
        while (!scope.closed) {
            await once();
        }
    };
    void loop();
}

function logChanges(log: logs.DecisionLog, former: routing.Directory, next: routing.Directory): void {
    for (const [id, { upstream, missingSince }] of next.known) {
        const before = former.known.get(id);
        if (
            before?.upstream.state !== upstream.state
            || before.upstream.startedAt !== upstream.startedAt
            || before.missingSince !== missingSince
        ) {
            log.decision("upstream changed", {
                upstream: id,
                service: upstream.service,
                address: upstream.address,
                state: upstream.state,
                stage: upstream.stage,
                missing: missingSince !== undefined,
            });
        }
    }
    for (const id of former.known.keys()) {
        if (!next.known.has(id)) {
            log.decision("upstream gone", { upstream: id });
        }
    }
}
