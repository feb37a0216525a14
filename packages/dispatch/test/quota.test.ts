import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as dispatch from "../src/index.js";

const WINDOW_MS = 8_000;
const LIMIT: dispatch.QuotaLimit = { ratePerSecond: 1_000, burst: 1_000, version: 1 };

describe("QuotaLimiter", () => {
    it("grants no more than the rate times the window and the burst in any window", () => {
        const charges = fastCheck.array(
            fastCheck.record({
                pauseMs: fastCheck.integer({ min: 0, max: 900 }),
                cost: fastCheck.integer({ min: 1, max: 900 }),
            }),
            { maxLength: 200 },
        );
        fastCheck.assert(fastCheck.property(charges, (list) => {
            const limiter = new dispatch.QuotaLimiter(WINDOW_MS);
            const granted: { at: number; cost: number; }[] = [];
            let now = 0;
            for (const { pauseMs, cost } of list) {
                now += pauseMs;
                if (limiter.charge("north", LIMIT, cost, now).granted) {
                    granted.push({ at: now, cost });
                }
                const inWindow = granted.filter(({ at }) => at > now - WINDOW_MS);
                chai.expect(inWindow.reduce((sum, charge) => sum + charge.cost, 0)).to.be.at.most(9_000);
            }
        }));
    });

    it("serves a workspace that uses its rate in bursts of a second", () => {
        const limiter = new dispatch.QuotaLimiter(WINDOW_MS);
        let refused = 0;
        for (let second = 0; second < 60; second++) {
            const requests = second % 4 === 0 ? 18 : 6;
            for (let request = 0; request < requests; request++) {
                refused += limiter.charge("north", LIMIT, 100, second * 1_000 + request).granted ? 0 : 1;
            }
        }
        // 900 units per second on average. Only the first window may refuse, because the charges before it are unknown.
        chai.expect(refused).to.be.at.most(18);
    });

    it("keeps granting at the new rate as soon as the limit is lowered", () => {
        const limiter = new dispatch.QuotaLimiter(WINDOW_MS);
        for (let at = 0; at < 16_000; at += 100) {
            limiter.charge("north", LIMIT, 100, at);
        }
        const lower = { ratePerSecond: 300, burst: 300, version: 2 };
        let granted = 0;
        for (let at = 16_000; at < 18_000; at += 100) {
            granted += limiter.charge("north", lower, 100, at).granted ? 1 : 0;
        }
        chai.expect(granted).to.be.within(5, 9);
    });

    it("applies the newest version while hosts charge under two versions alternately", () => {
        const limiter = new dispatch.QuotaLimiter(WINDOW_MS);
        const lower = { ratePerSecond: 300, burst: 300, version: 2 };
        let granted = 0;
        for (let at = 0; at < WINDOW_MS; at += 50) {
            const limit = at % 100 === 0 ? LIMIT : lower;
            granted += limiter.charge("north", limit, 100, at).granted ? 100 : 0;
        }
        // The first window of the former limit grants at most its burst; the rest is granted under the lower limit.
        chai.expect(granted).to.be.at.most(LIMIT.burst + lower.ratePerSecond * WINDOW_MS / 1_000 + lower.burst);
    });

    it("returns the time after which a refused charge is granted", () => {
        const limiter = new dispatch.QuotaLimiter(WINDOW_MS);
        limiter.charge("north", LIMIT, 1_000, 0);
        const refusal = limiter.charge("north", LIMIT, 500, 0);
        chai.expect(refusal.granted).to.equal(false);
        const waitMs = refusal.granted ? 0 : refusal.waitMs;
        chai.expect(limiter.charge("north", LIMIT, 500, waitMs + 200).granted).to.equal(true);
    });

    it("does not count refunded charges, and counts the others until their windows end", () => {
        const limiter = new dispatch.QuotaLimiter(WINDOW_MS);
        // The charges before the first window are unknown.
        limiter.charge("north", LIMIT, 1, 0);
        const outcomes = [];
        for (let request = 0; request < 300; request++) {
            const at = WINDOW_MS + request * 10;
            const charge = limiter.charge("north", LIMIT, 100, at);
            // Two of three requests find no capacity 100 ms later.
            if (charge.granted && charge.bucket !== undefined && request % 3 > 0) {
                limiter.refund("north", charge.bucket, 100, at + 100);
            }
            outcomes.push(charge.granted);
        }
        // 30,000 units are charged and 10,000 of them run, which is 1,000 beyond the limit of a window.
        chai.expect(outcomes.indexOf(false)).to.be.above(240);
        const ran = outcomes.filter((granted, request) => granted && request % 3 === 0).length * 100;
        chai.expect(ran).to.be.at.most(9_000);
    });

    it("ignores refunds of charges that have expired", () => {
        const limiter = new dispatch.QuotaLimiter(WINDOW_MS);
        limiter.charge("north", LIMIT, 1, 0);
        const old = limiter.charge("north", LIMIT, 1_000, WINDOW_MS);
        for (let request = 0; request < 90; request++) {
            limiter.charge("north", LIMIT, 100, 2 * WINDOW_MS + 500);
        }
        chai.expect(old.granted).to.equal(true);
        limiter.refund("north", (old as { bucket: number; }).bucket, 1_000, 2 * WINDOW_MS + 500);
        chai.expect(limiter.charge("north", LIMIT, 500, 2 * WINDOW_MS + 600).granted).to.equal(false);
    });

    it("lets hosts without a reachable owner grant less than the limit in total", () => {
        const hostLimit = dispatch.fallbackLimit(LIMIT, 0, 9);
        chai.expect(hostLimit.ratePerSecond * 9).to.be.below(LIMIT.ratePerSecond);
        chai.expect(hostLimit.burst * 9).to.be.at.most(LIMIT.burst);
    });
});
