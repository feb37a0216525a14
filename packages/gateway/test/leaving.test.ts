import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 3_220;
const EVENT = "id: 1\ndata: a\n\n";
const PROMPT = { "prompt-tokens": "500", "output-tokens": "100" };

// Guards against work for an upstream that has said in any of its answers that it leaves.
describe("An upstream that says that it leaves", () => {
    let fixture: fixtures.Fixture;
    let engine: fixtures.StandIn;
    let counter: fixtures.StandIn;

    beforeEach(async () => {
        fixture = new fixtures.Fixture(PORT_OFFSET);
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        counter = await fixture.addStandIn("counter");
        await fixture.start(fixtures.makeConfiguration());
    });
    afterEach(() => fixture.close());

    const granted: string[] = [];
    const runs = () => engine.received.filter(({ path }) => path.startsWith("/write/")).length;
    const behave = (leavesAt: "/reserve" | "/write/1", whileRunning: () => Promise<void> = async () => undefined) => {
        granted.length = 0;
        engine.behave = async (received, response) => {
            if (received.path.startsWith(leavesAt)) {
                response.setHeader("leaving", "1");
            }
            if (received.path.startsWith("/reserve")) {
                const id = fixtures.makeReservationId();
                granted.push(id);
                response.end(fixtures.grantReservation(id));
                return;
            }
            response.writeHead(200, { signature: "s" });
            response.write(EVENT);
            await whileRunning();
            response.end();
        };
    };

    it("gets a reservation back that is not used yet, and no run", async () => {
        behave("/reserve");
        const response = await fixture.send({ path: "/write/1", headers: PROMPT });
        chai.expect(response).to.include({ status: 503, body: JSON.stringify({ error: "upstreamsAway" }) });
        chai.expect(response.tookMs).to.be.below(400);
        await lifecycle.pause(fixture.scope, 50);
        chai.expect(engine.received.map(({ method, path }) => `${method} ${path}`))
            .to.deep.equal(["POST /reserve", `DELETE /reserve/${granted[0]}`]);
    });

    it("finishes what runs there, and gets nothing new", async () => {
        let second: Promise<fixtures.ReceivedResponse> | undefined;
        behave("/write/1", async () => {
            second = fixture.send({ path: "/write/1", headers: PROMPT });
            await second;
        });
        chai.expect(await fixture.send({ path: "/write/1", headers: PROMPT }))
            .to.include({ status: 200, body: EVENT, complete: true });
        chai.expect((await second)?.status).to.equal(503);
        chai.expect(runs()).to.equal(1);
    });

    it("is named to the host that relayed the request, and not to callers", async () => {
        counter.behave = (received, response) => {
            response.setHeader("leaving", "1");
            response.setHeader("citronlead-relay-leaving", "forged@1");
            fixtures.signed(response, received, "counted");
        };
        const relayed = await fixture.send({
            port: testing.testPortBase(PORT_OFFSET) + 3,
            headers: { "citronlead-relay-request": JSON.stringify({ timeLeftMs: 900, configuration: 1 }) },
        });
        chai.expect(relayed.status).to.equal(200);
        chai.expect(relayed.headers["citronlead-relay-leaving"]).to.equal("counter@1");
        chai.expect(relayed.headers.connection).to.include("citronlead-relay-leaving");
        counter.upstream = { ...counter.upstream, startedAt: 2 };
        await lifecycle.pause(fixture.scope, 1_200);
        const own = await fixture.send();
        chai.expect(own.status).to.equal(200);
        chai.expect(own.headers).to.not.have.property("citronlead-relay-leaving");
    });
});
