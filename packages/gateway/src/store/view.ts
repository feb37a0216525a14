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
import * as evacuations from "./evacuations.js";
import * as pollers from "./poller.js";

/** Interval between renewals of this host's registration, a third of its lifetime. */
const REGISTRATION_RENEWAL_MS = 2_500;
/** Two readers per 24 hosts: the messages of a reader stay under 3 KB per second. */
const READER_GROUP_OPTIONS: routing.ReaderGroupOptions = { groupSize: 24, readers: 2 };
/**
 * Delay after a first failed read: short enough to notice a departure in
 * time even after a call that timed out, on a dead connection for example.
 */
const SHORT_RETRY_DELAY_MS = 250;
/**
 * Delay after further failed reads at a follower, in listing periods. While the store is down, calls of the whole fleet reveal
 * no more than those of the readers, who send an update once the store is available again.
 */
const FOLLOWER_RETRY_PERIODS = 1;
/** The same at a reader. */
const READER_RETRY_PERIODS = 0.5;
/** Hosts register again within this time after the store has come back from a copy, not all at once. */
const REREGISTRATION_SPREAD_MS = 400;
/** How long hosts that were registered before count as registered: they need a reader's update and a call. */
const HOST_RECOVERY_MS = 4_000;
/** How late the response to a watch may be; beyond it the connection is considered dead. */
const WATCH_TOLERANCE_MS = 300;

/** Number of hosts that a host asks for the emptied zones while it cannot read the store, and time until it asks again. */
const ASKED_HOSTS = 3;
const ASK_PERIOD_MS = 1_000;

/** Number of updates in which the latest change of the configuration is told. */
const CONFIGURATION_TELLS = 4;

/** Sends what was read in the store to the given hosts. */
export type PublishUpdate = (update: routing.StoreUpdate, hosts: readonly string[]) => void;

/** A host's view of the store: configuration, upstreams and other hosts. */
export interface StoreView {
    readonly activeConfiguration: () => routing.ActiveConfiguration | undefined;
    /** Addresses of the registered hosts, including this one. */
    readonly hosts: () => readonly string[];
    /** Availability zone of a host, by its address; undefined if it is not known. */
    readonly zoneOfHost: (address: string) => string | undefined;
    /** The emptied zones as this host knows them; undefined before the first read. */
    readonly evacuations: () => routing.EvacuationListing | undefined;
    /** Handles the emptied zones that another host knows. */
    readonly receiveEvacuations: (listing: routing.EvacuationListing, from: string) => void;
    /** Whether the hosts have been read from the store; before, only this one is known. */
    readonly hasListedHosts: () => boolean;
    /** See `Registry.holdDuty`. */
    readonly holdDuty: registries.Registry["holdDuty"];
    /** Whether the upstreams were listed as lately as they are without disturbance. */
    readonly isInStep: () => boolean;
    /** Whether what is read now may have waited while the process stood still. */
    readonly readsBacklog: () => boolean;
    /** Lists the upstreams anew. Returns whether the listing is of a time after the call. */
    readonly confirmUpstreams: () => Promise<boolean>;
    /** Handles an update from a reader. */
    readonly receiveUpdate: (update: routing.StoreUpdate, from?: string) => void;
    /** Sets how updates are sent to other hosts, and how they are asked for emptied zones; until then neither is done. */
    readonly setPublisher: (publish: PublishUpdate, askEvacuations?: (hosts: readonly string[]) => void) => void;
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
    /** Told to other hosts; undefined where all zones are in one region. */
    readonly availabilityZone: string | undefined;
    readonly freshness: () => settings.Freshness;
    /** Draws a number in [0, 1). */
    readonly random: () => number;
}

