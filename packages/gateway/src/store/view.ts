import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as background from "../background.js";
import type * as logs from "../log.js";
import type * as metrics from "../metrics.js";
import type * as quarantines from "../quarantine.js";
import type * as registries from "../registry.js";
import type * as settings from "../settings.js";
import type * as pools from "../upstream/pool.js";
import * as directories from "./directory.js";
import * as pollers from "./poller.js";

/** Interval between renewals of this host's registration, a third of its lifetime. */
const REGISTRATION_RENEWAL_MS = 2_500;
/** Two readers per 24 hosts: the messages of a reader stay under 3 KB per second. */
const READER_GROUP_OPTIONS: routing.ReaderGroupOptions = { groupSize: 24, readers: 2 };
/**
 * Delay after a failed read at a reader, and after the first one at a follower: short enough to notice a departure in
 * time even after a call that timed out, on a dead connection for example.
 */
const SHORT_RETRY_DELAY_MS = 250;
/**
 * Delay after further failed reads at a follower, in listing periods. While the store is down, calls of the whole fleet reveal
 * no more than those of the readers, who send an update once the store is available again.
 */
const FOLLOWER_RETRY_PERIODS = 1;
/** Hosts register again within this time after the store has come back from a copy, not all at once. */
const REREGISTRATION_SPREAD_MS = 400;
/** How long hosts that were registered before count as registered: they need a reader's update and a call. */
const HOST_RECOVERY_MS = 4_000;
/** How late the response to a watch may be; beyond it the connection is considered dead. */
const WATCH_TOLERANCE_MS = 300;

/** Sends what was read in the store to the given hosts. */
export type PublishUpdate = (update: routing.StoreUpdate, hosts: readonly string[]) => void;

/** A host's view of the store: configuration, upstreams and other hosts. */
export interface StoreView {
    readonly activeConfiguration: () => routing.ActiveConfiguration | undefined;
    /** Addresses of the registered hosts, including this one. */
    readonly hosts: () => readonly string[];
    /** Whether the hosts have been read from the store; before, only this one is known. */
    readonly hasListedHosts: () => boolean;
    /** See `Registry.holdDuty`. */
    readonly holdDuty: registries.Registry["holdDuty"];
    /** Whether the upstreams were listed as lately as they are without disturbance. */
    readonly isInStep: () => boolean;
    /** Lists the upstreams anew. Returns whether the listing is of a time after the call. */
    readonly confirmUpstreams: () => Promise<boolean>;
    /** Handles an update from a reader. */
    readonly receiveUpdate: (update: routing.StoreUpdate) => void;
    /** Sets how updates are sent to other hosts; until then none are sent. */
    readonly setPublisher: (publish: PublishUpdate) => void;
}

export interface StoreViewOptions {
    readonly scope: lifecycle.Scope;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly metrics: metrics.GatewayMetrics;
    readonly registry: registries.Registry;
    readonly pool: pools.UpstreamPool;
    readonly quarantine: quarantines.Quarantine;
    /** Called with the software versions that hosts have written. */
    readonly onVersions: (versions: registries.FleetListing["versions"]) => void;
    readonly host: string;
    /** Address at which other hosts reach this one. */
    readonly address: string;
    readonly freshness: () => settings.Freshness;
    /** Draws a number in [0, 1). */
    readonly random: () => number;
}

