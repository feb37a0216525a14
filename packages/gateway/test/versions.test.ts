import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const PROMPT = { "prompt-tokens": "500", "output-tokens": "100" };
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

/** Streams the events after the one that the request resumes after; breaks off before the event at `breaksAt`. */
function engine(name: string, breaksAt = Infinity): fixtures.Behaviour {
    return (received, response, request) => {
        if (received.path === "/reserve") {
            response.end(fixtures.grantReservation());
        }
        else if (received.method === "DELETE" || received.path === "/state") {
            response.end();
        }
        else {
            const first = Number(received.headers["last-event-id"] ?? 0);
            response.writeHead(200, { "request-id": received.headers["request-id"], "signature": name });
            EVENTS.slice(first, breaksAt).forEach((event) => response.write(event));
            if (breaksAt < EVENTS.length) {
                setTimeout(() => request.socket.resetAndDestroy(), 30);
            }
            else {
                response.end();
            }
        }
    };
}

describe("Streams and engines of several software versions", () => {
    const fixture = new fixtures.Fixture(2_900);
    const stage = { service: "model", stage: routing.EngineStage.Whole };
    let old: fixtures.StandIn;
    let others: readonly fixtures.StandIn[];
    const runs = (standIn: fixtures.StandIn) => standIn.received.filter(({ path }) => path.startsWith("/resume/"));

    before(async () => {
        old = await fixture.addStandIn("old", { ...stage, softwareVersion: "v1" });
        others = await Promise.all(
            ["new-1", "new-2"].map((id) => fixture.addStandIn(id, { ...stage, softwareVersion: "v2" })),
        );
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    it("never continues a broken stream at another version inside one response", async () => {
        // The first requests go to any engine; one that begins at the only engine of its version cannot go on.
        old.behave = engine("old", 2);
        others.forEach((standIn) => standIn.behave = engine("new"));
        for (let count = 0; runs(old).length === 0; count++) {
            const requestId = `r-${count}`;
            const response = await fixture.send({
                path: "/resume/1",
                headers: { ...PROMPT, "request-id": requestId },
            });
            const atOld = runs(old).length > 0;
            chai.expect(response.body).to.equal(EVENTS.slice(0, atOld ? 2 : 3).join(""));
            chai.expect(response.complete).to.equal(!atOld);
            chai.expect(response.tookMs, "a stream that cannot go on is ended at once").to.be.below(1_000);
        }
    });
});
