import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as dispatch from "../src/index.js";

const WINDOW_MS = 8_000;
const LIMIT: dispatch.QuotaLimit = { ratePerSecond: 1_000, burst: 1_000, version: 1 };

describe("QuotaLedgers", () => {
    it("grants no more than the rate times the window and the burst in any window", () => {
        const charges = fastCheck.array(
            fastCheck.record({
                pauseMs: fastCheck.integer({ min: 0, max: 900 }),
                cost: fastCheck.integer({ min: 1, max: 900 }),
            }),
            { maxLength: 200 },
        );
        fastCheck.assert(fastCheck.property(charges, (list) => {
            const ledgers = new dispatch.QuotaLedgers(WINDOW_MS);
            const granted: { at: number; cost: number; }[] = [];
            let now = 0;
            for (const { pauseMs, cost } of list) {
                now += pauseMs;
                if (ledgers.charge("north", LIMIT, cost, now).granted) {
                    granted.push({ at: now, cost });
                }
                const inWindow = granted.filter(({ at }) => at > now - WINDOW_MS);
                chai.expect(inWindow.reduce((sum, charge) => sum + charge.cost, 0)).to.be.at.most(9_000);
            }
        }));
    });

    it("serves a workspace that asks for its rate in bursts of seconds", () => {
        const ledgers = new dispatch.QuotaLedgers(WINDOW_MS);
        let refused = 0;
        for (let second = 0; second < 60; second++) {
            const requests = second % 4 === 0 ? 18 : 6;
            for (let request = 0; request < requests; request++) {
                refused += ledgers.charge("north", LIMIT, 100, second * 1_000 + request).granted ? 0 : 1;
            }
        }
        // Nine hundred a second on the mean; only the first window, whose past is unknown, may refuse.
        chai.expect(refused).to.be.at.most(18);
    });

    it("goes on granting at a lower limit at once", () => {
        const ledgers = new dispatch.QuotaLedgers(WINDOW_MS);
        for (let at = 0; at < 16_000; at += 100) {
            ledgers.charge("north", LIMIT, 100, at);
        }
        const lower = { ratePerSecond: 300, burst: 300, version: 2 };
        let granted = 0;
        for (let at = 16_000; at < 18_000; at += 100) {
            granted += ledgers.charge("north", lower, 100, at).granted ? 1 : 0;
        }
        chai.expect(granted).to.be.within(5, 9);
    });

    it("goes by the newest version while hosts charge under two versions in turn", () => {
        const ledgers = new dispatch.QuotaLedgers(WINDOW_MS);
        const lower = { ratePerSecond: 300, burst: 300, version: 2 };
        let granted = 0;
        for (let at = 0; at < WINDOW_MS; at += 50) {
            const limit = at % 100 === 0 ? LIMIT : lower;
            granted += ledgers.charge("north", limit, 100, at).granted ? 100 : 0;
        }
        // The first window of the former limit leaves its burst at most; the rest is granted under the lower one.
        chai.expect(granted).to.be.at.most(LIMIT.burst + lower.ratePerSecond * WINDOW_MS / 1_000 + lower.burst);
    });

    it("says when a refused charge would be granted", () => {
        const ledgers = new dispatch.QuotaLedgers(WINDOW_MS);
        ledgers.charge("north", LIMIT, 1_000, 0);
        const answer = ledgers.charge("north", LIMIT, 500, 0);
        chai.expect(answer.granted).to.equal(false);
        const waitMs = answer.granted ? 0 : answer.waitMs;
        chai.expect(ledgers.charge("north", LIMIT, 500, waitMs + 200).granted).to.equal(true);
    });

    it("lets hosts that are cut off grant less than the limit together", () => {
        const part = dispatch.cutOffLimit(LIMIT, 0, 9);
        chai.expect(part.ratePerSecond * 9).to.be.below(LIMIT.ratePerSecond);
        chai.expect(part.burst * 9).to.be.at.most(LIMIT.burst);
    });
});
