import * as chai from "chai";
import * as lifecycle from "../src/index.js";

describe("StallDetector", () => {
    it("tells for a while after a stall that what is read may be old", async () => {
        const scope = new lifecycle.Scope("test");
        const stalls: number[] = [];
        let skippedMs = 0;
        const detector = new lifecycle.StallDetector(
            scope,
            () => lifecycle.monotonicClock() + skippedMs,
            (lengthMs) => stalls.push(lengthMs),
        );
        await lifecycle.pause(scope, 120);
        chai.expect(detector.readsBacklog).to.equal(false);
        skippedMs = 5_000;
        chai.expect(detector.readsBacklog).to.equal(true);
        chai.expect(stalls).to.have.length(1);
        chai.expect(stalls[0]).to.be.within(4_900, 5_400);
        skippedMs += 300;
        chai.expect(detector.readsBacklog).to.equal(false);
        await scope.close();
    });
});
