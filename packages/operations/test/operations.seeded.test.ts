import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as simulations from "./simulation.js";

const FIXED_SEEDS = Array.from({ length: 12 }, (_, index) => index + 1);
const DURATION_MS = 60_000;
const OPERATIONS = 150;

describe("operations under faults", () => {
    it("run at most once, give all callers the same answer and are only refused as not run if they did not run", () => {
        const totals = { answered: 0, replayed: 0, refusedNotRun: 0, refusedUnknown: 0, killed: 0 };
        testing.forEachSeed(FIXED_SEEDS, (seed) => {
            const simulation = new simulations.Simulation(seed);
            simulation.run(DURATION_MS, OPERATIONS);
            for (const name of Object.keys(totals) as (keyof simulations.OutcomeCounts)[]) {
                totals[name] += simulation.counts[name];
            }
        });
        for (const [name, count] of Object.entries(totals)) {
            chai.expect(count, `${name} in ${JSON.stringify(totals)}`).to.be.greaterThan(0);
        }
    });
});
