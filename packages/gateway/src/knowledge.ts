import * as decision from "@citronlead/decision";
import type * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import type * as logs from "./log.js";
import type * as metrics from "./metrics.js";
import type * as ports from "./ports.js";
import type * as settings from "./settings.js";
import * as reads from "./storeread.js";
import * as directories from "./upstreamdirectory.js";
import type * as pools from "./upstreampool.js";

/** Period of renewals of this host's registration, a third of its life. */
const ANNOUNCE_PERIOD_MS = 2_500;
/** Hosts for which two read: messages of a reader stay under 3 KB a second. */
const READER_TERMS: routing.ReaderTerms = { groupSize: 24, readers: 2 };
/** A host reads by itself when its readers have been silent for this many periods: one message was lost, or a reader. */
const SILENT_PERIODS = 1.3;

/** Pause after a failed read: with the time-out of a call, one failure still leaves time for a departure. */
const RETRY_PAUSE_MS = 250;
/**
 * Pause of hosts whose readers try as well, in periods: while the store is down, calls of the whole fleet would tell
 * nothing more than those of its readers, who tell the others when it is back.
 */
const FOLLOWER_RETRY_PERIODS = 1;
/** How late the answer to a watch may be; a later one means that its connection is silent. */
const LATE_WATCH_MS = 300;

/** Tells hosts what was read in the store. */
export type TellNews = (news: routing.StoreNews, hosts: readonly string[]) => void;

/** What a host knows from the store: configuration, upstreams and other hosts. */
export interface Knowledge {
    readonly inForce: () => routing.InForce | undefined;
    /** Addresses of the hosts that are registered, this one included. */
    readonly hosts: () => readonly string[];
    /** Takes in what another host read. */
    readonly hear: (news: routing.StoreNews) => void;
    /** Sets how other hosts are told what this one read; before, they are not. */
    readonly tellBy: (tell: TellNews) => void;
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
    readonly freshness: () => settings.Freshness;
}

/** Keeps knowledge up to date until the scope closes. */
export function keepKnowledge(parts: KnowledgeParts): Knowledge {
    const { scope, clock, log, registry, freshness } = parts;
    const retryMs = () => group.reader ? RETRY_PAUSE_MS : freshness().listingPeriodMs * FOLLOWER_RETRY_PERIODS;
    const shared = { scope, clock, log, metrics: parts.metrics, retryMs };
    const silenceMs = () => freshness().listingPeriodMs * SILENT_PERIODS;
    let inForce: routing.InForce | undefined;
    let hosts: readonly string[] = [parts.address];
    let tellNews: TellNews | undefined;
    let group = routing.readerGroup(hosts, parts.address, READER_TERMS);
    const version = () => inForce?.table.configuration.version ?? 0;
    const directory = new directories.UpstreamDirectory(clock, log, parts.pool);
    const tell = () => {
        const mark = directory.mark;
        if (tellNews && group.reader && mark && group.others.length > 0) {
            const vouched = configuration.ageMs < freshness().configurationWatchMs + LATE_WATCH_MS;
            const news = { revision: mark.revision, upstreams: mark.digest, ageMs: upstreams.ageMs };
            tellNews({ ...news, configuration: vouched ? version() : undefined }, group.others);
        }
    };
    const adopt = (read: decision.Outcome<routing.RoutedConfiguration | undefined>) => {
        if (read.effect !== decision.Effect.Known || !read.value) {
            return read;
        }
        const next = routing.adopt(inForce, read.value, clock());
        if (next !== inForce) {
            log.notice("configuration in force", {
                version: read.value.version,
                formerVersion: inForce?.table.configuration.version,
                routes: read.value.routes.length,
                reader: group.reader,
            });
            parts.metrics.configurationVersion.set(read.value.version);
            inForce = next;
            tell();
        }
        return read;
    };
    const listHosts = async () => {
        const announced = await registry.announceHost(parts.host, parts.address);
        const listed = await registry.listHosts();
        if (listed.effect === decision.Effect.Known) {
            const next = [...new Set([...listed.value, parts.address])].sort();
            if (next.join() !== hosts.join()) {
                group = routing.readerGroup(next, parts.address, READER_TERMS);
                log.notice("hosts changed", { hosts: next.length, former: hosts.length, reader: group.reader });
            }
            hosts = next;
        }
        return announced.effect === decision.Effect.Known ? listed : announced;
    };
    const configuration = new reads.StoreRead({
        ...shared,
        what: "configuration",
        waits: true,
        // A reader waits for changes at the store, so it asks again at once.
        limitMs: () => group.reader ? 0 : silenceMs(),
        read: async () => adopt(await (group.reader ? registry.nextConfiguration() : registry.readConfiguration())),
    });
    const upstreams = new reads.StoreRead({
        ...shared,
        what: "upstreams",
        limitMs: () => group.reader ? freshness().listingPeriodMs : silenceMs(),
        read: async () => {
            const asked = clock();
            const outcome = await registry.listUpstreams();
            if (outcome.effect === decision.Effect.Known) {
                directory.listed(outcome.value, asked);
            }
            return outcome;
        },
        onRead: tell,
    });
    new reads.StoreRead({ ...shared, what: "hosts", limitMs: () => ANNOUNCE_PERIOD_MS, read: listHosts });
    scope.own(async () => {
        await registry.withdrawHost();
    });
    const hearConfiguration = (told: number | undefined) => {
        if (told !== undefined && told > version()) {
            // Beside a reader's own watch, whose connection may be silent.
            void registry.readConfiguration().then(adopt);
        }
        else if (told === version() && !group.reader) {
            configuration.confirm(0);
        }
    };
    return {
        inForce: () => inForce,
        hosts: () => hosts,
        tellBy: (tell) => tellNews = tell,
        hear: (news) => {
            hearConfiguration(news.configuration);
            switch (directory.compare(news)) {
                case routing.NewsComparison.Same:
                    directory.confirmed(news.revision, news.ageMs);
                    upstreams.confirm(news.ageMs);
                    return;
                case routing.NewsComparison.Newer:
                    void upstreams.now();
                    return;
                case routing.NewsComparison.Older:
            }
        },
    };
}
