import * as chai from "chai";
import * as dispatch from "../src/index.js";

function waiter(id: number, change: Partial<dispatch.Waiter> = {}): dispatch.Waiter {
    return { id, targetAt: 900, deadlineAt: 14_000, priority: 1, ...change };
}

describe("WaitQueue", () => {
    const makeQueue = () => new dispatch.WaitQueue({ firstEventDelayMs: 200, maxOverdueMs: 1_500, maxWaiters: 4 });
    const first = (queue: dispatch.WaitQueue, now: number) => queue.first(9, now).map(({ id }) => id);

    it("orders waiters by priority, then by target", () => {
        const queue = makeQueue();
        queue.add(waiter(1, { targetAt: 1_200 }));
        queue.add(waiter(2, { targetAt: 1_000 }));
        queue.add(waiter(3, { targetAt: 1_500, priority: 0 }));
        chai.expect(first(queue, 0)).to.deep.equal([3, 2, 1]);
    });

    it("puts waiters that can meet their target before overdue ones, whatever their priority", () => {
        const queue = makeQueue();
        queue.add(waiter(1, { targetAt: 500, priority: 0 }));
        queue.add(waiter(2, { targetAt: 1_500 }));
        chai.expect(first(queue, 400)).to.deep.equal([2, 1]);
    });

    it("expires a waiter once it can no longer be served in time, and not before", () => {
        const queue = makeQueue();
        queue.add(waiter(1));
        queue.add(waiter(2, { deadlineAt: 1_000 }));
        chai.expect(queue.expired(700)).to.deep.equal([]);
        chai.expect(queue.expired(801).map(({ id }) => id)).to.deep.equal([2]);
        chai.expect(queue.expired(2_201).map(({ id }) => id)).to.deep.equal([1, 2]);
    });

    it("refuses waiters when it is full", () => {
        const queue = makeQueue();
        chai.expect([1, 2, 3, 4, 5].map((id) => queue.add(waiter(id)))).to.deep.equal([true, true, true, true, false]);
    });

    it("raises Retry-After with the number of waiters, lowers it with the rate of service, and spreads callers", () => {
        const queue = makeQueue();
        [1, 2, 3, 4].forEach((id) => queue.add(waiter(id)));
        const slow = queue.retryAfterMs(0, 100);
        chai.expect(queue.retryAfterMs(0.9, 100)).to.be.above(slow * 1.8);
        [1, 2, 3].forEach((id) => queue.remove(id, true, 100));
        chai.expect(queue.retryAfterMs(0, 100)).to.be.below(slow);
    });
});
