import * as chai from "chai";
import * as fixtures from "./fixture.js";

const LONG_BODY = "0123456789abcdef".repeat(1_200_000);
const START = "s".repeat(500_000);

// Guards against long answers that are held whole, or that end early and look complete.
describe("Long bodies of plain services", () => {
    const fixture = new fixtures.Fixture(2_640);
    let counter: fixtures.StandIn;

    before(async () => {
        counter = await fixture.addStandIn("counter");
        const { routes } = fixtures.makeConfiguration();
        await fixture.start(
            fixtures.makeConfiguration({ routes: routes.map((route) => ({ ...route, timeoutMs: 10_000 })) }),
        );
    });
    after(() => fixture.close());

    it("are relayed whole beyond 16 MiB, with a length, in chunks and without framing", async () => {
        for (const framing of ["length", "chunks", "none"]) {
            counter.behave = (received, response) => {
                if (received.headers["request-id"] === undefined) {
                    response.end();
                    return;
                }
                response.useChunkedEncodingByDefault = framing === "chunks";
                response.writeHead(200, {
                    "request-id": "r-1",
                    "signature": "s",
                    ...(framing === "length" ? { "Content-Length": LONG_BODY.length } : {}),
                });
                response.end(LONG_BODY);
            };
            const { body, complete, status } = await fixture.send({ path: "/look/1" });
            chai.expect({ status, complete, isWhole: body === LONG_BODY }, framing).to.deep.equal({
                status: 200,
                complete: true,
                isWhole: true,
            });
        }
    });

    it("do not look complete when they break off, and are not asked for again", async () => {
        for (const framing of ["length", "chunks", "none"]) {
            let runs = 0;
            counter.behave = (received, response) => {
                if (received.headers["request-id"] === undefined) {
                    response.end();
                    return;
                }
                runs++;
                response.useChunkedEncodingByDefault = framing === "chunks";
                response.writeHead(200, {
                    "request-id": "r-1",
                    "signature": "s",
                    ...(framing === "length" ? { "Content-Length": LONG_BODY.length } : {}),
                });
                response.write(START);
                setTimeout(() => response.socket?.resetAndDestroy(), 100);
            };
            const { body, complete } = await fixture.send({ path: "/look/1" });
            chai.expect({ complete, runs }, framing).to.deep.equal({ complete: false, runs: 1 });
            chai.expect(START.startsWith(body), framing).to.equal(true);
        }
    });
});
