import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

/** How long sound upstreams may be silent. */
const SILENCE_MS = 1_200;
/** Callers of routes with short latency targets abandon a stream after two seconds. */
const ALMOST_ABANDONED_MS = 1_950;
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

describe("Upstreams that are silent for a second and go on", () => {
    const fixture = new fixtures.Fixture(2_980);
    const headers = { "prompt-tokens": "500", "output-tokens": "100" };
    let engine: fixtures.StandIn;
    let counters: readonly fixtures.StandIn[];
    const afterSilence = (respond: () => void) => void setTimeout(respond, SILENCE_MS);
    /** Answers reservations at once and runs as given. */
    const onRun = (behave: fixtures.Behaviour) => {
        engine.behave = fixtures.engineThatRuns(behave);
    };

    before(async () => {
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        counters = await Promise.all(["u-1", "u-2", "u-3"].map((id) => fixture.addStandIn(id)));
        const configuration = fixtures.makeConfiguration();
        const routes = configuration.routes.map((route) => ({ ...route, timeoutMs: 5_000 }));
        await fixture.start({ ...configuration, routes });
    });
    after(() => fixture.close());

    it("lose no stream in its middle", async () => {
        onRun((_, response) => {
            response.writeHead(200, { "request-id": "r-1", "signature": "s" });
            response.write(EVENTS[0]);
            afterSilence(() => response.end(EVENTS.slice(1).join("")));
        });
        chai.expect(await fixture.send({ path: "/write/1", headers }))
            .to.include({ status: 200, body: EVENTS.join(""), complete: true });
    });

    for (
        const [what, path, breaks] of [
            ["that may not go on elsewhere", "/write/1", 0],
            ["on its last attempt", "/resume/1", 1],
        ] as const
    ) {
        it(`lose no stream ${what} before its caller abandons it`, async () => {
            let left = breaks;
            onRun(({ headers: { "last-event-id": lastEventId } }, response) => {
                response.writeHead(200, {
                    "request-id": "r-1",
                    "signature": "s",
                    "content-type": "text/event-stream",
                });
                const rest = EVENTS.slice(Number(lastEventId ?? 0));
                if (left-- > 0) {
                    response.write(EVENTS[0], () => response.destroy());
                    return;
                }
                response.write(rest[0]);
                setTimeout(() => response.end(rest.slice(1).join("")), ALMOST_ABANDONED_MS);
            });
            chai.expect(await fixture.send({ path, headers }))
                .to.include({ status: 200, body: EVENTS.join(""), complete: true });
        });
    }

    it("lose no stream that goes on until its caller's deadline", async () => {
        const lastedMs: number[] = [];
        onRun((_, response) => {
            const startedAt = lifecycle.monotonicClock();
            response.on("close", () => lastedMs.push(lifecycle.monotonicClock() - startedAt));
            response.writeHead(200, { "request-id": "r-1", "signature": "s", "content-type": "text/event-stream" });
            response.write(EVENTS[0]);
        });
        for (let count = 0; count < 5; count++) {
            const response = await fixture.send({ path: "/write/1", headers: { ...headers, patience: "600" } });
            chai.expect(response).to.include({ status: 200, body: EVENTS[0], complete: false });
        }
        // Runs begin some milliseconds after their requests arrive.
        chai.expect(Math.max(...lastedMs)).to.be.above(585);
    });

    it("lose no stream at its end, if only the connection ends it", async () => {
        onRun((received, response) => {
            if (received.path === "/state") {
                afterSilence(() => response.end());
                return;
            }
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            response.writeHead(200, { "request-id": "r-1", "signature": "s" });
            response.end(EVENTS.join(""));
        });
        chai.expect(await fixture.send({ path: "/write/1", headers }))
            .to.include({ status: 200, body: EVENTS.join(""), complete: true });
    });

    it("answer the plain requests that they have, and the next ones", async () => {
        for (const standIn of counters) {
            standIn.behave = (received, response) => afterSilence(() => fixtures.signed(response, received, "late"));
        }
        const during = await Promise.all(
            Array.from({ length: 6 }, (_, index) => fixture.send({ headers: { "request-id": `r-${index}` } })),
        );
        chai.expect(during.map(({ status }) => status)).to.deep.equal(during.map(() => 200));
        for (const standIn of counters) {
            standIn.behave = (received, response) => fixtures.signed(response, received, "prompt");
        }
        chai.expect(await fixture.send()).to.include({ status: 200, body: "prompt" });
    });

    it("are suspected before callers have abandoned their streams, so that others are preferred", async () => {
        const other = await fixture.addStandIn("other", { service: "model", stage: routing.EngineStage.Whole });
        const [first, second] = [engine, other];
        const arrivals: string[] = [];
        for (const standIn of [first, second]) {
            standIn.behave = (received, response) => {
                if (received.path.startsWith("/reserve")) {
                    response.end(fixtures.grantReservation());
                    return;
                }
                // A suspected engine is asked whether it runs, which is no run.
                if (received.path === "/state") {
                    response.end("{}");
                    return;
                }
                arrivals.push(standIn.upstream.id);
                response.writeHead(200, { "request-id": "r-1", "signature": "s", "content-type": "text/event-stream" });
                response.write(EVENTS[0]);
                if (standIn.upstream.id !== arrivals[0]) {
                    response.end(EVENTS.slice(1).join(""));
                }
            };
        }
        await lifecycle.pause(fixture.scope, 1_500);
        const abandoned = fixture.send({ path: "/write/1", headers: { ...headers, patience: "2000" } });
        chai.expect(await abandoned).to.include({ status: 200, complete: false });
        for (let count = 0; count < 4; count++) {
            chai.expect(await fixture.send({ path: "/write/1", headers })).to.include({ complete: true });
        }
        chai.expect(new Set(arrivals.slice(1))).to.have.property("size", 1);
        chai.expect(arrivals.slice(1)).to.not.include(arrivals[0]);
    });
});
