import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as dispatch from "../src/index.js";

const SECOND_MS = 1_000;
const DURATION_MS = 3_000;
const WALL_NOW = 1_700_000_000_000;
const TOLERANCE = { factor: 1.5, slack: 5 };
const LONG_AGO = WALL_NOW - 600_000;

const listed = (change: object = {}) => ({
    startedAt: LONG_AGO,
    registrationNumber: 7,
    warmUpLeftMs: 0,
    ...change,
});

describe("WarmUps", () => {
    it("count a new incarnation as warming up, though its registration says nothing", () => {
        const warmUps = new dispatch.WarmUps();
        warmUps.recordListed("a@1", listed({ startedAt: WALL_NOW - 400 }), WALL_NOW, 100);
        chai.expect(warmUps.endOf("a@1", DURATION_MS, 200)).to.deep.equal({
            until: 100 + DURATION_MS,
            source: dispatch.WarmUpSource.Start,
        });
        chai.expect(warmUps.endOf("a@1", DURATION_MS, 100 + DURATION_MS)).to.equal(undefined);
    });

    it("do not count an upstream that started long ago as warming up, nor one that nobody has listed", () => {
        const warmUps = new dispatch.WarmUps();
        warmUps.recordListed("a@1", listed(), WALL_NOW, 100);
        chai.expect(warmUps.endOf("a@1", DURATION_MS, 100)).to.equal(undefined);
        chai.expect(warmUps.endOf("b@1", DURATION_MS, 100)).to.equal(undefined);
    });

    it("allow for the clocks of hosts and upstreams, which differ by seconds", () => {
        for (const differenceMs of [-5_000, 5_000]) {
            const warmUps = new dispatch.WarmUps();
            warmUps.recordListed("a@1", listed({ startedAt: WALL_NOW + differenceMs }), WALL_NOW, 100);
            chai.expect(warmUps.endOf("a@1", DURATION_MS, 2_900)?.until).to.equal(100 + DURATION_MS);
        }
    });

    it("take a registration's time from when it was first read, not from each listing of it", () => {
        const warmUps = new dispatch.WarmUps();
        warmUps.recordListed("a@1", listed(), WALL_NOW, 0);
        warmUps.recordListed("a@1", listed({ registrationNumber: 8, warmUpLeftMs: 2_000 }), WALL_NOW, 1_000);
        warmUps.recordListed("a@1", listed({ registrationNumber: 8, warmUpLeftMs: 2_000 }), WALL_NOW, 2_500);
        chai.expect(warmUps.endOf("a@1", DURATION_MS, 2_600)).to.deep.equal({
            until: 3_000,
            source: dispatch.WarmUpSource.Registration,
        });
    });

    it("follow an upstream that turns cold again without a new registration, and one that is warm early", () => {
        const warmUps = new dispatch.WarmUps();
        warmUps.recordListed("a@1", listed(), WALL_NOW, 0);
        chai.expect(warmUps.recordNamed("a@1", 1_500, dispatch.WarmUpSource.Answer, 5_000)).to.equal(true);
        chai.expect(warmUps.recordNamed("a@1", 1_400, dispatch.WarmUpSource.Answer, 5_110)).to.equal(false);
        chai.expect(warmUps.endOf("a@1", DURATION_MS, 6_000)?.source).to.equal(dispatch.WarmUpSource.Answer);
        chai.expect(warmUps.recordNamed("a@1", 0, dispatch.WarmUpSource.Answer, 5_600)).to.equal(true);
        chai.expect(warmUps.endOf("a@1", DURATION_MS, 5_600)).to.equal(undefined);
    });

    it("keep what an answer has named, whatever a later registration leaves out", () => {
        const warmUps = new dispatch.WarmUps();
        warmUps.recordListed("a@1", listed(), WALL_NOW, 0);
        warmUps.recordNamed("a@1", 2_000, dispatch.WarmUpSource.Answer, 100);
        warmUps.recordListed("a@1", listed({ registrationNumber: 8 }), WALL_NOW, 500);
        chai.expect(warmUps.endOf("a@1", DURATION_MS, 1_000)?.until).to.equal(2_100);
    });

    it("count one that starts again without telling when, and one that was away, as warming up", () => {
        const warmUps = new dispatch.WarmUps();
        warmUps.recordListed("a@0", listed({ startedAt: 0 }), WALL_NOW, 0);
        chai.expect(warmUps.endOf("a@0", DURATION_MS, 5_000)).to.equal(undefined);
        warmUps.recordListed("a@0", listed({ startedAt: 0, registrationNumber: 1 }), WALL_NOW, 5_000);
        chai.expect(warmUps.endOf("a@0", DURATION_MS, 6_000)?.until).to.equal(5_000 + DURATION_MS);
        warmUps.recordReturn("a@0", 20_000);
        chai.expect(warmUps.endOf("a@0", DURATION_MS, 21_000)?.source).to.equal(dispatch.WarmUpSource.Return);
    });
});

