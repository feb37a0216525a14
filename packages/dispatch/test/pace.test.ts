import * as chai from "chai";
import * as dispatch from "../src/index.js";

const BLOCK_BYTES = 65_536;

describe("Pace", () => {
    it("bounds the rate of all answers together, and lets a burst pass", () => {
        const pace = new dispatch.Pace({ unpacedBytes: 0, rate: { burst: 1_000_000, perSecond: 1_000_000 } }, 0);
        // Ten answers, each of which reads on when it may.
        const readsAt = new Array<number>(10).fill(0);
        let bytes = 0;
        for (let now = 0; now < 10_000; now++) {
            readsAt.forEach((at, index) => {
                if (at <= now) {
                    bytes += BLOCK_BYTES;
                    readsAt[index] = now + pace.waitAfter(BLOCK_BYTES, now);
                }
            });
        }
        chai.expect(bytes).to.be.within(10_500_000, 11_000_000 + 10 * BLOCK_BYTES);
    });
});
