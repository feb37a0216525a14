import * as testing from "@citronlead/testing";
import * as run from "./support/run.js";

describe("rate limits under faults", () => {
    it("gives no workspace more than its rate and burst over 9 hosts", () => {
        testing.forEachSeed([1, 2], (seed) => {
            run.runUnderFaults(seed, 9, 4, 10_000);
        });
    });

    it("gives no workspace more than its rate and burst over 380 hosts", () => {
        testing.forEachSeed([1], (seed) => {
            run.runUnderFaults(seed, 380, 20, 4_000);
        });
    });
});
