import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

describe("Upstreams whose addresses belong to another one", () => {
    let fixture: fixtures.Fixture;

    afterEach(() => fixture.close());

    it("are named in a request, which is retried elsewhere", async () => {
        fixture = new fixtures.Fixture(2_450);
        const one = await fixture.addStandIn("one");
        const other = await fixture.addStandIn("other");
        await fixture.start(fixtures.makeConfiguration());
        for (const standIn of [one, other]) {
            standIn.behave = (received, response) =>
                one.received.length + other.received.length === 1
                    ? response.writeHead(421).end()
                    : fixtures.signed(response, received, "done");
        }
        chai.expect((await fixture.send()).body).to.equal("done");
        for (const { received, upstream } of [one, other]) {
            chai.expect(received.map(({ headers }) => headers["upstream-id"])).to.deep.equal([upstream.id]);
        }
    });

    it("get no more reservations, although the engine at the address grants them", async () => {
        fixture = new fixtures.Fixture(2_480);
        const replaced = await fixture.addStandIn("replaced", { service: "model", stage: routing.EngineStage.Decode });
        await fixture.start(fixtures.makeConfiguration());
        let refusedRuns = 0;
        let lateReservations = 0;
        replaced.behave = (received, response) => {
            if (received.path !== "/reserve") {
                refusedRuns += received.method === "DELETE" ? 0 : 1;
                response.writeHead(421).end();
                return;
            }
            lateReservations += refusedRuns > 0 ? 1 : 0;
            response.end(fixtures.grantReservation());
        };
        const headers = { "prompt-tokens": "500", "output-tokens": "100" };
        const response = await fixture.send({ path: "/write/1", headers });
        chai.expect(response.status).to.equal(503);
        chai.expect(refusedRuns).to.equal(1);
        chai.expect(lateReservations).to.equal(0);
    });
});
