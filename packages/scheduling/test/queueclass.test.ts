import * as chai from "chai";
import * as pQueue from "p-queue";
import * as scheduling from "../src/index.js";

describe("FairQueue", () => {
    it("lets p-queue run what was decided on, in that order, within its concurrency", async () => {
        const made: scheduling.FairQueue[] = [];
        class Recorded extends scheduling.FairQueue {
            constructor() {
                super();
                made.push(this);
            }
        }
        const queue = new pQueue.default({ concurrency: 1, queueClass: Recorded });
        const ran: string[] = [];
        const add = (id: string) => queue.add(async () => ran.push(id), { id });
        const all = Promise.all([add("a"), add("b"), add("c")]);
        chai.expect(made[0]?.waitingCount).to.equal(3);
        ["c", "a", "b"].forEach((id) => made[0]?.release(id));
        queue.concurrency = 2;
        await all;
        chai.expect(ran).to.deep.equal(["c", "a", "b"]);
    });
});
