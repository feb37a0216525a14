import * as chai from "chai";
import * as dispatch from "../src/index.js";

function waiter(id: number, change: Partial<dispatch.Waiter> = {}): dispatch.Waiter {
    return { id, targetAt: 900, deadlineAt: 14_000, priority: 1, ...change };
}

describe("WaitQueue", () => {
    const makeRoom = () => new dispatch.WaitQueue({ firstEventDelayMs: 200, maxOverdueMs: 1_500, maxWaiters: 4 });
    const first = (room: dispatch.WaitQueue, now: number) => room.first(9, now).map(({ id }) => id);

    it("orders waiters by priority, then by target", () => {
        const room = makeRoom();
        room.add(waiter(1, { targetAt: 1_200 }));
        room.add(waiter(2, { targetAt: 1_000 }));
        room.add(waiter(3, { targetAt: 1_500, priority: 0 }));
        chai.expect(first(room, 0)).to.deep.equal([3, 2, 1]);
    });

    it("puts waiters that can meet their target before overdue ones, whatever their priority", () => {
        const room = makeRoom();
        room.add(waiter(1, { targetAt: 500, priority: 0 }));
        room.add(waiter(2, { targetAt: 1_500 }));
        chai.expect(first(room, 400)).to.deep.equal([2, 1]);
    });

    it("expires a waiter once it can no longer be served in time, and not before", () => {
        const room = makeRoom();
        room.add(waiter(1));
        room.add(waiter(2, { deadlineAt: 1_000 }));
        chai.expect(room.expired(700)).to.deep.equal([]);
        chai.expect(room.expired(801).map(({ id }) => id)).to.deep.equal([2]);
        chai.expect(room.expired(2_201).map(({ id }) => id)).to.deep.equal([1, 2]);
    });

    it("refuses waiters when it is full", () => {
        const room = makeRoom();
        chai.expect([1, 2, 3, 4, 5].map((id) => room.add(waiter(id)))).to.deep.equal([true, true, true, true, false]);
    });

    it("raises Retry-After with the number of waiters, lowers it with the rate of service, and spreads callers", () => {
        const room = makeRoom();
        [1, 2, 3, 4].forEach((id) => room.add(waiter(id)));
        const slow = room.retryAfterMs(0, 100);
        chai.expect(room.retryAfterMs(0.9, 100)).to.be.above(slow * 1.8);
        [1, 2, 3].forEach((id) => room.remove(id, true, 100));
        chai.expect(room.retryAfterMs(0, 100)).to.be.below(slow);
    });
});
