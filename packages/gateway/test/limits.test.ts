import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const LIMIT_PER_SECOND = 2;
const WINDOW_MS = 4_000;
/** Most requests that may reach a limited upstream in any window. */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * WINDOW_MS / 1_000 + 5;
/** Time from the first answer that names a limit until it has to be kept. */
const LEARNING_MS = 3_000;
const REQUEST_INTERVAL_MS = 50;

describe("Upstreams that name a limit", () => {
    const fixture = new fixtures.Fixture(2_340);
    const standIns: fixtures.StandIn[] = [];
    /** Arrivals of requests at each upstream. */
    let arrivals: Map<string, number[]>;
    let lastRequest = 0;

    const behave = (id: string, limit?: number): fixtures.Behaviour => (received, response) => {
        arrivals.set(id, [...arrivals.get(id) ?? [], lifecycle.monotonicClock()]);
        if (limit !== undefined) {
            response.setHeader("limit", String(limit));
        }
        fixtures.signed(response, received, id);
    };
    /** Sends requests at a steady rate for a while. Returns the responses. */
    const load = async (durationMs: number) => {
        const responses: Promise<fixtures.ReceivedResponse>[] = [];
        const endsAt = lifecycle.monotonicClock() + durationMs;
        while (lifecycle.monotonicClock() < endsAt) {
            responses.push(fixture.send({ path: "/look/1", headers: { "request-id": `r-${++lastRequest}` } }));
            await lifecycle.pause(fixture.scope, REQUEST_INTERVAL_MS);
        }
        return Promise.all(responses);
    };
    const mostInWindow = (times: readonly number[], from: number) =>
        testing.mostInWindow(times.filter((time) => time >= from), WINDOW_MS);
    const share = (responses: readonly fixtures.ReceivedResponse[], status: number) =>
        responses.filter((response) => response.status === status).length / responses.length;

    before(async () => {
        arrivals = new Map();
        for (const id of ["one", "two", "three"]) {
            standIns.push(await fixture.addStandIn(id));
        }
        await fixture.start(fixtures.makeConfiguration());
    });
    beforeEach(() => arrivals = new Map());
    after(() => fixture.close());

    it("get no more than that, while the others serve the rest", async () => {
        standIns.forEach((standIn, index) =>
            standIn.behave = behave(`${index}`, index < 2 ? LIMIT_PER_SECOND : undefined)
        );
        const startedAt = lifecycle.monotonicClock();
        const responses = await load(LEARNING_MS + WINDOW_MS + 1_000);
        chai.expect(mostInWindow(arrivals.get("0") ?? [], startedAt + LEARNING_MS)).to.be.within(1, MAX_IN_WINDOW);
        chai.expect(mostInWindow(arrivals.get("1") ?? [], startedAt + LEARNING_MS)).to.be.within(1, MAX_IN_WINDOW);
        chai.expect(share(responses, 200)).to.equal(1);
    });

    it("get no more than that if all do; the rest is refused at once, with when to come back", async () => {
        standIns.forEach((standIn, index) => standIn.behave = behave(`${index}`, LIMIT_PER_SECOND));
        await load(1_000);
        const startedAt = lifecycle.monotonicClock();
        const responses = await load(WINDOW_MS + 1_000);
        for (const id of ["0", "1", "2"]) {
            chai.expect(mostInWindow(arrivals.get(id) ?? [], startedAt)).to.be.within(1, MAX_IN_WINDOW);
        }
        const refused = responses.filter(({ status }) => status === 503);
        chai.expect(share(responses, 200) + refused.length / responses.length).to.equal(1);
        chai.expect(refused.length).to.be.above(0);
        for (const { headers, tookMs } of refused) {
            chai.expect(Number(headers["retry-after"])).to.be.above(0);
            chai.expect(tookMs).to.be.below(500);
        }
    });

    it("get their share again once they name none", async () => {
        standIns.forEach((standIn, index) => standIn.behave = behave(`${index}`));
        await load(2_000);
        arrivals.clear();
        const responses = await load(2_000);
        chai.expect(share(responses, 200)).to.equal(1);
        // One upstream gets all of a light load in this fixture.
        chai.expect(Math.max(...[...arrivals.values()].map(({ length }) => length))).to.be.above(30);
    });
});
