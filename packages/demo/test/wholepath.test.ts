import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as path from "node:path";
import * as processes from "../src/processes.js";

const DEMO = path.resolve(import.meta.dirname, "../src/main.js");
const PORT_OFFSET = 300;

describe("the demo in separate processes", () => {
    it("passes all checks, including the graceful stop of every router", async () => {
        const result = await processes.runCommand([DEMO, "--port-base", String(testing.testPortBase(PORT_OFFSET))]);
        chai.expect(result.output).not.to.contain("FAIL");
        chai.expect(result.code, result.errors).to.equal(0);
    });
});
