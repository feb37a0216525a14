import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 4_200;
/** The gateway under test stops accepting 1 s after its stop begins, and cuts requests 2.8 s after it. */
const WAIT_MS = 1_300;
const RUN_MS = 2_500;
const LONG_TIMEOUT_MS = 20_000;
const SETTLE_MS = 100;
const UNREACHABLE = "127.0.0.1:9";

// Guards against requests that a host takes before its stop, and begins when too little of the stop is left.
describe("A stopping gateway, and requests that waited while its time ran out", () => {
    let fixture: fixtures.Fixture;
    let ran: string[];
    const configuration = () => {
        const base = fixtures.makeConfiguration();
        return { ...base, routes: base.routes.map((route) => ({ ...route, timeoutMs: LONG_TIMEOUT_MS })) };
    };
    const run: fixtures.Behaviour = (received, response) => {
        ran.push(received.path);
        setTimeout(() => fixtures.signed(response, received, "id: 1\ndata: end\n\n"), RUN_MS);
    };
    const afterWait = (respond: () => void) => void setTimeout(respond, WAIT_MS);
    const sendAndStop = async (path: string) => {
        const sent = fixture.send({ path, headers: { "prompt-tokens": "100", "output-tokens": "10" } });
        await lifecycle.pause(fixture.scope, SETTLE_MS);
        void fixture.stop();
        return sent;
    };

    beforeEach(() => {
        fixture = new fixtures.Fixture(PORT_OFFSET);
        ran = [];
    });
    afterEach(() => fixture.close());

    it("sends none to a second upstream after the first has refused it", async () => {
        let refused = false;
        const behave: fixtures.Behaviour = (received, response, request) => {
            if (refused) {
                run(received, response, request);
                return;
            }
            refused = true;
            afterWait(() => response.writeHead(503, { "not-run": "1" }).end());
        };
        for (const id of ["u-1", "u-2"]) {
            (await fixture.addStandIn(id)).behave = behave;
        }
        await fixture.start(configuration());
        chai.expect(await sendAndStop("/book/1")).to.include({ status: 503 });
        chai.expect(ran).to.deep.equal([]);
    });

    it("decodes none after its prefill", async () => {
        const prefill = await fixture.addStandIn("prefill", { service: "model", stage: routing.EngineStage.Prefill });
        const decode = await fixture.addStandIn("decode", { service: "model", stage: routing.EngineStage.Decode });
        prefill.behave = (received, response) =>
            received.headers["stage"] === "prefill"
                ? afterWait(() => fixtures.signed(response, received, JSON.stringify({ handle: "h" })))
                : void response.end("{}");
        decode.behave = (received, response, request) =>
            received.path.startsWith("/reserve")
                ? void response.end(fixtures.grantReservation())
                : run(received, response, request);
        await fixture.start(configuration());
        chai.expect(await sendAndStop("/write/1")).to.include({ status: 503 });
        chai.expect(ran).to.deep.equal([]);
        chai.expect(decode.received.map(({ method }) => method)).to.include("DELETE");
    });

    it("keeps none waiting for capacity that it would have no time to use", async () => {
        const engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        engine.behave = (received, response, request) =>
            received.path.startsWith("/reserve")
                ? void response.writeHead(503, { "not-run": "1" }).end()
                : run(received, response, request);
        const base = configuration();
        const routes = base.routes.map((route) => ({ ...route, latencyTargetMs: LONG_TIMEOUT_MS }));
        await fixture.start({ ...base, routes });
        const response = await sendAndStop("/write/1");
        chai.expect(response).to.include({ status: 503 });
        chai.expect(response.tookMs).to.be.below(WAIT_MS + SETTLE_MS);
    });

    it("relays none to another host that it has no time to hear from", async () => {
        await fixture.addStandIn("u-1", { address: UNREACHABLE });
        const other = await fixture.addStandIn("host-2");
        fixture.standIns.pop();
        fixture.hosts.push(other.upstream.address);
        await fixture.start(configuration());
        other.behave = (received, response) => fixtures.signed(response, received, "from elsewhere");
        chai.expect(await fixture.send()).to.include({ status: 200 });
        other.received.length = 0;
        other.behave = run;
        void fixture.stop();
        chai.expect(await fixture.send()).to.include({ status: 503 });
        chai.expect(ran).to.deep.equal([]);
    });

    it("asks a third host for one that another stopping host refuses", async () => {
        await fixture.addStandIn("u-1", { address: UNREACHABLE });
        let asked = 0;
        for (const id of ["host-2", "host-3"]) {
            const other = await fixture.addStandIn(id);
            fixture.standIns.pop();
            fixture.hosts.push(other.upstream.address);
            other.behave = (received, response) =>
                ++asked === 1
                    ? void response.writeHead(503, { "citronlead-relay-refusal": '{"reason":"hostStopping"}' }).end()
                    : fixtures.signed(response, received, "from elsewhere");
        }
        await fixture.start(configuration());
        chai.expect(await fixture.send()).to.include({ status: 200, body: "from elsewhere" });
        chai.expect(asked).to.equal(2);
    });
});
