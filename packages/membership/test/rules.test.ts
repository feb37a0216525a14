import * as decision from "@citronlead/decision";
import * as chai from "chai";
import * as membership from "../src/index.js";
import * as faults from "./faults.js";

/**
 * A seed for each rule at which the run fails when the rule is left out. When a change of the decisions or the faults
 * makes one stale, look for another: node packages/membership/dist/test/rulesearch.js RULE FROM TO.
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

describe("each rule of the right to act is needed", () => {
    for (const [rule, seed] of FAILING_SEEDS) {
        it(`rule ${rule} is: without it the run of seed ${seed} has two owners`, () => {
            const run = () => faults.runWithFaults(decision.seeded(seed), [rule]);
            chai.expect(run).to.throw(decision.BrokenInvariantError);
        });
    }
});
