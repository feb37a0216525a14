import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as logs from "../src/log.js";
import * as metrics from "../src/metrics.js";
import * as quarantines from "../src/quarantine.js";
import * as views from "../src/store/view.js";
import * as pools from "../src/upstream/pool.js";
import * as fixtures from "./fixture.js";

const PERIOD_MS = 100;
const HOSTS = ["10.0.0.1:7600", "10.0.0.2:7600", "10.0.0.3:7600", "10.0.0.4:7600"];
const READER_GROUP_OPTIONS: routing.ReaderGroupOptions = { groupSize: 24, readers: 2 };

function findHost(reader: boolean): string {
    return HOSTS.find((address) =>
        routing.readerGroupOf(HOSTS, address, READER_GROUP_OPTIONS).isReader === reader
    ) as string;
}

/** One host's view of a fake store that counts its reads. */
class FakeStoreView {
    readonly scope = new lifecycle.Scope("test");
    readonly published: routing.StoreUpdate[] = [];
    /** The hosts that were asked for the emptied zones, each time. */
    readonly asked: (readonly string[])[] = [];
    readonly pool = new pools.UpstreamPool();
    readonly view: views.StoreView;
    listings = 0;
    configurationReads = 0;
    revision = 1;
    version = 1;
    upstreams: routing.Upstream[] = [];
    storeDown = false;
    /** How long a read of the configuration takes, and the most that were in flight at once. */
    configurationReadMs = 0;
    mostConfigurationReads = 0;
    era = 1;
    evacuations: routing.EvacuationListing | undefined;
    registrations = 0;
    listedHosts: readonly string[] = HOSTS;

    constructor(address: string, periodMs: number) {
        let readsInFlight = 0;
        const readConfiguration = async (): Promise<decision.Outcome<routing.RoutingConfiguration>> => {
            this.configurationReads++;
            if (this.storeDown) {
                return decision.noEffect("status 503");
            }
            const { version } = this;
            this.mostConfigurationReads = Math.max(this.mostConfigurationReads, ++readsInFlight);
            if (this.configurationReadMs > 0) {
                await lifecycle.pause(this.scope, this.configurationReadMs);
            }
            readsInFlight--;
            return decision.knownEffect(fixtures.makeConfiguration({ version }));
        };
        const clock = lifecycle.monotonicClock;
        const log = logs.makeDecisionLog({}, clock, () => undefined);
        this.view = views.openStoreView({
            scope: this.scope,
            clock,
            log,
            metrics: metrics.makeGatewayMetrics(() => 0),
            pool: this.pool,
            quarantine: new quarantines.Quarantine(clock, log, () => 0.5),
            host: "host",
            address,
            availabilityZone: "a",
            freshness: () => ({ listingPeriodMs: periodMs, configurationWatchMs: periodMs }),
            random: () => 0.5,
            onVersions: () => undefined,
            registry: {
                storeEra: () => this.era,
                evacuations: () => this.evacuations,
                readConfiguration,
                waitForConfiguration: async () => {
                    await lifecycle.pause(this.scope, PERIOD_MS / 2);
                    return readConfiguration();
                },
                listUpstreams: async () => {
                    this.listings++;
                    if (this.storeDown) {
                        return decision.noEffect("status 503");
                    }
                    return decision.knownEffect({
                        upstreams: this.upstreams,
                        era: this.era,
                        revision: this.revision,
                    });
                },
                holdDuty: async () => decision.knownEffect(undefined),
                registerHost: async () => {
                    this.registrations++;
                    return decision.knownEffect(undefined);
                },
                unregisterHost: async () => decision.knownEffect(undefined),
                listFleet: async () =>
                    decision.knownEffect({
                        hosts: this.listedHosts,
                        hostZones: new Map(),
                        barred: [],
                        versions: new Map(),
                    }),
                readVersions: async () => decision.knownEffect(undefined),
                replaceVersions: async () => decision.knownEffect(undefined),
                recordStreams: async () => decision.knownEffect(undefined),
                readStreamVersion: async () => decision.knownEffect(undefined),
                saveBarred: async () => decision.knownEffect(undefined),
                removeBarred: async () => decision.knownEffect(undefined),
            },
        });
        this.view.setPublisher(
            (update) => this.published.push(update),
            (hosts) => this.asked.push(hosts),
        );
    }