/** Keeps a view of the store up to date until the scope closes. */
export function openStoreView(options: StoreViewOptions): StoreView {
    const { scope, clock, log, registry, freshness } = options;
    const retryDelayMs = (failures: number) => {
        const longestMs = freshness().listingPeriodMs
            * (group.isReader ? READER_RETRY_PERIODS : FOLLOWER_RETRY_PERIODS);
        return failures === 1 ? SHORT_RETRY_DELAY_MS : Math.max(SHORT_RETRY_DELAY_MS, longestMs);
    };
    const sharedOptions = { scope, clock, log, metrics: options.metrics, retryDelayMs };
    const maxSilenceMs = () => freshness().listingPeriodMs * directories.MAX_SILENT_PERIODS;
    let active: routing.ActiveConfiguration | undefined;
    let hosts: readonly string[] = [options.address];
    let hostZones: ReadonlyMap<string, string> = new Map();
    let hasListedHosts = false;
    let publishUpdate: PublishUpdate | undefined;
    let askEvacuations: ((hosts: readonly string[]) => void) | undefined;
    let askedAt: decision.Milliseconds = -Infinity;
    const keeper = new evacuations.EvacuationKeeper(clock, log, options.metrics, options.pool);
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
            publishUpdate(
                {
                    ...update,
                    configuration: isFresh ? version() : undefined,
                    evacuations: keeper.listing,
                    upstreamsChange: directory.takeChange(),
                    configurationChange: isFresh && configurationTells-- > 0 ? configurationChange : undefined,
                },
                group.otherHosts,
            );
        }
    };
    const askOthers = () => {
        if (clock() - askedAt < ASK_PERIOD_MS) {
            return;
        }
        askedAt = clock();
        const drawn = hosts
            .filter((host) => host !== options.address)
            .map((host) => ({ host, order: options.random() }))
            .sort((one, other) => one.order - other.order);
        askEvacuations?.(drawn.slice(0, ASKED_HOSTS).map(({ host }) => host));
    };
    let configurationChange: routing.StoreUpdate["configurationChange"];
    let configurationTells = 0;
    const adoptRead = (read: decision.Outcome<routing.RoutingConfiguration | undefined>) => {
        if (keeper.adopt(registry.evacuations(), "store")) {
            publish();
        }
        if (read.effect !== decision.Effect.Known) {
            askOthers();
            return read;
        }
        if (!read.value) {
            return read;
        }
        adopt(read.value, "store");
        return read;
    };
    const adopt = (configuration: routing.RoutingConfiguration, source: string) => {
        const next = routing.adoptConfiguration(active, configuration, clock());
        if (next === active) {
            return;
        }
        const former = active?.table.configuration;
        const change = former && group.isReader ? routing.diffConfigurations(former, configuration) : undefined;
        log.notice("configuration in force", {
            version: configuration.version,
            formerVersion: former?.version,
            routes: configuration.routes.length,
            reader: group.isReader,
            source,
            toldCharacters: change?.patch.length,
        });
        options.metrics.configurationVersion.set(configuration.version);
        configurationChange = change && { ...change, digest: routing.digestConfiguration(configuration) };
        configurationTells = CONFIGURATION_TELLS;
        active = next;
        publish();
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
            if (group.isReader) {
                // The watch, of the former era, ends at its own time.
                background.runInBackground(
                    log,
                    "read configuration",
                    async () => adoptRead(await registry.readConfiguration()),
                );
            }
        }
        era = Math.max(era, latest);
    };
    const refreshHosts = async () => {
        // Listed first at the start, so that a host knows what is barred as soon as it can; later a store that does not renew
        // the registration is not asked for the list either.
        const known = hasListedHosts ? undefined : await registry.listFleet();
        const registered = await registry.registerHost(options.host, options.address, options.availabilityZone);
        if (known === undefined && registered.effect !== decision.Effect.Known) {
            return registered;
        }
        const listed = known ?? await registry.listFleet();
        if (listed.effect === decision.Effect.Known) {
            hasListedHosts = true;
            const { barred } = listed.value;
            background.runInBackground(
                log,
                "compare barred fingerprints",
                () => options.quarantine.reconcile(barred, registry),
            );
            options.onVersions(listed.value.versions);
            hostZones = listed.value.hostZones;
            const kept = clock() < hostGraceUntil ? hosts : [];
            const next = [...new Set([...listed.value.hosts, ...kept, options.address])].sort();
            if (next.join() !== hosts.join()) {
                group = routing.readerGroupOf(next, options.address, READER_GROUP_OPTIONS);
                log.notice("hosts changed", { hosts: next.length, former: hosts.length, reader: group.isReader });
            }
            hosts = next;
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
        retryDelayMs: (failures) => failures === 1 ? SHORT_RETRY_DELAY_MS : REGISTRATION_RENEWAL_MS,
        maxAgeMs: () => REGISTRATION_RENEWAL_MS,
        read: refreshHosts,
        onRead: checkEra,
    });
    scope.defer(async () => {
        await registry.unregisterHost();
    });
    /** Applies the change that another host has read. */
    const takeOverConfiguration = ({ configuration, configurationChange: change }: routing.StoreUpdate) => {
        const changed = change && active && configuration !== undefined && configuration > version()
            ? routing.applyConfigurationChange(active.table.configuration, change, change.digest)
            : undefined;
        if (changed) {
            adopt(changed, "other host");
        }
    };
    let isReadingTold = false;
    let toldMeanwhile = 0;
    /** Reads a version that another host has told, and once more if a newer one is told meanwhile. */
    const readToldConfiguration = async () => {
        isReadingTold = true;
        try {
            do {
                toldMeanwhile = 0;
                adoptRead(await registry.readConfiguration());
            }
            while (toldMeanwhile > version() && !scope.closed);
        }
        finally {
            isReadingTold = false;
        }
    };
    const receiveConfigurationVersion = (receivedVersion: number | undefined, tellsEvacuations: boolean) => {
        if (receivedVersion !== undefined && receivedVersion > version()) {
            toldMeanwhile = Math.max(toldMeanwhile, receivedVersion);
            // Reads beside each other would share the link, so that each of them takes longer.
            if (!isReadingTold) {
                // A reader does this too, in addition to its watch, because the connection of the watch may be dead.
                background.runInBackground(log, "read configuration", readToldConfiguration);
            }
        }
        // What confirms the configuration spares a read that would tell the emptied zones too.
        else if (receivedVersion === version() && tellsEvacuations && !group.isReader) {
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
        zoneOfHost: (address) => hostZones.get(address),
        evacuations: () => keeper.listing,
        receiveEvacuations: (listing, from) => void keeper.adopt(listing, from),
        hasListedHosts: () => hasListedHosts,
        holdDuty: registry.holdDuty,
        setPublisher: (publisher, ask) => {
            publishUpdate = publisher;
            askEvacuations = ask;
        },
        isInStep: () => !stalls.readsBacklog && upstreamPoller.ageMs <= maxSilenceMs(),
        readsBacklog: () => stalls.readsBacklog,
        confirmUpstreams: () => upstreamPoller.readAnew(),
        receiveUpdate: (update, from) => {
            keeper.adopt(update.evacuations, from ?? "another host");
            // Updates that waited while the process stood still are older than they say.
            if (stalls.readsBacklog) {
                void upstreamPoller.refresh();
                return;
            }
            takeOverConfiguration(update);
            receiveConfigurationVersion(update.configuration, update.evacuations !== undefined);
            switch (directory.compareListing(update)) {
                case routing.ListingComparison.Same:
                    directory.confirmListing(update.revision, update.ageMs);
                    upstreamPoller.confirm(update.ageMs);
                    return;
                case routing.ListingComparison.Newer:
                    if (directory.applyChange(update)) {
                        upstreamPoller.confirm(update.ageMs);
                        return;
                    }
                    void upstreamPoller.refresh();
                    return;
                case routing.ListingComparison.Older:
            }
        },
    };
}
