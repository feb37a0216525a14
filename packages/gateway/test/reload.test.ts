import * as chai from "chai";
import * as gateway from "../src/index.js";
import * as fixtures from "./fixture.js";

describe("A gateway whose settings change", () => {
    const fixture = new fixtures.Fixture(2_300);

    before(async () => {
        await fixture.addStandIn("one");
        await fixture.start(fixtures.makeConfiguration());
    });

    after(() => fixture.close());

    it("applies limits and periods at once and keeps serving at its address", async () => {
        const changed: gateway.GatewaySettings = {
            ...fixture.settings,
            callers: { address: "127.0.0.1", port: 1 },
            stopPeriodMs: 600,
        };
        fixture.gateway.reload(changed);
        fixture.gateway.rejectReload("bounds.grace_s: found nothing");
        chai.expect((await fixture.send()).status).to.equal(200);
        const startedAt = Date.now();
        await fixture.stop();
        // The ports close after a third of the stop period, which was 1,000 ms before the reload.
        chai.expect(Date.now() - startedAt).to.be.below(600);
    });
});
