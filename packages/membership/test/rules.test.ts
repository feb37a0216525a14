import * as decision from "@citronlead/decision";
import * as chai from "chai";
import * as membership from "../src/index.js";
import * as faults from "./faults.js";

/**
 * For each rule, a seed whose run fails if the rule is not enforced. If a change of the decisions or faults makes a
 * seed pass, find another one: node packages/membership/dist/test/rulesearch.js RULE FROM TO.
 */
const FAILING_SEEDS: readonly (readonly [membership.Rule, number])[] = [
    [membership.Rule.CountFromRequest, 18],
    [membership.Rule.SubstituteWaits, 1],
    [membership.Rule.GrantOnlyIfNamed, 2],
    [membership.Rule.TakeOverAfterOwnGrant, 1],
    [membership.Rule.TakeOverAfterConsent, 2],
    [membership.Rule.RefuseAfterConsent, 33],
    [membership.Rule.RefuseBeforeTakeover, 171],
];

describe("necessity of the rules for the right to act", () => {
    for (const [rule, seed] of FAILING_SEEDS) {
        it(`rule ${rule}: the run with seed ${seed} has two owners if it is not enforced`, () => {
            const run = () => faults.runWithFaults(decision.seeded(seed), [rule]);
            chai.expect(run).to.throw(decision.BrokenInvariantError);
        });
    }
});