describe("What an upstream that warms up may take", () => {
    it("is longer than usual, by no more than the warm-up lasts", () => {
        chai.expect([0, 200, 5_000].map((left) => dispatch.warmUpPatienceMs(600, left))).to.deep.equal([
            600,
            800,
            1_200,
        ]);
    });

    it("is given out evenly from its first second on, and never in a burst", () => {
        const limit = dispatch.warmUpLimit(11, TOLERANCE);
        const owner = new dispatch.QuotaLimiter(dispatch.LIMIT_WINDOW_MS);
        const grantedAt: number[] = [];
        for (let now = 0; now < 6_000; now += 5) {
            // Nothing is asked for in the third and fourth second; what is left over does not add up.
            const asks = now < 2_000 || now >= 4_000;
            if (asks && owner.charge("a@1", dispatch.warmUpSendLimit(limit, dispatch.WarmUpSend.Run), 1, now).granted) {
                grantedAt.push(now);
            }
        }
        chai.expect(grantedAt[0]).to.be.below(300);
        chai.expect(grantedAt.length / 4).to.be.above(0.55 * 11);
        chai.expect(testing.mostInWindow(grantedAt, 50)).to.be.at.most(2);
        chai.expect(testing.mostInWindow(grantedAt, SECOND_MS)).to.be.at.most(Math.ceil(limit.ratePerSecond) + 2);
    });

    it("grants a reservation only where its run is granted at once", () => {
        const limit = dispatch.warmUpLimit(2, { factor: 1, slack: 0 });
        const owner = new dispatch.QuotaLimiter(dispatch.LIMIT_WINDOW_MS);
        const charge = (turn: dispatch.WarmUpSend, now: number) =>
            owner.charge("a@1", dispatch.warmUpSendLimit(limit, turn), 1, now).granted;
        let pairs = 0;
        for (let now = 0; now < 20_000; now += 10) {
            if (charge(dispatch.WarmUpSend.Reserve, now)) {
                chai.expect(charge(dispatch.WarmUpSend.Reserve, now + 1), "another reservation").to.equal(false);
                chai.expect(charge(dispatch.WarmUpSend.Run, now + 2), "the run").to.equal(true);
                pairs++;
            }
        }
        chai.expect(pairs).to.be.above(20 * limit.ratePerSecond / 2 - 2);
    });

    it("adds up to no more than any second bears, over hosts that lose the owner, know different hosts or hear of none", () => {
        testing.forEachSeed([1, 2, 3, 4, 5, 6], (seed) => {
            const random = decision.seeded(seed);
            const perSecond = random.pick([3, 11, 40]);
            const hostCount = random.pick([6, 77, 380]);
            const limit = dispatch.warmUpSendLimit(dispatch.warmUpLimit(perSecond, TOLERANCE), dispatch.WarmUpSend.Run);
            const owners = [0, 1].map(() => new dispatch.QuotaLimiter(dispatch.LIMIT_WINDOW_MS));
            const shares = Array.from({ length: hostCount }, () => new dispatch.LimitShare(() => random.fraction()));
            const engines = ["a@2", "b@2", "c@2"];
            const arrivals = new Map<string, number[]>(engines.map((engine) => [engine, []]));
            for (let now = 0; now < 30_000; now += random.exponential(2)) {
                const host = random.integer(0, hostCount - 1);
                const engine = random.pick(engines);
                // From 6 s on, the first owner is dead for a third of the hosts, replaced for another and heard by the last.
                const view = now < 6_000 ? 0 : host % 3;
                const { granted } = view === 2
                    ? (shares[host] as dispatch.LimitShare).charge(engine, limit.ratePerSecond, hostCount, now)
                    : (owners[view] as dispatch.QuotaLimiter).charge(engine, limit, 1, now);
                if (granted) {
                    // The permit travels to the host, and the request to the engine.
                    arrivals.get(engine)?.push(now + 1 + 8 * random.fraction());
                }
            }
            for (const [engine, arrivedAt] of arrivals) {
                const most = testing.mostInWindow(arrivedAt.sort((one, other) => one - other), SECOND_MS);
                const what = `${engine}, ${perSecond} a second, ${hostCount} hosts`;
                chai.expect(most, what).to.be.at.most(perSecond * TOLERANCE.factor + TOLERANCE.slack);
                chai.expect(arrivedAt.length / 30, what).to.be.above(0.55 * perSecond);
            }
        });
    });
});
