import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const PER_SECOND = 6;
/** Most requests that an upstream bears in any second meanwhile, by the tolerance of the fixture's settings. */
const MAX_PER_SECOND = 1.5 * PER_SECOND + 5;
const WARM_UP_MS = 2_500;
/** The same of engines, and how far apart their sends are at the rate that follows from it. */
const ENGINE_PER_SECOND = 12;
const ENGINE_INTERVAL_MS = 1_000 * 2.4 / (1.5 * ENGINE_PER_SECOND + 5 - 4);
const REQUEST_INTERVAL_MS = 20;

const withWarmUp = (configuration: routing.RoutingConfiguration): routing.RoutingConfiguration => ({
    ...configuration,
    services: configuration.services.map((service) => ({
        ...service,
        warmUp: {
            durationMs: WARM_UP_MS,
            requestsPerSecond: service.engine === undefined ? PER_SECOND : ENGINE_PER_SECOND,
        },
    })),
});

describe("Upstreams that warm up", () => {
    const fixture = new fixtures.Fixture(2_360);
    let cold: fixtures.StandIn;
    let warm: fixtures.StandIn;
    let engine: fixtures.StandIn;
    let lastRequest = 0;
    const arrivals = new Map<string, number[]>();
    const count = (id: string) => arrivals.set(id, [...arrivals.get(id) ?? [], lifecycle.monotonicClock()]);

    const load = async (durationMs: number, path = "/look/1") => {
        const responses: Promise<fixtures.ReceivedResponse>[] = [];
        const endsAt = lifecycle.monotonicClock() + durationMs;
        while (lifecycle.monotonicClock() < endsAt) {
            responses.push(fixture.send({ path, headers: { "request-id": `r-${++lastRequest}` } }));
            await lifecycle.pause(fixture.scope, REQUEST_INTERVAL_MS);
        }
        return Promise.all(responses);
    };
    const restart = async (standIn: fixtures.StandIn) => {
        standIn.upstream = { ...standIn.upstream, startedAt: Date.now() };
        // The next listing shows it.
        await lifecycle.pause(fixture.scope, 1_200);
    };
    const served = (responses: readonly fixtures.ReceivedResponse[]) =>
        responses.filter(({ status }) => status === 200).length / responses.length;

    before(async () => {
        const longAgo = Date.now() - 600_000;
        cold = await fixture.addStandIn("cold", { startedAt: longAgo });
        warm = await fixture.addStandIn("warm", { startedAt: longAgo, availabilityZone: "b" });
        engine = await fixture.addStandIn("engine", {
            service: "model",
            stage: routing.EngineStage.Whole,
            startedAt: longAgo,
        });
        for (const standIn of [cold, warm]) {
            standIn.behave = (received, response) => {
                count(standIn.upstream.id);
                // It is slow, and says how long it goes on to warm up only when asked for its health.
                setTimeout(() => fixtures.signed(response, received, standIn.upstream.id), 30);
            };
        }
        await fixture.start(withWarmUp(fixtures.makeConfiguration()));
    });
    beforeEach(() => arrivals.clear());
    after(() => fixture.close());

    it("get what they bear after a new start of which nothing else tells, and no request is lost by that", async () => {
        chai.expect(served(await load(300))).to.equal(1);
        await restart(cold);
        arrivals.clear();
        const responses = await load(WARM_UP_MS - 1_400);
        chai.expect(testing.mostInWindow(arrivals.get("cold") ?? [], 1_000)).to.be.within(1, MAX_PER_SECOND);
        chai.expect(served(responses)).to.equal(1);
        const metrics = await fixture.get(2, "/metrics");
        chai.expect(metrics.body).to.contain("citronlead_gateway_warming_upstreams 1");
    });

    it("get all again once they are warm", async () => {
        await lifecycle.pause(fixture.scope, WARM_UP_MS);
        arrivals.clear();
        chai.expect(served(await load(1_000))).to.equal(1);
        chai.expect(arrivals.get("cold")?.length).to.be.above(2 * MAX_PER_SECOND);
    });

    it("are spared as soon as an answer says that they have turned cold again", async () => {
        cold.behave = (received, response) => {
            count("cold");
            response.setHeader("warm-up-left", "4000");
            fixtures.signed(response, received, "cold");
        };
        await load(500);
        arrivals.clear();
        const responses = await load(1_500);
        chai.expect(testing.mostInWindow(arrivals.get("cold") ?? [], 1_000)).to.be.within(1, MAX_PER_SECOND);
        chai.expect(served(responses)).to.equal(1);
        cold.behave = (received, response) => {
            count("cold");
            response.setHeader("warm-up-left", "0");
            fixtures.signed(response, received, "cold");
        };
        await load(1_000);
        arrivals.clear();
        await load(1_000);
        chai.expect(arrivals.get("cold")?.length).to.be.above(2 * MAX_PER_SECOND);
    });

    it("count each reservation and each run, and serve in turn what is reserved", async () => {
        engine.behave = (received, response) => {
            if (received.method !== "DELETE") {
                count("engine");
            }
            if (received.path === "/reserve" || received.method === "DELETE") {
                response.end(fixtures.grantReservation());
                return;
            }
            response.writeHead(200, {
                "request-id": String(received.headers["request-id"]),
                "signature": "s",
                "content-type": "text/event-stream",
            });
            response.end("id: 1\ndata: a\n\nid: end\ndata: end\n\n");
        };
        await restart(engine);
        arrivals.clear();
        const responses = await Promise.all(
            [1, 2].map((number) =>
                fixture.send({ path: "/write/1", headers: { "request-id": `s-${number}` }, method: "POST", body: "x" })
            ),
        );
        const statuses = responses.map(({ status }) => status);
        chai.expect(statuses).to.deep.equal([200, 200]);
        // Two at once, a reservation and its run; the next only when both have been made up for.
        const [reserved, , next, last] = arrivals.get("engine") ?? [];
        chai.expect(arrivals.get("engine")).to.have.length(4);
        chai.expect((next ?? 0) - (reserved ?? 0)).to.be.above(1.8 * ENGINE_INTERVAL_MS);
        chai.expect((last ?? 0) - (next ?? 0)).to.be.below(600);
    });
});
