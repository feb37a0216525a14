import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

/** Number of crashes after which a part of a prompt must be known to cause them. */
const CRASH_BOUND = 5;
const CRASHING_PART = "c4a5";
const ENGINE_COUNT = 8;

describe("Prompt parts that crash engines", () => {
    const fixture = new fixtures.Fixture(2_260);
    const engines: fixtures.StandIn[] = [];
    /** Ids of the requests with the crashing part that reached engines, other than for a reservation. */
    let reached: string[] = [];
    let lastRequest = 0;

    /** Streams three events, but closes the connection on a run with the crashing part. */
    const behave: fixtures.Behaviour = (received, response, request) => {
        const parts = String(received.headers["prompt-parts"] ?? "").split(",");
        if (received.path === "/reserve") {
            response.end(fixtures.grantReservation());
        }
        else if (received.method === "DELETE" || received.path === "/state") {
            response.end();
        }
        else if (parts.includes(CRASHING_PART)) {
            reached.push(String(received.headers["request-id"]));
            response.writeHead(200, { "request-id": received.headers["request-id"], "signature": "s" });
            response.flushHeaders();
            setTimeout(() => request.socket.resetAndDestroy(), 5);
        }
        else {
            response.writeHead(200, { "request-id": received.headers["request-id"], "signature": "s" });
            response.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            setTimeout(() => response.end("id: 3\ndata: c\n\n"), 20);
        }
    };

    const send = (sharedParts: readonly string[], path = "/write/1") => {
        const id = `r-${++lastRequest}`;
        return fixture.send({
            path,
            method: "POST",
            body: `prompt ${id}`,
            headers: {
                "request-id": id,
                "prompt-tokens": "500",
                "output-tokens": "100",
                "prompt-parts": [...sharedParts, `own${lastRequest}`].join(),
            },
        });
    };

    before(async () => {
        for (let index = 0; index < ENGINE_COUNT; index++) {
            const change = { service: "model", stage: routing.EngineStage.Decode };
            const engine = await fixture.addStandIn(`engine-${index}`, change);
            engine.behave = behave;
            engines.push(engine);
        }
        await fixture.start(fixtures.makeConfiguration());
    });
    beforeEach(() => reached = []);
    after(() => fixture.close());

    it("are no longer sent to engines, whatever else the requests hold, while sound requests are served", async () => {
        for (let round = 0; round < 12; round++) {
            chai.expect((await send(["first"])).status, "sound request").to.equal(200);
            const path = round % 2 === 0 ? "/write/1" : "/resume/1";
            await send(round % 3 === 0 ? ["first", "other", CRASHING_PART] : ["first", CRASHING_PART], path);
        }
        chai.expect(reached.length).to.be.most(CRASH_BOUND);
        const refused = await send(["first", CRASHING_PART]);
        chai.expect(refused.status).to.equal(503);
        chai.expect(Number(refused.headers["retry-after"])).to.be.above(0);
        chai.expect(refused.tookMs).to.be.below(200);
        for (let round = 0; round < 5; round++) {
            chai.expect((await send(["first", "other"])).status, "sound request").to.equal(200);
        }
    });

    it("are not blamed for crashes of all engines at once, nor are the other parts", async () => {
        engines.forEach((engine) => {
            engine.behave = (received, response, request) =>
                received.path === "/reserve"
                    ? void response.end(fixtures.grantReservation())
                    : void setTimeout(() => request.socket.resetAndDestroy(), 300);
        });
        await Promise.all(Array.from({ length: 2 * ENGINE_COUNT }, () => send(["common", "rare"])));
        engines.forEach((engine) => engine.behave = behave);
        let served = 0;
        for (let round = 0; round < 10; round++) {
            served += (await send(["common", "rare"])).status === 200 ? 1 : 0;
        }
        chai.expect(served).to.be.above(5);
    });
});
