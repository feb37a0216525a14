import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as worlds from "./world.js";

const FIXED_SEEDS = Array.from({ length: 12 }, (_, index) => index + 1);
const DURATION_MS = 60_000;
const OPERATIONS = 150;

describe("operations that run at most once, under faults", () => {
    it("run once, with one answer for all callers and true refusals", () => {
        const total = { answered: 0, replayed: 0, refusedNotRun: 0, refusedUnknown: 0, killed: 0 };
        testing.forEachSeed(FIXED_SEEDS, (seed) => {
            const world = new worlds.World(seed);
            world.run(DURATION_MS, OPERATIONS);
            for (const name of Object.keys(total) as (keyof worlds.Tally)[]) {
                total[name] += world.tally[name];
            }
        });
        for (const [name, count] of Object.entries(total)) {
            chai.expect(count, `${name} in ${JSON.stringify(total)}`).to.be.greaterThan(0);
        }
    });
});
