import * as chai from "chai";
import * as fs from "node:fs";
import * as path from "node:path";
import * as configuration from "../src/index.js";

const EXAMPLES = path.resolve(import.meta.dirname, "../../../../examples");

/** Applies a change to the text of a valid fleet. Returns the problems that the parser reports. */
function problems(change: (text: string) => string): string[] {
    const text = change(fs.readFileSync(path.join(EXAMPLES, "pedra-macia.yaml"), "utf8"));
    const checked = configuration.parseFleet("fleet.yaml", text);
    return checked.valid ? [] : checked.problems.map(configuration.formatProblem);
}

describe("a fleet's configuration", () => {
    for (const name of ["pedra-macia.yaml", "ponceurs-armor.yaml"]) {
        it(`accepts ${name}`, () => {
            const checked = configuration.parseFleet(name, fs.readFileSync(path.join(EXAMPLES, name), "utf8"));
            chai.expect(checked.valid ? [] : checked.problems).to.deep.equal([]);
        });
    }

    it("reports the position of an unknown key", () => {
        chai.expect(problems((text) => text.replace("region:", "regoin: x\nregion:")))
            .to.deep.equal(["fleet.yaml:3:1: regoin: unknown key"]);
    });

    it("reports the position of a value with a wrong unit", () => {
        const found = problems((text) => text.replace("zoneDelay: 0.5ms", "zoneDelay: 0.5 minutes"));
        chai.expect(found).to.have.length(1);
        chai.expect(found[0]).to.match(/^fleet\.yaml:5:1: zoneDelay: expected a number with a unit/);
    });

    it("refuses a burst below the smallest charge", () => {
        const found = problems((text) => text.replace("burstTokens: 240000", "burstTokens: 8"));
        chai.expect(found).to.have.length(1);
        chai.expect(found[0]).to.contain("the burst is below the smallest charge of a model, 16 tokens");
    });

    it("refuses a target below the network's delay", () => {
        const found = problems((text) => text.replace("firstTokenTarget: 500ms", "firstTokenTarget: 2ms"));
        chai.expect(found).to.have.length(1);
        chai.expect(found[0]).to.contain("the target is below the network's round trip of 3 ms");
    });

    it("refuses a workspace with rates in two profiles", () => {
        const found = problems((text) =>
            text.replace(
                "deadline: 10s",
                "deadline: 10s\n    workspaces:\n      guild: { tokensPerSecond: 1, burstTokens: 99 }",
            )
        );
        chai.expect(found).to.have.length(1);
        chai.expect(found[0]).to.contain("this workspace already has a rate in profile assessments");
    });

    it("refuses a burst below the charge of a call to a service", () => {
        const found = problems((text) => text.replace("chargeTokens: 50", "chargeTokens: 48001"));
        chai.expect(found).to.have.length(3);
        chai.expect(found[0]).to.contain("the burst is below the charge of a call to a service, 48001 tokens");
    });

    it("refuses zero durations, duplicate availability zones, conflicting routes and paths with a trailing slash", () => {
        const refused = [
            problems((text) => text.replace("deadline: 120s", "deadline: 0s")),
            problems((text) => text.replace("porto-b, gmr-c", "porto-b, porto-b")),
            problems((text) => text.replace("pathPrefix: /catalogue", "pathPrefix: /stock")),
            problems((text) => text.replace("pathPrefix: /orders", "pathPrefix: /orders/")),
        ];
        chai.expect(refused.map((found) => found[0])).to.deep.equal([
            "fleet.yaml:14:5: profiles.assessments.deadline: expected a duration above 0",
            "fleet.yaml:4:39: availabilityZones.2: this availability zone is listed twice",
            "fleet.yaml:69:5: services.2.pathPrefix: service stock already handles one of these methods on this path",
            "fleet.yaml:62:5: services.1.pathPrefix: expected a path such as /orders, without a slash at its end",
        ]);
    });

    it("refuses an open route that is not idempotent", () => {
        const found = problems((text) => text.replace("idempotent: false", "idempotent: false\n    open: true"));
        chai.expect(found).to.have.length(1);
        chai.expect(found[0]).to.match(/^fleet\.yaml:65:5: services\.1\.open: an open route must be idempotent/);
    });
});
