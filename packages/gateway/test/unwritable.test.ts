import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as agents from "../src/upstream/agent.js";
import * as calls from "../src/upstream/call.js";
import * as fixtures from "./fixture.js";
import * as processes from "./process.js";

// Guards against a call that rejects where its outcome was expected, which ends the process (review case 4).
describe("Calls that cannot be written", () => {
    it("have an outcome: nothing was sent", async () => {
        const agent = new agents.UpstreamAgent(() => undefined);
        const call: calls.UpstreamCall = {
            address: "127.0.0.1:9",
            incarnation: "one@1",
            method: "GET",
            path: "/",
            headers: [],
            body: undefined,
            headersTimeoutMs: 100,
            run: undefined,
            signal: undefined,
        };
        const changes: Partial<calls.UpstreamCall>[] = [
            { path: "/a b" },
            { headers: ["na me", "value"] },
            { headers: ["name", "val\nue"] },
            { address: "127.0.0.1:70000" },
        ];
        for (const change of changes) {
            chai.expect(await calls.startCall(agent, { ...call, ...change }))
                .to.deep.include({ progress: calls.CallProgress.NotSent, failure: calls.CallFailure.Unwritable });
        }
        agent.destroy();
    });

    it("do not end the process when they release a reservation", async () => {
        const fixture = new fixtures.Fixture(3_300);
        const engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        const rejections = processes.recordUncaught("unhandledRejection");
        engine.behave = (received, response) => {
            if (received.path.startsWith("/reserve")) {
                response.end(JSON.stringify({ id: "a b" }));
                return;
            }
            response.writeHead(503, { "request-id": "r-1", "not-run": "1" }).end();
        };
        await fixture.start(fixtures.makeConfiguration());
        const headers = { "prompt-tokens": "500", "output-tokens": "100" };
        const { status } = await fixture.send({ path: "/write/1", headers });
        await lifecycle.pause(fixture.scope, 50);
        await fixture.close();
        rejections.end();
        chai.expect(status).to.equal(503);
        chai.expect(rejections.errors).to.deep.equal([]);
    });
});
