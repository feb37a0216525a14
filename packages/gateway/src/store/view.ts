import * as decision from "@citronlead/decision";
import type * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import type * as logs from "../log.js";
import type * as metrics from "../metrics.js";
import type * as registries from "../registry.js";
import type * as settings from "../settings.js";
import type * as pools from "../upstream/pool.js";
import * as directories from "./directory.js";
import * as pollers from "./poller.js";

/** Period of renewals of this host's registration, a third of its life. */
const REGISTRATION_RENEWAL_MS = 2_500;
/** Hosts for which two read: messages of a reader stay under 3 KB a second. */
const READER_GROUP_OPTIONS: routing.ReaderGroupOptions = { groupSize: 24, readers: 2 };
/**
 * A host reads by itself when its readers have been silent for this many periods: one message was lost, or a reader.
 */
const MAX_SILENT_PERIODS = 1.3;

/** Pause after a failed read: with the time-out of a call, one failure still leaves time for a departure. */
const READER_RETRY_DELAY_MS = 250;
/**
 * Pause of hosts whose readers try as well, in periods: while the store is down, calls of the whole fleet would tell
 * nothing more than those of its readers, who tell the others when it is back.
 */
const FOLLOWER_RETRY_PERIODS = 1;
/** How late the answer to a watch may be; a later one means that its connection is silent. */
const WATCH_TOLERANCE_MS = 300;

/** Tells hosts what was read in the store. */
export type PublishUpdate = (news: routing.StoreUpdate, hosts: readonly string[]) => void;

/** What a host knows from the store: configuration, upstreams and other hosts. */
export interface StoreView {
    readonly activeConfiguration: () => routing.ActiveConfiguration | undefined;
    /** Addresses of the hosts that are registered, this one included. */
    readonly hosts: () => readonly string[];
    /** Takes in what another host read. */
    readonly receiveUpdate: (news: routing.StoreUpdate) => void;
    /** Sets how other hosts are told what this one read; before, they are not. */
    readonly setPublisher: (tell: PublishUpdate) => void;
}

/** What knowledge is kept with. */
export interface StoreViewOptions {
    readonly scope: lifecycle.Lifecycle;
    readonly clock: decision.Clock;
    readonly log: logs.DecisionLog;
    readonly metrics: metrics.GatewayMetrics;
    readonly registry: registries.Registry;
    readonly pool: pools.UpstreamPool;
    readonly host: string;
    /** Address at which other hosts reach this one. */
    readonly address: string;
    readonly freshness: () => settings.Freshness;
}

/** Keeps knowledge up to date until the scope closes. */
export function openStoreView(options: StoreViewOptions): StoreView {
    const { scope, clock, log, registry, freshness } = options;
    const retryDelayMs = () =>
        group.isReader ? READER_RETRY_DELAY_MS : freshness().listingPeriodMs * FOLLOWER_RETRY_PERIODS;
    const sharedOptions = { scope, clock, log, metrics: options.metrics, retryDelayMs };
    const maxSilenceMs = () => freshness().listingPeriodMs * MAX_SILENT_PERIODS;
    let active: routing.ActiveConfiguration | undefined;
    let hosts: readonly string[] = [options.address];
    let publishUpdate: PublishUpdate | undefined;
    let group = routing.readerGroupOf(hosts, options.address, READER_GROUP_OPTIONS);
    const version = () => active?.table.configuration.version ?? 0;
    const directory = new directories.UpstreamDirectory(clock, log, options.pool);
    const publish = () => {
        const listing = directory.version;
        if (publishUpdate && group.isReader && listing && group.otherHosts.length > 0) {
            const isFresh = configurationPoller.ageMs < freshness().configurationWatchMs + WATCH_TOLERANCE_MS;
            const news = { revision: listing.revision, upstreams: listing.digest, ageMs: upstreamPoller.ageMs };
            publishUpdate({ ...news, configuration: isFresh ? version() : undefined }, group.otherHosts);
        }
    };
    const adoptRead = (read: decision.Outcome<routing.RoutedConfiguration | undefined>) => {
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
    const refreshHosts = async () => {
        const registered = await registry.announceHost(options.host, options.address);
        const listed = await registry.listHosts();
        if (listed.effect === decision.Effect.Known) {
            const next = [...new Set([...listed.value, options.address])].sort();
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
        // A reader waits for changes at the store, so it asks again at once.
        maxAgeMs: () => group.isReader ? 0 : maxSilenceMs(),
        read: async () =>
            adoptRead(await (group.isReader ? registry.nextConfiguration() : registry.readConfiguration())),
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
        onRead: publish,
    });
    new pollers.StorePoller({
        ...sharedOptions,
        name: "hosts",
        maxAgeMs: () => REGISTRATION_RENEWAL_MS,
        read: refreshHosts,
    });
    scope.own(async () => {
        await registry.withdrawHost();
    });
    const receiveConfigurationVersion = (receivedVersion: number | undefined) => {
        if (receivedVersion !== undefined && receivedVersion > version()) {
            // Beside a reader's own watch, whose connection may be silent.
            void registry.readConfiguration().then(adoptRead);
        }
        else if (receivedVersion === version() && !group.isReader) {
            configurationPoller.confirm(0);
        }
    };
    return {
        activeConfiguration: () => active,
        hosts: () => hosts,
        setPublisher: (tell) => publishUpdate = tell,
        receiveUpdate: (news) => {
            receiveConfigurationVersion(news.configuration);
            switch (directory.compareListing(news)) {
                case routing.ListingComparison.Same:
                    directory.confirmListing(news.revision, news.ageMs);
                    upstreamPoller.confirm(news.ageMs);
                    return;
                case routing.ListingComparison.Newer:
                    void upstreamPoller.refresh();
                    return;
                case routing.ListingComparison.Older:
            }
        },
    };
}
