import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 4_400;
const EVENT = "id: 1\ndata: a\n\n";
const PROMPT = { "prompt-tokens": "500", "output-tokens": "100" };
/** The fixture's registry is read each 10 ms. */
const HEARD_MS = 60;

// Guards against new work for upstreams in an availability zone that operators empty, on each way that work may go.
describe("An emptied availability zone", () => {
    let fixture: fixtures.Fixture;
    let revision = 1;

    const empty = (...zones: string[]) => {
        revision++;
        fixture.evacuations = { era: 1, revision, zones: zones.map((zone) => ({ zone, revision })) };
    };
    const heard = () => lifecycle.pause(fixture.scope, HEARD_MS);
    const paths = ({ received }: fixtures.StandIn) => received.map(({ method, path }) => `${method} ${path}`);
    const engine = async (id: string, availabilityZone: string, stage = routing.EngineStage.Whole) => {
        const standIn = await fixture.addStandIn(id, { service: "model", availabilityZone, stage });
        standIn.behave = fixtures.engineThatRuns((_, response) =>
            void response.writeHead(200, { signature: "s" }).end(EVENT)
        );
        return standIn;
    };
    const start = () => fixture.start(fixtures.makeConfiguration());

    beforeEach(() => {
        fixture = new fixtures.Fixture(PORT_OFFSET);
    });
    afterEach(() => fixture.close());

    it("gets no plain requests until it is taken back; other zones serve them", async () => {
        const near = await fixture.addStandIn("near", { availabilityZone: "a" });
        const far = await fixture.addStandIn("far", { availabilityZone: "b" });
        await start();
        await fixture.send();
        chai.expect(near.received.length).to.equal(1);
        empty("a");
        await heard();
        for (let count = 0; count < 5; count++) {
            chai.expect((await fixture.send()).body).to.equal("far");
        }
        chai.expect([near.received.length, far.received.length]).to.deep.equal([1, 5]);
        empty();
        await heard();
        chai.expect((await fixture.send()).body).to.equal("near");
    });

    it("is emptied from the first request on at a host that starts during the evacuation", async () => {
        const near = await fixture.addStandIn("near", { availabilityZone: "a" });
        await fixture.addStandIn("far", { availabilityZone: "b" });
        empty("a");
        await start();
        chai.expect((await fixture.send()).body).to.equal("far");
        chai.expect(near.received).to.deep.equal([]);
    });

    it("makes a host refuse at once, truthfully and with a wait, if no other zone has upstreams", async () => {
        await fixture.addStandIn("near", { availabilityZone: "a" });
        await engine("engine", "a");
        await start();
        empty("a");
        await heard();
        for (const request of [{}, { path: "/write/1", headers: PROMPT }]) {
            const response = await fixture.send(request);
            chai.expect(response).to.include({ status: 503, body: JSON.stringify({ error: "zonesEmptied" }) });
            chai.expect(response.tookMs).to.be.below(150);
            chai.expect(Number(response.headers["retry-after"])).to.be.within(1_500, 4_500);
        }
        chai.expect((await fixture.get(1, "/ready")).status).to.equal(200);
        const metrics = (await fixture.get(2, "/metrics")).body;
        chai.expect(metrics).to.match(/citronlead_gateway_emptied_zones\{zone="a"\} \d{10}/);
        chai.expect(metrics).to.include(`citronlead_gateway_excluded_upstreams{reason="evacuated"} 2`);
    });

    it("lets runs end that are under way, and gives reservations back that are not used yet", async () => {
        const near = await engine("engine", "a");
        const far = await engine("other", "b");
        await start();
        const granted: string[] = [];
        near.behave = async (received, response) => {
            if (received.path === "/reserve" && received.body.includes("500")) {
                empty("a");
                await heard();
            }
            if (received.path.startsWith("/reserve")) {
                const id = fixtures.makeReservationId();
                if (received.method === "POST") {
                    granted.push(id);
                }
                response.end(fixtures.grantReservation(id));
                return;
            }
            response.writeHead(200, { signature: "s" });
            response.write(EVENT);
            empty("a");
            await heard();
            response.end();
        };
        const running = await fixture.send({ path: "/write/1", headers: { ...PROMPT, "prompt-tokens": "300" } });
        chai.expect(running).to.include({ status: 200, body: EVENT, complete: true });
        empty();
        await heard();
        near.received.length = 0;
        const moved = await fixture.send({ path: "/write/2", headers: PROMPT });
        chai.expect(moved).to.include({ status: 200, body: EVENT });
        await heard();
        chai.expect(paths(near).filter((path) => path.startsWith("GET /write"))).to.deep.equal([]);
        chai.expect(paths(near)).to.include(`DELETE /reserve/${granted.at(-1)}`);
        chai.expect(paths(far)).to.include("GET /write/2");
    });

    it("gets no prefill, and no decode of one that another zone has run meanwhile", async () => {
        const { Prefill, Decode } = routing.EngineStage;
        const nearPrefill = await engine("prefill-a", "a", Prefill);
        const farPrefill = await engine("prefill-b", "b", Prefill);
        const nearDecode = await engine("decode-a", "a", Decode);
        const farDecode = await engine("decode-b", "b", Decode);
        const handle = (response: Parameters<fixtures.Behaviour>[1]) =>
            void response.writeHead(200, { signature: "s" }).end(JSON.stringify({ handle: "h" }));
        await start();
        nearPrefill.behave = async (_, response) => {
            empty("a");
            await heard();
            handle(response);
        };
        farPrefill.behave = (_, response) => handle(response);
        chai.expect(await fixture.send({ path: "/write/1", headers: PROMPT })).to.include({ status: 200, body: EVENT });
        chai.expect(paths(nearPrefill).filter((path) => path.includes("/write/"))).to.have.length(1);
        chai.expect(paths(nearDecode).filter((path) => path.includes("/write/"))).to.deep.equal([]);
        chai.expect(await fixture.send({ path: "/write/2", headers: PROMPT })).to.include({ status: 200, body: EVENT });
        chai.expect(paths(nearPrefill).filter((path) => path.includes("/write/2"))).to.deep.equal([]);
        chai.expect(paths(farPrefill)).to.include("GET /write/2");
        chai.expect(paths(farDecode)).to.include("GET /write/2");
    });

    it("gets nothing from requests that have waited for room", async () => {
        const near = await engine("engine", "a");
        await start();
        near.behave = (_, response) => void response.writeHead(503, { "not-run": "1" }).end();
        const waiting = fixture.send({ path: "/write/1", headers: PROMPT });
        await heard();
        empty("a");
        await heard();
        near.received.length = 0;
        chai.expect(await waiting).to.include({ status: 503, body: JSON.stringify({ error: "zonesEmptied" }) });
        chai.expect(near.received).to.deep.equal([]);
    });

    it("gets no relayed request at a host that serves it for another", async () => {
        const near = await fixture.addStandIn("near", { availabilityZone: "a" });
        await fixture.addStandIn("far", { availabilityZone: "b" });
        await start();
        empty("a");
        await heard();
        const relayed = await fixture.send({
            port: testing.testPortBase(PORT_OFFSET) + 3,
            headers: { "citronlead-relay-request": JSON.stringify({ timeLeftMs: 900, configuration: 1 }) },
        });
        chai.expect(relayed.body).to.equal("far");
        chai.expect(near.received).to.deep.equal([]);
    });

    it("gets no rest of a stream that broke off elsewhere", async () => {
        const near = await engine("engine", "a");
        const far = await engine("other", "b");
        let broken = 0;
        const breakOnce: fixtures.Behaviour = fixtures.engineThatRuns(async (_, response) => {
            response.writeHead(200, { signature: "s" });
            response.write(EVENT);
            if (broken++ === 0) {
                empty("a");
                await heard();
                response.destroy();
                return;
            }
            response.end();
        });
        near.behave = breakOnce;
        far.behave = fixtures.engineThatRuns((_, response) =>
            void response.writeHead(200, { signature: "s" }).end("id: 2\ndata: b\n\n")
        );
        await start();
        await fixture.send({ path: "/resume/1", headers: PROMPT });
        chai.expect(paths(near).filter((path) => path.includes("/resume/"))).to.have.length(1);
        chai.expect(paths(far).filter((path) => path.includes("/resume/"))).to.have.length(1);
    });
});
