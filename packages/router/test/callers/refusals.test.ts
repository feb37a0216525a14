import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as http from "node:http";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 1_400;
/** More than the number of listeners at which Node warns of a leak on one emitter. */
const REFUSAL_COUNT = 20;

describe("refusals on one connection", () => {
    const scope = new lifecycle.Scope("test");
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let fixture: fixtures.Fixture;
    before(async () => {
        fixture = await fixtures.startFixture(scope, testing.testPortBase(PORT_OFFSET));
    });
    after(() => {
        agent.destroy();
        return scope.close();
    });

    function refuseOnce(): Promise<number> {
        return new Promise((resolve, reject) => {
            const request = http.request(`${fixture.callers}/v1/completions`, { method: "POST", agent });
            request.on("error", reject);
            request.on("response", (response) => {
                response.resume().on("end", () => resolve(response.statusCode ?? 0));
            });
            request.write("x".repeat(1_000));
            setImmediate(() => request.end("y"));
        });
    }

    it("leak no listeners on the connection", async () => {
        const warnings: string[] = [];
        const recordWarning = (warning: Error) => void warnings.push(warning.name);
        process.on("warning", recordWarning);
        for (let count = 0; count < REFUSAL_COUNT; count++) {
            chai.expect(await refuseOnce()).to.equal(401);
        }
        await new Promise((resolve) => setImmediate(resolve));
        process.off("warning", recordWarning);
        chai.expect(warnings).to.deep.equal([]);
    });
});
