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
                        budget.use("counter", now);
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
        taken.filter((was) => was).forEach(() => budget.use("counter", 0));
        chai.expect(budget.remaining("counter", HOSTS, 9_000)).to.equal(0);
        chai.expect(budget.remaining("counter", HOSTS, 10_001)).to.be.above(0);
    });

    it("counts a retry from when it reached its upstream, however long it was held before", () => {
        const budget = new dispatch.RetryBudget(() => LIMITS);
        const count = budget.remaining("counter", HOSTS, 0);
        chai.expect(budget.tryAcquire("counter", HOSTS, 0, count)).to.equal(true);
        chai.expect(budget.remaining("counter", HOSTS, 60_000)).to.equal(0);
        Array.from({ length: count }, () => budget.use("counter", 60_000));
        chai.expect(budget.remaining("counter", HOSTS, 69_000)).to.equal(0);
        chai.expect(budget.remaining("counter", HOSTS, 70_001)).to.equal(count);
    });

    /** Retries of a fleet in one window: each host takes what it may at each step, under its own view of the fleet. */
    const retriesInWindow = (
        hostCountOf: (host: number, now: number) => number,
        restartAt: (host: number) => number | undefined,
    ) => {
        const times: number[] = [];
        const budgets = Array.from({ length: HOSTS }, () => new dispatch.RetryBudget(() => LIMITS, -LIMITS.windowMs));
        for (let now = 0; now <= 2 * LIMITS.windowMs; now += 500) {
            for (let host = 0; host < HOSTS; host++) {
                if (restartAt(host) === now) {
                    budgets[host] = new dispatch.RetryBudget(() => LIMITS, now);
                }
                const budget = budgets[host] as dispatch.RetryBudget;
                while (budget.tryAcquire("counter", hostCountOf(host, now), now)) {
                    budget.use("counter", now);
                    times.push(now);
                }
            }
        }
        return Math.max(
            ...times.map((start) => times.filter((at) => at >= start && at < start + LIMITS.windowMs).length),
        );
    };

    it("keeps to the limit while hosts are started again", () => {
        chai.expect(retriesInWindow(() => HOSTS, (host) => host < 5 ? 5_000 : undefined)).to.be.within(1, LIMITS.extra);
    });

    it("keeps to the limit while hosts that start know no others", () => {
        const known = (host: number, now: number) => host < 5 && now >= 5_000 && now < 8_000 ? 1 : HOSTS;
        chai.expect(retriesInWindow(known, (host) => host < 5 ? 5_000 : undefined)).to.be.within(1, LIMITS.extra);
        const unknown = (host: number, now: number) => host < 5 && now >= 5_000 ? 0 : HOSTS;
        chai.expect(retriesInWindow(unknown, (host) => host < 5 ? 5_000 : undefined)).to.be.within(1, LIMITS.extra);
    });

    it("keeps to the limit while some hosts are cut off and the others do not list them any more", () => {
        const listed = (host: number, now: number) => host < 3 || now < 4_000 ? HOSTS : HOSTS - 3;
        chai.expect(retriesInWindow(listed, () => undefined)).to.be.within(1, LIMITS.extra);
    });
});
