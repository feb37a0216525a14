import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const EXTRA = 10;
const REQUESTS = 20;

const acceptPrefill: fixtures.Behaviour = (received, response) => {
    response.writeHead(200, { "request-id": received.headers["request-id"] });
    response.end(JSON.stringify({ handle: "h" }));
};
const breakOff: fixtures.Behaviour = (_, __, request) => request.socket.resetAndDestroy();
const stream: fixtures.Behaviour = (received, response) => fixtures.signed(response, received, "id: 1\ndata: a\n\n");

/** Breaks off once several requests wait, so that each was decided on before the others failed. */
const breakOffLater: fixtures.Behaviour = (_, __, request) =>
    void setTimeout(() => request.socket.resetAndDestroy(), 200);

describe("Retries of model requests stay within the budget", () => {
    /** Sends requests to engines that behave as given, and returns the number of retries that reached them. */
    const countRetries = async (
        portOffset: number,
        behaviours: { readonly prefill: fixtures.Behaviour; readonly decode: fixtures.Behaviour; },
        atOnce = 1,
    ) => {
        const fixture = new fixtures.Fixture(portOffset);
        fixture.retries = { ratio: 0, extra: EXTRA, windowMs: 60_000 };
        for (
            const [id, stage] of [["p-1", "Prefill"], ["p-2", "Prefill"], ["d-1", "Decode"], ["d-2", "Decode"]] as const
        ) {
            const standIn = await fixture.addStandIn(id, { service: "model", stage: routing.EngineStage[stage] });
            standIn.behave = (received, response, request) => {
                if (received.path === "/reserve") {
                    response.end(fixtures.grantReservation());
                    return;
                }
                const isPrefill = received.headers["stage"] === "prefill";
                (isPrefill ? behaviours.prefill : behaviours.decode)(received, response, request);
            };
        }
        await fixture.start(fixtures.makeConfiguration());
        const send = (count: number) =>
            fixture.send({
                path: "/resume/1",
                method: "POST",
                body: `prompt ${count}`,
                headers: { "prompt-tokens": "50", "output-tokens": "10", "request-id": `r-${count}` },
            });
        for (let count = 0; count < REQUESTS; count += atOnce) {
            await Promise.all(Array.from({ length: atOnce }, (_, index) => send(count + index)));
        }
        const sent = fixture.standIns.flatMap(({ received }) => received).filter(({ path }) => path === "/resume/1");
        await fixture.close();
        const requestIds = new Set(sent.map(({ headers }) => headers["request-id"]));
        const accepted = behaviours.prefill === acceptPrefill ? sent.filter(({ headers }) => headers["stage"]) : [];
        const firstPrefills = new Set(accepted.map(({ headers }) => headers["request-id"])).size;
        return sent.length - firstPrefills - requestIds.size;
    };

    it("when each needs a prefill and a decode", async () => {
        chai.expect(await countRetries(2_940, { prefill: acceptPrefill, decode: breakOff })).to.be.within(1, EXTRA);
    });

    it("when the prefills of many requests are lost at once", async () => {
        const retries = await countRetries(2_980, { prefill: breakOffLater, decode: stream }, REQUESTS);
        chai.expect(retries).to.be.within(1, EXTRA);
    });

    it("when prefills are lost before the first decode", async () => {
        chai.expect(await countRetries(2_960, { prefill: breakOff, decode: stream })).to.be.within(1, EXTRA);
    });
});
