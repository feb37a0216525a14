import * as configuration from "@citronlead/configuration";
import * as chai from "chai";
import * as fs from "node:fs";
import * as model from "../src/index.js";

function deployment(): model.Deployment {
    const file = new URL("../../../../examples/ponceurs-armor.yaml", import.meta.url).pathname;
    const parsed = configuration.parseFleet(file, fs.readFileSync(file, "utf8"));
    if (!parsed.valid) {
        throw new Error("the example configuration is not valid");
    }
    return model.makeDeployment(parsed.value);
}

describe("model", () => {
    it("runs every policy through a short scenario of faults, each request ending once", () => {
        const used = deployment();
        const [plain] = model.scenarioList(Object.keys(used.profile.workspaces));
        chai.expect(plain).to.not.equal(undefined);
        const scenario = {
            ...plain as model.Scenario,
            durationMs: 6_000,
            countFromMs: 0,
            load: 1.2,
            cancelRatio: 0.1,
            crashPeriodMs: 4_000,
        };
        for (const policy of Object.values(model.PolicyName)) {
            const figures = model.runScenario(used, scenario, policy, 1);
            chai.expect(figures.offered, policy).to.be.above(100);
            chai.expect(figures.good).to.be.at.most(figures.offered);
            chai.expect(figures.wastedMs).to.be.within(0, figures.prefillMs);
        }
    });

    it("yields the same figures for the same seed", () => {
        const used = deployment();
        const [plain] = model.scenarioList([]);
        const scenario = { ...plain as model.Scenario, durationMs: 3_000, countFromMs: 0 };
        const run = () => model.runScenario(used, scenario, model.PolicyName.Citronlead, 7);
        chai.expect(run()).to.deep.equal(run());
    });

    it("divides an amount by weight and redistributes what exceeds a demand", () => {
        const demands = new Map([["large", 100], ["small", 5], ["other", 100]]);
        const shares = model.fairShares(105, demands, (workspace) => workspace === "large" ? 3 : 1);
        chai.expect(Object.fromEntries(shares)).to.deep.equal({ small: 5, large: 75, other: 25 });
    });
});
