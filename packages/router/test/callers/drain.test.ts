import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as http from "node:http";
import * as net from "node:net";
import * as metrics from "../../src/metrics.js";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 1_200;

describe("a planned stop", () => {
    const scope = new lifecycle.Scope("test");
    after(() => scope.close());

    it("closes idle connections at once, and busy ones after an answer that announces it", async () => {
        const fixture = await fixtures.startFixture(scope, testing.testPortBase(PORT_OFFSET));
        const idle = net.connect(fixture.callersPort, new URL(fixture.callers).hostname);
        const idleClosed = new Promise((resolve) => idle.once("close", resolve));
        idle.on("end", () => idle.end());
        idle.resume();
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        const streaming = fixtures.call(fixture, "/v1/completions", {
            method: "POST",
            agent,
            body: JSON.stringify({ model: "reader", prompt: "p", max_tokens: 200, stream: true }),
        });
        await fixtures.setFaults(fixture.service, { delayMs: 500 });
        const waiting = fixtures.call(fixture, "/stock/1", { agent: new http.Agent({ keepAlive: true }) });
        await fixtures.waitFor("both requests to start", async () => {
            const status = await fixtures.control(fixture, "/status") as { openRequests: number; };
            return status.openRequests === 2;
        });
        const stopped = fixture.router.stop();
        const ready = await fixtures.send(`${fixture.control}/readyz`);
        chai.expect(ready.status).to.equal(503);
        chai.expect((await fixtures.send(`${fixture.control}/healthz`)).status).to.equal(200);
        await idleClosed;
        const answer = await waiting;
        chai.expect(answer.status).to.equal(200);
        chai.expect(answer.headers.connection).to.equal("close");
        chai.expect((await streaming).text).to.contain("data: [DONE]");
        await stopped;
        chai.expect(Object.keys(agent.freeSockets)).to.deep.equal([]);
        const refused = await fixtures.send(`${fixture.callers}/v1/models`).catch((error: NodeJS.ErrnoException) =>
            error.code
        );
        chai.expect(refused).to.equal("ECONNREFUSED");
    });
});

describe("labels of metrics", () => {
    it("are bounded: workspaces beyond the limit share the label other", () => {
        const measured = metrics.makeMetrics(3);
        const names = Array.from({ length: 100 }, (_, index) => `workspace-${index}`);
        const labels = new Set(names.map(measured.workspaceLabel));
        chai.expect([...labels]).to.deep.equal(["workspace-0", "workspace-1", "workspace-2", "other"]);
        chai.expect(measured.workspaceLabel("workspace-1")).to.equal("workspace-1");
        chai.expect(measured.workspaceLabel(undefined)).to.equal("none");
    });
});
