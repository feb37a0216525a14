import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as net from "node:net";
import * as fixtures from "./fixture.js";

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
/** How long an engine may work on a stream that goes on at another. */
const MAX_OVERLAP_MS = 400;

// Guards against a stream that goes on at another engine while the one before still works on it.
describe("Resumable streams that go on at another engine", () => {
    const fixture = new fixtures.Fixture(4_160);
    const arrivals: { readonly socket: net.Socket; readonly at: number; closedAt: number; }[] = [];

    before(async () => {
        for (const id of ["engine-1", "engine-2"]) {
            await fixture.addStandIn(id, { service: "model", stage: routing.EngineStage.Whole });
        }
        await fixture.start(fixtures.makeConfiguration());
    });
    beforeEach(() => void (arrivals.length = 0));
    after(() => fixture.close());

    const head = { "request-id": "r-1", "signature": "s", "content-type": "text/event-stream" };
    const cases: readonly (readonly [string, fixtures.Behaviour])[] = [
        ["is silent before its answer", () => undefined],
        ["is silent after an event", (_, response) => void response.writeHead(200, head).write(EVENTS[0])],
    ];
    for (const [what, behave] of cases) {
        it(`have been given up at the first, which ${what}`, async () => {
            const run: fixtures.Behaviour = (received, response, request) => {
                const arrival = { socket: request.socket, at: lifecycle.monotonicClock(), closedAt: Infinity };
                request.socket.once("close", () => arrival.closedAt = lifecycle.monotonicClock());
                arrivals.push(arrival);
                if (arrivals.length === 1) {
                    behave(received, response, request);
                    return;
                }
                const left = received.headers["last-event-id"] === undefined ? EVENTS : EVENTS.slice(1);
                response.writeHead(200, head).end(left.join(""));
            };
            fixture.standIns.forEach((engine) => engine.behave = fixtures.engineThatRuns(run));
            const headers = { "prompt-tokens": "500", "output-tokens": "100" };
            const { status, body } = await fixture.send({ path: "/resume/1", headers });
            await lifecycle.pause(fixture.scope, MAX_OVERLAP_MS);
            const [first, second] = arrivals;
            chai.expect({ status, body, runs: arrivals.length })
                .to.deep.equal({ status: 200, body: EVENTS.join(""), runs: 2 });
            chai.expect((first?.closedAt ?? Infinity) - (second?.at ?? 0), "ms of overlap").to.be.below(MAX_OVERLAP_MS);
        });
    }
});
