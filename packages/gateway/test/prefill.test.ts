import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

describe("Prefills that fail", () => {
    const fixture = new fixtures.Fixture(2_560);
    const prefillEngines: fixtures.StandIn[] = [];

    before(async () => {
        for (const id of ["prefill-1", "prefill-2"]) {
            const change = { service: "model", stage: routing.EngineStage.Prefill };
            prefillEngines.push(await fixture.addStandIn(id, change));
        }
        const decode = await fixture.addStandIn("decode", { service: "model", stage: routing.EngineStage.Decode });
        decode.behave = ({ path }, response) => {
            if (path.startsWith("/reserve")) {
                response.end(fixtures.grantReservation());
                return;
            }
            response.writeHead(200, { "request-id": "r-1", "signature": "decode" }).end("id: 1\ndata: a\n\n");
        };
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    it("are not tried again at an engine that began to drain meanwhile", async () => {
        for (const engine of prefillEngines) {
            engine.behave = () => {
                // It hangs, longer than the interval between listings, while all prefill engines begin to drain.
                for (const each of prefillEngines) {
                    each.upstream = { ...each.upstream, state: routing.UpstreamState.Draining };
                }
            };
        }
        const headers = { "prompt-tokens": "500", "output-tokens": "100" };
        const response = await fixture.send({ path: "/write/1", headers });
        chai.expect(response.status).to.equal(200);
        chai.expect(prefillEngines.flatMap(({ received }) => received)).to.have.length(1);
    });
});
