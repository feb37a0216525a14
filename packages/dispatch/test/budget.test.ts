import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as dispatch from "../src/index.js";

const LIMITS: dispatch.RetryLimits = { ratio: 0.2, extra: 58, windowMs: 10_000 };
const HOSTS = 9;

describe("RetryBudget", () => {
    it("keeps the retries of all hosts within the fleet's limit, however requests are distributed", () => {
        const events = fastCheck.array(
            fastCheck.record({ host: fastCheck.nat(HOSTS - 1), pauseMs: fastCheck.nat(50), extras: fastCheck.nat(4) }),
            { maxLength: 400 },
        );
        fastCheck.assert(fastCheck.property(events, (list) => {
            const budgets = Array.from({ length: HOSTS }, () => new dispatch.RetryBudget(() => LIMITS));
            const requests: number[] = [];
            const extras: number[] = [];
            let now = 0;
            for (const event of list) {
                now += event.pauseMs;
                const budget = budgets[event.host] as dispatch.RetryBudget;
                budget.countRequest("counter", now);
                requests.push(now);
                for (let extra = 0; extra < event.extras; extra++) {
                    if (budget.tryAcquire("counter", HOSTS, now)) {
                        extras.push(now);
                    }
                }
            }
            const recent = (times: number[]) => times.filter((at) => at >= now - LIMITS.windowMs).length;
            chai.expect(recent(extras)).to.be.at.most(LIMITS.ratio * recent(requests) + LIMITS.extra);
        }));
    });

    it("allows retries again once earlier ones have left the window", () => {
        const budget = new dispatch.RetryBudget(() => LIMITS);
        // More retries than the fleet's extra ones, so that an unlimited budget fails the test.
        const taken = Array.from({ length: 100 }, () => budget.tryAcquire("counter", HOSTS, 0));
        chai.expect(taken).to.include(false);
        chai.expect(budget.remaining("counter", HOSTS, 9_000)).to.equal(0);
        chai.expect(budget.remaining("counter", HOSTS, 10_001)).to.be.above(0);
    });
});
