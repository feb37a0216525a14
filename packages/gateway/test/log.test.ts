import * as chai from "chai";
import * as logs from "../src/log.js";

describe("The log", () => {
    it("keeps lines on requests that may have gone wrong while others are dropped", () => {
        let dropped = 0;
        const log = logs.makeDecisionLog({}, () => 0, () => dropped++);
        for (let count = 0; count < 600; count++) {
            log.decision("usual", {});
        }
        chai.expect(dropped, "usual lines").to.equal(100);
        log.decision("suspect", {}, true);
        chai.expect(dropped, "with the suspect line").to.equal(100);
        log.flush();
    });
});
