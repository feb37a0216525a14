import * as chai from "chai";
import * as dispatch from "../src/index.js";

function waiter(id: number, change: Partial<dispatch.Waiter> = {}): dispatch.Waiter {
    return { id, targetAt: 900, deadlineAt: 14_000, priority: 1, ...change };
}

describe("WaitingRoom", () => {
    const makeRoom = () => new dispatch.WaitingRoom({ serviceMs: 200, lateWaitMs: 1_500, capacity: 4 });
    const first = (room: dispatch.WaitingRoom, now: number) => room.first(9, now).map(({ id }) => id);

    it("lets the most urgent go first, then the nearest target", () => {
        const room = makeRoom();
        room.enter(waiter(1, { targetAt: 1_200 }));
        room.enter(waiter(2, { targetAt: 1_000 }));
        room.enter(waiter(3, { targetAt: 1_500, priority: 0 }));
        chai.expect(first(room, 0)).to.deep.equal([3, 2, 1]);
    });

    it("lets those that can be on time go before those that cannot, whatever their priority", () => {
        const room = makeRoom();
        room.enter(waiter(1, { targetAt: 500, priority: 0 }));
        room.enter(waiter(2, { targetAt: 1_500 }));
        chai.expect(first(room, 400)).to.deep.equal([2, 1]);
    });

    it("gives a waiter up once its wait is vain and not before", () => {
        const room = makeRoom();
        room.enter(waiter(1));
        room.enter(waiter(2, { deadlineAt: 1_000 }));
        chai.expect(room.hopeless(700)).to.deep.equal([]);
        chai.expect(room.hopeless(801).map(({ id }) => id)).to.deep.equal([2]);
        chai.expect(room.hopeless(2_201).map(({ id }) => id)).to.deep.equal([1, 2]);
    });

    it("turns callers away when it is full", () => {
        const room = makeRoom();
        chai.expect([1, 2, 3, 4, 5].map((id) => room.enter(waiter(id)))).to.deep.equal([true, true, true, true, false]);
    });

    it("tells refused callers to return later the more wait and the slower they leave, and spreads them", () => {
        const room = makeRoom();
        [1, 2, 3, 4].forEach((id) => room.enter(waiter(id)));
        const slow = room.returnAfterMs(0, 100);
        chai.expect(room.returnAfterMs(0.9, 100)).to.be.above(slow * 1.8);
        [1, 2, 3].forEach((id) => room.leave(id, true, 100));
        chai.expect(room.returnAfterMs(0, 100)).to.be.below(slow);
    });
});