    makeUpdate(change: Partial<routing.StoreUpdate> = {}): routing.StoreUpdate {
        const upstreams = routing.digestUpstreams(this.upstreams);
        return {
            era: this.era,
            revision: this.revision,
            upstreams,
            ageMs: 0,
            configuration: this.version,
            evacuations: this.evacuations ?? { era: this.era, revision: this.revision, zones: [] },
            ...change,
        };
    }

    /** Waits until the hosts are listed and the first reads are done. */
    async settle(): Promise<void> {
        await lifecycle.pause(this.scope, PERIOD_MS * 2);
    }
}

describe("StoreView", () => {
    const started: FakeStoreView[] = [];
    const start = async (reader: boolean, periodMs = PERIOD_MS) => {
        const hostView = new FakeStoreView(findHost(reader), periodMs);
        started.push(hostView);
        await hostView.settle();
        return hostView;
    };

    afterEach(() => Promise.all(started.splice(0).map(({ scope }) => scope.close())));

    it("reads the store at a reader and sends updates to the group", async () => {
        const reader = await start(true);
        reader.published.length = 0;
        await lifecycle.pause(reader.scope, PERIOD_MS * 5);
        chai.expect(reader.published.length).to.be.within(3, 6);
        chai.expect(reader.published.at(-1)).to.include({ revision: 1, configuration: 1 });
    });

    it("does not read the store at a host whose readers confirm its view", async () => {
        const follower = await start(false);
        const before = { listings: follower.listings, configurationReads: follower.configurationReads };
        for (let count = 0; count < 10; count++) {
            follower.revision++;
            follower.view.receiveUpdate(follower.makeUpdate());
            await lifecycle.pause(follower.scope, PERIOD_MS / 2);
        }
        chai.expect(follower.listings).to.equal(before.listings);
        chai.expect(follower.configurationReads).to.equal(before.configurationReads);
        chai.expect(follower.published).to.deep.equal([]);
    });

    it("reads the store at once when an update announces a change", async () => {
        const follower = await start(false);
        const before = follower.listings;
        follower.version = 2;
        follower.revision = 5;
        follower.upstreams = [fixtures.makeUpstream("u-1", { address: "10.0.1.1:80" })];
        follower.view.receiveUpdate(follower.makeUpdate());
        await lifecycle.pause(follower.scope, PERIOD_MS / 5);
        chai.expect(follower.listings).to.equal(before + 1);
        chai.expect(follower.view.activeConfiguration()?.table.configuration.version).to.equal(2);
    });

    it("reads a configuration once at a time, however many updates tell of it, and then what they told meanwhile", async () => {
        const follower = await start(false, 10_000);
        const before = follower.configurationReads;
        follower.configurationReadMs = 200;
        follower.mostConfigurationReads = 0;
        for (const version of [2, 2, 3, 3]) {
            follower.version = version;
            follower.view.receiveUpdate(follower.makeUpdate());
            await lifecycle.pause(follower.scope, 20);
        }
        await lifecycle.pause(follower.scope, 1_000);
        chai.expect(follower.mostConfigurationReads).to.equal(1);
        chai.expect(follower.configurationReads - before).to.equal(2);
        chai.expect(follower.view.activeConfiguration()?.table.configuration.version).to.equal(3);
    });

    it("takes over what an update says has changed, without a read, also while the store turns it away", async () => {
        const follower = await start(false, 2_000);
        const former = follower.upstreams;
        const active = follower.view.activeConfiguration()?.table.configuration as routing.RoutingConfiguration;
        const before = { listings: follower.listings, configurationReads: follower.configurationReads };
        const next = [fixtures.makeUpstream("u-1", { address: "10.0.1.1:80" })];
        const configuration = { ...active, version: 2, limits: { ...active.limits, bodyBytes: 7 } };
        const configurationChange = {
            ...routing.diffConfigurations(active, configuration) as routing.Change,
            digest: routing.digestConfiguration(configuration),
        };
        follower.storeDown = true;
        follower.upstreams = next;
        follower.revision = 5;
        follower.version = 2;
        const upstreamsChange = routing.diffListings(former, next);
        follower.view.receiveUpdate(follower.makeUpdate({ upstreamsChange, configurationChange }));
        await lifecycle.pause(follower.scope, 50);
        chai.expect(follower.view.activeConfiguration()?.table.configuration).to.deep.equal(configuration);
        chai.expect(follower.pool.hasAcceptingUpstreams).to.equal(true);
        // The other reader tells what it knows from the listing before.
        follower.revision = 6;
        follower.upstreams = [];
        const later = routing.diffListings(former, []);
        follower.view.receiveUpdate(follower.makeUpdate({ upstreamsChange: later }));
        await lifecycle.pause(follower.scope, 50);
        chai.expect(follower.pool.hasAcceptingUpstreams).to.equal(false);
        chai.expect({ listings: follower.listings, configurationReads: follower.configurationReads })
            .to.deep.equal(before);
        // A change from a listing that this host never had is no help.
        follower.view.receiveUpdate(
            follower.makeUpdate({ upstreams: "other", upstreamsChange: { from: "unknown", patch: "{}" } }),
        );
        await lifecycle.pause(follower.scope, 20);
        chai.expect(follower.listings).to.equal(before.listings + 1);
    });

    it("tells what has changed in the first updates after a reader's read", async () => {
        const reader = await start(true);
        reader.published.length = 0;
        const former = reader.upstreams;
        reader.upstreams = [fixtures.makeUpstream("u-1", { address: "10.0.1.1:80" })];
        reader.revision++;
        await lifecycle.pause(reader.scope, PERIOD_MS * 8);
        const told = reader.published.flatMap((update) => update.upstreamsChange ? [update] : []);
        chai.expect(told.length).to.be.within(1, 4);
        const [first] = told as [routing.StoreUpdate];
        chai.expect(routing.applyListingChange(former, first.upstreamsChange as routing.Change, first.upstreams))
            .to.deep.equal(JSON.parse(JSON.stringify(reader.upstreams)));
    });

    it("retries at a low rate at a follower while the store is down, and reads at once when a reader sends an update", async () => {
        const periodMs = 600;
        const follower = await start(false, periodMs);
        follower.storeDown = true;
        await lifecycle.pause(follower.scope, periodMs * 2);
        const before = follower.listings;
        await lifecycle.pause(follower.scope, periodMs * 3);
        // A reader would retry every 250 ms, seven times in this period.
        chai.expect(follower.listings - before).to.be.within(2, 4);
        follower.storeDown = false;
        follower.revision = 9;
        const failed = follower.listings;
        follower.view.receiveUpdate(follower.makeUpdate({ upstreams: "other" }));
        await lifecycle.pause(follower.scope, 20);
        chai.expect(follower.listings).to.equal(failed + 1);
    });

    it("reads again soon after a single failed read at a follower", async () => {
        const follower = await start(false, 1_000);
        follower.storeDown = true;
        follower.view.receiveUpdate(follower.makeUpdate({ upstreams: "other" }));
        await lifecycle.pause(follower.scope, 20);
        follower.storeDown = false;
        const before = follower.listings;
        await lifecycle.pause(follower.scope, 400);
        chai.expect(follower.listings).to.equal(before + 1);
    });

    it("reads the store at each host while the readers' updates are missing or stale", async () => {
        const follower = await start(false);
        const before = { listings: follower.listings, configurationReads: follower.configurationReads };
        for (let count = 0; count < 10; count++) {
            follower.view.receiveUpdate(follower.makeUpdate({ ageMs: PERIOD_MS * 20, configuration: undefined }));
            await lifecycle.pause(follower.scope, PERIOD_MS / 2);
        }
        chai.expect(follower.listings - before.listings).to.be.within(2, 5);
        chai.expect(follower.configurationReads - before.configurationReads).to.be.within(2, 5);
    });

    it("registers again and keeps the other hosts when the store has come back from a copy", async () => {
        for (const isReader of [true, false]) {
            const host = await start(isReader);
            const before = { registrations: host.registrations, listings: host.listings };
            const learnsFrom = host.makeUpdate({ era: 2, revision: 0 });
            host.era = 2;
            host.revision = 0;
            host.listedHosts = [];
            host.view.receiveUpdate(learnsFrom);
            await lifecycle.pause(host.scope, 600);
            chai.expect(host.listings, "listings").to.be.above(before.listings);
            chai.expect(host.registrations, "registrations").to.equal(before.registrations + 1);
            chai.expect(host.view.hosts()).to.deep.equal(HOSTS);
        }
    });

    it("ignores the updates of readers that have not seen the new era", async () => {
        const follower = await start(false);
        follower.era = 2;
        follower.revision = 0;
        follower.view.receiveUpdate(follower.makeUpdate());
        await lifecycle.pause(follower.scope, 20);
        const before = follower.listings;
        follower.view.receiveUpdate(follower.makeUpdate({ era: 1, revision: 900, upstreams: "other" }));
        await lifecycle.pause(follower.scope, 20);
        chai.expect(follower.listings).to.equal(before);
    });

    describe("and emptied zones", () => {
        const emptiedAt = (...zones: string[]): routing.EvacuationListing => ({
            era: 1,
            revision: ++revision,
            zones: zones.map((zone) => ({ zone, revision })),
        });
        const zonesOf = ({ pool }: FakeStoreView) =>
            pool.emptiedZones(lifecycle.monotonicClock()).map(({ zone }) => zone);
        let revision = 1;

        it("tells the group of them at once at a reader", async () => {
            const reader = await start(true, 2_000);
            reader.published.length = 0;
            reader.evacuations = emptiedAt("a");
            await lifecycle.pause(reader.scope, PERIOD_MS);
            chai.expect(zonesOf(reader)).to.deep.equal(["a"]);
            chai.expect(reader.published.at(0)?.evacuations).to.deep.equal(reader.evacuations);
        });

        it("knows them at a follower from the readers' updates, without a read", async () => {
            const follower = await start(false, 2_000);
            const before = follower.configurationReads;
            for (const zones of [["a"], ["a", "b"], ["b"], []]) {
                follower.view.receiveUpdate(follower.makeUpdate({ evacuations: emptiedAt(...zones) }));
                chai.expect(zonesOf(follower)).to.deep.equal(zones);
            }
            chai.expect(follower.configurationReads).to.equal(before);
        });

        it("reads the store at a follower whose readers are of a build that does not tell them", async () => {
            const follower = await start(false);
            const before = follower.configurationReads;
            follower.evacuations = emptiedAt("a");
            for (let count = 0; count < 10; count++) {
                follower.view.receiveUpdate(follower.makeUpdate({ evacuations: undefined }));
                await lifecycle.pause(follower.scope, PERIOD_MS / 2);
            }
            chai.expect(zonesOf(follower)).to.deep.equal(["a"]);
            chai.expect(follower.configurationReads - before).to.be.within(2, 5);
        });

        it("asks three hosts for them, once a second, while it cannot read the store", async () => {
            const host = await start(true);
            host.storeDown = true;
            await lifecycle.pause(host.scope, 1_700);
            chai.expect(host.asked.map((hosts) => new Set(hosts).size)).to.deep.equal([3, 3]);
            chai.expect(host.asked.flat()).to.not.include(findHost(true));
            host.view.receiveEvacuations(emptiedAt("c"), "10.0.0.9");
            chai.expect(zonesOf(host)).to.deep.equal(["c"]);
            host.view.receiveEvacuations({ era: 1, revision: 1, zones: [] }, "10.0.0.9");
            chai.expect(zonesOf(host)).to.deep.equal(["c"]);
        });
    });
});
