import * as dispatch from "@citronlead/dispatch";
import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as net from "node:net";
import * as evidences from "../src/evidence.js";
import * as metrics from "../src/metrics.js";
import * as fixtures from "./fixture.js";

// Guards against incidents whose causes the metrics cannot tell apart (REFUSED and TWICE of 4 December).
describe("Evidence of what did not run", () => {
    let fixture: fixtures.Fixture;
    beforeEach(() => fixture = new fixtures.Fixture(3_340));
    afterEach(() => fixture.close());

    const refuse: fixtures.Behaviour = (_, response) => void response.writeHead(503, { "not-run": "1" }).end();
    const linesOf = async (name: string) =>
        (await fixture.get(2, "/metrics")).body.split("\n").filter((line) =>
            line.startsWith(`citronlead_gateway_${name}_total`)
        );
    const expectLine = async (name: string, labels: string, count: number) =>
        chai.expect(await linesOf(name)).to.deep.equal([`citronlead_gateway_${name}_total{${labels}} ${count}`]);

    it("counts answers that promise that nothing ran by the weakest of what they rest on", async () => {
        const dead = await fixture.addStandIn("u-1");
        const full = await fixture.addStandIn("u-2");
        dead.upstream = { ...dead.upstream, address: "127.0.0.1:9" };
        full.behave = refuse;
        await fixture.start(fixtures.makeConfiguration());
        chai.expect((await fixture.send({ method: "POST" })).status).to.equal(503);
        await expectLine("not_run_answers", `service="counter",status="503",basis="marked"`, 1);
    });

    it("counts second sends by what says that the first did not run", async () => {
        const engines = [await fixture.addStandIn("u-1"), await fixture.addStandIn("u-2")];
        let count = 0;
        const refuseFirst: fixtures.Behaviour = (received, response, request) =>
            count++ === 0 ? refuse(received, response, request) : fixtures.signed(response, received, "served");
        engines.forEach((engine) => engine.behave = refuseFirst);
        await fixture.start(fixtures.makeConfiguration());
        chai.expect((await fixture.send({ method: "POST" })).status).to.equal(200);
        await expectLine("resends", `call="run",kind="${routing.RouteKind.NonIdempotent}",basis="marked"`, 1);
        chai.expect(await linesOf("not_run_answers")).to.deep.equal([]);
    });

    it("counts no second send of a request that was sent once and ends while the send is under way", async () => {
        const silent = await fixture.addStandIn("u-1");
        silent.behave = () => undefined;
        await fixture.start(fixtures.makeConfiguration());
        chai.expect((await fixture.send({ method: "POST", headers: { patience: "300" } })).status).to.equal(504);
        chai.expect(await linesOf("resends")).to.deep.equal([]);
        chai.expect(silent.received.length).to.equal(1);
    });

    it("counts answers that belong to other calls, to runs and to reservations", async () => {
        const engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        const late = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nrequest-id: other\r\nContent-Length: 0\r\n\r\n";
        let reservations = 0;
        engine.behave = (received, response, request) => {
            if (received.path === "/reserve" && reservations++ > 0) {
                response.end(fixtures.grantReservation());
                return;
            }
            request.socket.write(late);
        };
        await fixture.start(fixtures.makeConfiguration());
        const headers = { "prompt-tokens": "500", "output-tokens": "100" };
        await fixture.send({ path: "/write/1", headers });
        const lines = (await linesOf("foreign_answers")).map((line) => line.replace(/.*\{/, ""));
        chai.expect(lines).to.include(`call="reserve"} 1`).and.include(`call="decode"} 1`);
    });

    it("counts a copy of the answer to an earlier reservation, whose connection is closed", async () => {
        const engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        const grants = new Map<net.Socket, string>();
        let copiedOn: net.Socket | undefined;
        engine.behave = (received, response, { socket }) => {
            if (received.path !== "/reserve") {
                fixtures.signed(response, received, "id: 1\ndata: a\n\n");
                return;
            }
            const body = fixtures.grantReservation();
            const copy = grants.get(socket);
            if (copy !== undefined && copiedOn === undefined) {
                copiedOn = socket;
                socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${copy.length}\r\n\r\n${copy}`);
            }
            grants.set(socket, body);
            response.end(body);
        };
        await fixture.start(fixtures.makeConfiguration());
        await fixture.send({ path: "/write/1", headers: { "prompt-tokens": "500", "output-tokens": "100" } });
        await lifecycle.pause(fixture.scope, 100);
        const lines = (await linesOf("foreign_answers")).map((line) => line.replace(/.*\{/, ""));
        chai.expect(lines).to.include(`call="reserve"} 1`);
        chai.expect(copiedOn?.destroyed).to.equal(true);
    });

    it("is the weakest of several sends, and of none without sends", () => {
        const { EvidenceOfSends, UNPROVED } = evidences;
        const { NotConnected, UpstreamRefusal } = dispatch.NotRunProof;
        const evidence = new EvidenceOfSends("streaming", metrics.makeGatewayMetrics(() => 0));
        chai.expect(evidence.weakest).to.equal(dispatch.PromiseBasis.NothingSent);
        evidence.record("decode", { proof: undefined });
        evidence.record("prefill", { proof: UpstreamRefusal });
        evidence.record("decode", { proof: NotConnected });
        chai.expect(evidence).to.include({ weakest: UNPROVED, sends: 2 });
    });
});
