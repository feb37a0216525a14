import * as decision from "@citronlead/decision";
import * as membership from "../src/index.js";
import * as faults from "./faults.js";

/** Finds the first seed whose run fails if one rule is not enforced: node rulesearch.js RULE FROM TO. */
const [rule = "", from = "1", to = "100"] = process.argv.slice(2);
const omit = Object.values(membership.Rule).filter((candidate) => candidate === rule);
let tried = 0;
const failed: number[] = [];
for (let seed = Number(from); seed <= Number(to) && failed.length === 0; seed++) {
    tried++;
    try {
        faults.runWithFaults(decision.seeded(seed), omit);
    }
    catch (failure) {
        if (!(failure instanceof decision.BrokenInvariantError)) {
            throw failure;
        }
        failed.push(seed);
    }
}
process.stdout.write(`without rule ${rule}: seeds ${from} to ${to}, tried ${tried}, failed at ${failed.join()}\n`);
