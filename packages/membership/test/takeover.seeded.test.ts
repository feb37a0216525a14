import * as decision from "@citronlead/decision";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as faults from "./faults.js";

const CI_SEEDS = Array.from({ length: 6 }, (_, index) => index + 1);

describe("the right to act, under random faults", () => {
    it("never lets two hosts act for one partition, and fencing numbers only grow", () => {
        let shared = 0;
        testing.forEachSeed(CI_SEEDS, (seed) => {
            shared += faults.runWithFaults(decision.seeded(seed)).actingShare;
        });
        chai.expect(shared).to.be.greaterThan(0);
    });
});
