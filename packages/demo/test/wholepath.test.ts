import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as path from "node:path";
import * as processes from "../src/processes.js";

const DEMO = path.resolve(import.meta.dirname, "../src/main.js");
const PORT_OFFSET = 300;

describe("the whole path in separate processes", () => {
    it("serves the demo and stops gracefully", async () => {
        const result = await processes.runCommand([DEMO, "--port-base", String(testing.testPortBase(PORT_OFFSET))]);
        chai.expect(result.output).not.to.contain("FAIL");
        chai.expect(result.code, result.errors).to.equal(0);
    });
});
