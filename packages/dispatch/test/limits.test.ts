import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as dispatch from "../src/index.js";

describe("NamedLimits", () => {
    it("keep a limit while answers name it, and tell what is news", () => {
        const limits = new dispatch.NamedLimits();
        chai.expect(limits.observe("a@1", 4, 0, 10)).to.equal(true);
        chai.expect(limits.observe("a@1", 4.1, 20, 30)).to.equal(false);
        chai.expect(limits.observe("a@1", 2, 40, 50)).to.equal(true);
        chai.expect(limits.limitOf("a@1", 60)).to.equal(2);
        chai.expect(limits.observe("a@1", undefined, 60, 70)).to.equal(true);
        chai.expect(limits.observe("a@1", undefined, 80, 90)).to.equal(false);
        chai.expect(limits.limitOf("a@1", 100)).to.equal(undefined);
    });

    it("do not end a limit with an answer to a request from before it was named", () => {
        const limits = new dispatch.NamedLimits();
        limits.observe("a@1", 4, 0, 10);
        chai.expect(limits.observe("a@1", undefined, 5, 20)).to.equal(false);
        chai.expect(limits.limitOf("a@1", 30)).to.equal(4);
    });

    it("ask an upstream that takes nothing now and then, and forget a limit that no answer names any more", () => {
        const limits = new dispatch.NamedLimits();
        limits.adopt("a@1", 0, 0);
        chai.expect(limits.limitOf("a@1", 1_000)).to.be.above(0);
        chai.expect(limits.limitOf("a@1", 60_000)).to.equal(undefined);
    });

    it("remember how long a limit is spent, also as the upstream names it again", () => {
        const limits = new dispatch.NamedLimits();
        limits.adopt("a@1", 4, 0);
        limits.recordSpent("a@1", 300, 100);
        limits.adopt("a@1", 4, 200);
        chai.expect([limits.spentForMs("a@1", 250), limits.spentForMs("a@1", 500)]).to.deep.equal([150, 0]);
    });
});

describe("Limits of upstreams at their owner", () => {
    const WINDOW_MS = 4_000;

    it("let a fleet send no more than an upstream names in any 4 s, by half and 5 requests, also without the owner", () => {
        testing.forEachSeed([1, 2, 3, 4, 5], (seed) => {
            const random = decision.seeded(seed);
            const perSecond = random.pick([0.25, 0.5, 1, 2.9, 4, 12]);
            const hostCount = random.pick([3, 9, 195]);
            const owner = new dispatch.QuotaLimiter(dispatch.LIMIT_WINDOW_MS);
            const own = Array.from({ length: hostCount }, () => new dispatch.LimitShare());
            const limit = { ratePerSecond: perSecond, burst: 0, version: 0 };
            const sentAt: number[] = [];
            for (let now = 0; now < 30_000; now += random.exponential(15)) {
                const host = random.integer(0, hostCount - 1);
                // Half of the hosts cannot reach the owner for ten seconds.
                const isCutOff = now > 10_000 && now < 20_000 && host % 2 === 0;
                const { granted } = isCutOff
                    ? (own[host] as dispatch.LimitShare).charge("a@1", perSecond, hostCount, now)
                    : owner.charge("a@1", limit, 1, now);
                if (granted) {
                    sentAt.push(now);
                }
            }
            const allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
            const most = testing.mostInWindow(sentAt, WINDOW_MS);
            chai.expect(most, `limit ${perSecond}, ${hostCount} hosts`).to.be.at.most(allowed);
            chai.expect(sentAt.length / 30).to.be.above(0.7 * perSecond);
        });
    });
});
