import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];
const LATENCY_TARGET_MS = 900;
/** Callers abandon a stream after four latency targets without an event: 3.6 s. */
const SILENCE_MS = 3_450;
/** Longer than the 0.6 of the latency target after which an idempotent request is sent elsewhere. */
const SLOW_MS = 800;

// Guards against answers that the gateway ends while their upstream is silent and their caller waits.
describe("A silent upstream, with no other that could take its place", () => {
    const fixture = new fixtures.Fixture(3_960);
    const headers = { "prompt-tokens": "500", "output-tokens": "100" };
    let engine: fixtures.StandIn;
    let counter: fixtures.StandIn;
    const onRun = (behave: fixtures.Behaviour) => {
        engine.behave = fixtures.engineThatRuns(behave);
    };

    before(async () => {
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        counter = await fixture.addStandIn("counter");
        const configuration = fixtures.makeConfiguration();
        const routes = configuration.routes.map((route) => ({
            ...route,
            timeoutMs: 8_000,
            latencyTargetMs: LATENCY_TARGET_MS,
        }));
        await fixture.start({ ...configuration, routes });
    });
    after(() => fixture.close());

    for (const route of ["write", "resume"]) {
        it(`does not end a stream in its middle, /${route}/`, async () => {
            onRun((received, response) => {
                response.writeHead(200, { signature: "s" });
                response.write(received.headers["last-event-id"] === undefined ? EVENTS[0] : ": resumed\n");
                setTimeout(() => response.end(EVENTS.slice(1).join("")), SILENCE_MS);
            });
            chai.expect(await fixture.send({ path: `/${route}/1`, headers }))
                .to.include({ status: 200, body: EVENTS.join(""), complete: true });
        });

        it(`does not end a stream before its first event, /${route}/`, async () => {
            onRun((_, response) => {
                setTimeout(() => {
                    response.writeHead(200, { signature: "s" });
                    response.end(EVENTS.join(""));
                }, SILENCE_MS);
            });
            chai.expect(await fixture.send({ path: `/${route}/1`, headers }))
                .to.include({ status: 200, body: EVENTS.join(""), complete: true });
        });
    }

    it("does not end a request that may be repeated", async () => {
        counter.behave = (received, response) =>
            void setTimeout(() => fixtures.signed(response, received, "late"), SLOW_MS);
        chai.expect(await fixture.send({ path: "/look/1" })).to.include({ status: 200, body: "late" });
    });
});
