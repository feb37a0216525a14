import * as chai from "chai";
import * as decision from "../src/index.js";

describe("TokenBucket", () => {
    it("allows a burst, and the rate in the long run", () => {
        const bucket = new decision.TokenBucket({ burst: 10, perSecond: 100 }, 0);
        let allowed = 0;
        for (let now = 0; now <= 1_000; now++) {
            for (let count = 0; count < 5; count++) {
                allowed += bucket.tryTake(now) ? 1 : 0;
            }
        }
        chai.expect(allowed).to.be.within(100, 110);
    });
});
