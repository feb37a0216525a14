import * as chai from "chai";
import * as pQueue from "p-queue";
import * as scheduling from "../src/index.js";

describe("PlacementQueue", () => {
    it("lets p-queue run released tasks in the order of their release, within its concurrency", async () => {
        const fair = new scheduling.PlacementQueue();
        const queue = new pQueue.default({ concurrency: 1, queueClass: scheduling.PlacementQueue.classFor(fair) });
        const ran: string[] = [];
        const add = (id: string) => queue.add(async () => ran.push(id), { id });
        const all = Promise.all([add("a"), add("b"), add("c")]);
        chai.expect(fair.waitingCount).to.equal(3);
        ["c", "a", "b"].forEach((id) => fair.release(id));
        queue.concurrency = 2;
        await all;
        chai.expect(ran).to.deep.equal(["c", "a", "b"]);
    });
});
