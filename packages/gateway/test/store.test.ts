import * as decision from "@citronlead/decision";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as logs from "../src/log.js";
import * as metrics from "../src/metrics.js";
import * as views from "../src/store/view.js";
import * as pools from "../src/upstream/pool.js";
import * as fixtures from "./fixture.js";

const PERIOD_MS = 100;
const HOSTS = ["10.0.0.1:7600", "10.0.0.2:7600", "10.0.0.3:7600", "10.0.0.4:7600"];
const TERMS: routing.ReaderGroupOptions = { groupSize: 24, readers: 2 };

function host(reader: boolean): string {
    return HOSTS.find((address) => routing.readerGroupOf(HOSTS, address, TERMS).isReader === reader) as string;
}

/** Knowledge of one host beside a store that counts its reads. */
class Watched {
    readonly scope = new lifecycle.Lifecycle("test");
    readonly told: routing.StoreUpdate[] = [];
    readonly knowledge: views.StoreView;
    listings = 0;
    configurationReads = 0;
    revision = 1;
    version = 1;
    upstreams: routing.Upstream[] = [];
    storeDown = false;

    constructor(address: string, periodMs: number) {
        const readConfiguration = async () => {
            this.configurationReads++;
            return decision.known(fixtures.makeConfiguration({ version: this.version }));
        };
        this.knowledge = views.openStoreView({
            scope: this.scope,
            clock: lifecycle.monotonicClock,
            log: logs.makeDecisionLog({}, lifecycle.monotonicClock, () => undefined),
            metrics: metrics.makeGatewayMetrics(),
            pool: new pools.UpstreamPool(() => undefined),
            host: "host",
            address,
            freshness: () => ({ listingPeriodMs: periodMs, configurationWatchMs: periodMs }),
            registry: {
                readConfiguration,
                nextConfiguration: async () => {
                    await lifecycle.pause(this.scope, PERIOD_MS / 2);
                    return readConfiguration();
                },
                listUpstreams: async () => {
                    this.listings++;
                    if (this.storeDown) {
                        return decision.noEffect("status 503");
                    }
                    return decision.known({ upstreams: this.upstreams, revision: this.revision });
                },
                announceHost: async () => decision.known(undefined),
                withdrawHost: async () => decision.known(undefined),
                listHosts: async () => decision.known(HOSTS),
            },
        });
        this.knowledge.setPublisher((news) => this.told.push(news));
    }

    news(change: Partial<routing.StoreUpdate> = {}): routing.StoreUpdate {
        const upstreams = routing.digestUpstreams(this.upstreams);
        return { revision: this.revision, upstreams, ageMs: 0, configuration: this.version, ...change };
    }

    /** Waits until the hosts are known and the first reads are done. */
    async settle(): Promise<void> {
        await lifecycle.pause(this.scope, PERIOD_MS * 2);
    }
}

describe("Knowledge of the store", () => {
    const started: Watched[] = [];
    const start = async (reader: boolean, periodMs = PERIOD_MS) => {
        const watched = new Watched(host(reader), periodMs);
        started.push(watched);
        await watched.settle();
        return watched;
    };

    afterEach(() => Promise.all(started.splice(0).map(({ scope }) => scope.close())));

    it("is read by a reader, which tells its group what it saw", async () => {
        const reader = await start(true);
        reader.told.length = 0;
        await lifecycle.pause(reader.scope, PERIOD_MS * 5);
        chai.expect(reader.told.length).to.be.within(3, 6);
        chai.expect(reader.told.at(-1)).to.include({ revision: 1, configuration: 1 });
    });

    it("is not read by a host that hears the same of its readers", async () => {
        const follower = await start(false);
        const before = { listings: follower.listings, configurationReads: follower.configurationReads };
        for (let told = 0; told < 10; told++) {
            follower.revision++;
            follower.knowledge.receiveUpdate(follower.news());
            await lifecycle.pause(follower.scope, PERIOD_MS / 2);
        }
        chai.expect(follower.listings).to.equal(before.listings);
        chai.expect(follower.configurationReads).to.equal(before.configurationReads);
        chai.expect(follower.told).to.deep.equal([]);
    });

    it("is read at once by a host that hears of a change", async () => {
        const follower = await start(false);
        const before = follower.listings;
        follower.version = 2;
        follower.revision = 5;
        follower.upstreams = [{
            id: "u-1",
            service: "counter",
            address: "10.0.1.1:80",
            availabilityZone: "a",
            state: routing.UpstreamState.Ready,
            slots: 6,
            stage: undefined,
            startedAt: 1,
            warmUpLeftMs: 0,
        }];
        follower.knowledge.receiveUpdate(follower.news());
        await lifecycle.pause(follower.scope, PERIOD_MS / 5);
        chai.expect(follower.listings).to.equal(before + 1);
        chai.expect(follower.knowledge.activeConfiguration()?.table.configuration.version).to.equal(2);
    });

    it("is asked for seldom by a follower while the store is down, and read at once when a reader has it again", async () => {
        const periodMs = 600;
        const follower = await start(false, periodMs);
        follower.storeDown = true;
        await lifecycle.pause(follower.scope, periodMs * 2);
        const before = follower.listings;
        await lifecycle.pause(follower.scope, periodMs * 3);
        // A reader tries each 250 ms, seven times in this span.
        chai.expect(follower.listings - before).to.be.within(2, 4);
        follower.storeDown = false;
        follower.revision = 9;
        const failed = follower.listings;
        follower.knowledge.receiveUpdate(follower.news({ upstreams: "other" }));
        await lifecycle.pause(follower.scope, 20);
        chai.expect(follower.listings).to.equal(failed + 1);
    });

    it("is read by each host for itself while the readers are silent or cannot vouch for what they know", async () => {
        const follower = await start(false);
        const before = { listings: follower.listings, configurationReads: follower.configurationReads };
        for (let told = 0; told < 10; told++) {
            follower.knowledge.receiveUpdate(follower.news({ ageMs: PERIOD_MS * 20, configuration: undefined }));
            await lifecycle.pause(follower.scope, PERIOD_MS / 2);
        }
        chai.expect(follower.listings - before.listings).to.be.within(2, 5);
        chai.expect(follower.configurationReads - before.configurationReads).to.be.within(2, 5);
    });
});