/** Keeps a view of the store up to date until the scope closes. */
export function openStoreView(options: StoreViewOptions): StoreView {
    const { scope, clock, log, registry, freshness } = options;
    const retryDelayMs = (failures: number) =>
        group.isReader || failures === 1
            ? SHORT_RETRY_DELAY_MS
            : freshness().listingPeriodMs * FOLLOWER_RETRY_PERIODS;
    const sharedOptions = { scope, clock, log, metrics: options.metrics, retryDelayMs };
    const maxSilenceMs = () => freshness().listingPeriodMs * directories.MAX_SILENT_PERIODS;
    let active: routing.ActiveConfiguration | undefined;
    let hosts: readonly string[] = [options.address];
    let hasListedHosts = false;
    let publishUpdate: PublishUpdate | undefined;
    let group = routing.readerGroupOf(hosts, options.address, READER_GROUP_OPTIONS);
    const version = () => active?.table.configuration.version ?? 0;
    const directory = new directories.UpstreamDirectory(
        clock,
        log,
        options.pool,
        () => freshness().listingPeriodMs,
    );
    const publish = () => {
        const listing = directory.version;
        if (publishUpdate && group.isReader && listing && group.otherHosts.length > 0) {
            const isFresh = configurationPoller.ageMs < freshness().configurationWatchMs + WATCH_TOLERANCE_MS;
            const update = {
                era: listing.era,
                revision: listing.revision,
                upstreams: listing.digest,
                ageMs: upstreamPoller.ageMs,
            };
            publishUpdate({ ...update, configuration: isFresh ? version() : undefined }, group.otherHosts);
        }
    };
    const adoptRead = (read: decision.Outcome<routing.RoutingConfiguration | undefined>) => {
        if (read.effect !== decision.Effect.Known || !read.value) {
            return read;
        }
        const next = routing.adoptConfiguration(active, read.value, clock());
        if (next !== active) {
            log.notice("configuration in force", {
                version: read.value.version,
                formerVersion: active?.table.configuration.version,
                routes: read.value.routes.length,
                reader: group.isReader,
            });
            options.metrics.configurationVersion.set(read.value.version);
            active = next;
            publish();
        }
        return read;
    };
    let era = registry.storeEra();
    let hostGraceUntil: decision.Milliseconds = -Infinity;
    const checkEra = () => {
        const latest = registry.storeEra();
        // The first response of the store is no comeback.
        if (latest > era && era > 0) {
            log.notice("store came back from a copy", { era: latest, formerEra: era, hosts: hosts.length });
            hostGraceUntil = clock() + HOST_RECOVERY_MS;
            lifecycle.after(
                scope,
                options.random() * REREGISTRATION_SPREAD_MS,
                () => void hostsPoller.refresh(),
            );
            void upstreamPoller.refresh();
        }
        era = Math.max(era, latest);
    };
    const refreshHosts = async () => {
        // Listed first, so that a host that starts knows what is barred as soon as it can.
        const listed = await registry.listFleet();
        const registered = await registry.registerHost(options.host, options.address);
        if (listed.effect === decision.Effect.Known) {
            const { barred } = listed.value;
            background.runInBackground(
                log,
                "compare barred fingerprints",
                () => options.quarantine.reconcile(barred, registry),
            );
            options.onVersions(listed.value.versions);
            const kept = clock() < hostGraceUntil ? hosts : [];
            const next = [...new Set([...listed.value.hosts, ...kept, options.address])].sort();
            if (next.join() !== hosts.join()) {
                group = routing.readerGroupOf(next, options.address, READER_GROUP_OPTIONS);
                log.notice("hosts changed", { hosts: next.length, former: hosts.length, reader: group.isReader });
            }
            hosts = next;
            hasListedHosts = true;
        }
        return registered.effect === decision.Effect.Known ? listed : registered;
    };
    const configurationPoller = new pollers.StorePoller({
        ...sharedOptions,
        name: "configuration",
        longPoll: true,
        onRead: checkEra,
        // A reader's call waits for changes at the store, so it is repeated at once.
        maxAgeMs: () => group.isReader ? 0 : maxSilenceMs(),
        read: async () =>
            adoptRead(await (group.isReader ? registry.waitForConfiguration() : registry.readConfiguration())),
    });
    const upstreamPoller = new pollers.StorePoller({
        ...sharedOptions,
        name: "upstreams",
        maxAgeMs: () => group.isReader ? freshness().listingPeriodMs : maxSilenceMs(),
        read: async () => {
            const requestedAt = clock();
            const outcome = await registry.listUpstreams();
            if (outcome.effect === decision.Effect.Known) {
                directory.applyListing(outcome.value, requestedAt);
            }
            return outcome;
        },
        onRead: () => {
            publish();
            checkEra();
        },
    });
    const hostsPoller: pollers.StorePoller = new pollers.StorePoller({
        ...sharedOptions,
        name: "hosts",
        maxAgeMs: () => REGISTRATION_RENEWAL_MS,
        read: refreshHosts,
        onRead: checkEra,
    });
    scope.defer(async () => {
        await registry.unregisterHost();
    });
    const receiveConfigurationVersion = (receivedVersion: number | undefined) => {
        if (receivedVersion !== undefined && receivedVersion > version()) {
            // A reader does this too, in addition to its watch, because the connection of the watch may be dead.
            background.runInBackground(
                log,
                "read configuration",
                async () => adoptRead(await registry.readConfiguration()),
            );
        }
        else if (receivedVersion === version() && !group.isReader) {
            configurationPoller.confirm(0);
        }
    };
    const stalls = new lifecycle.StallDetector(
        scope,
        clock,
        (lengthMs) => log.notice("process stood still", { lengthMs: Math.round(lengthMs) }),
    );
    return {
        activeConfiguration: () => active,
        hosts: () => hosts,
        hasListedHosts: () => hasListedHosts,
        holdDuty: registry.holdDuty,
        setPublisher: (publisher) => publishUpdate = publisher,
        isInStep: () => !stalls.readsBacklog && upstreamPoller.ageMs <= maxSilenceMs(),
        confirmUpstreams: () => upstreamPoller.readAnew(),
        receiveUpdate: (update) => {
            // Updates that waited while the process stood still are older than they say.
            if (stalls.readsBacklog) {
                void upstreamPoller.refresh();
                return;
            }
            receiveConfigurationVersion(update.configuration);
            switch (directory.compareListing(update)) {
                case routing.ListingComparison.Same:
                    directory.confirmListing(update.revision, update.ageMs);
                    upstreamPoller.confirm(update.ageMs);
                    return;
                case routing.ListingComparison.Newer:
                    void upstreamPoller.refresh();
                    return;
                case routing.ListingComparison.Older:
            }
        },
    };
}
