import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import type * as net from "node:net";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 3_360;

// Guards against requests that run twice, or are refused and run, because the id of an answer does not tell it from an earlier one.
describe("Late copies of the refusal of a request", () => {
    const fixture = new fixtures.Fixture(PORT_OFFSET);
    const runs: string[] = [];
    const copyDueOn = new WeakMap<net.Socket, string>();

    before(async () => {
        for (const id of ["u-1", "u-2"]) {
            const upstream = await fixture.addStandIn(id);
            upstream.behave = ({ body, headers }, response, { socket }) => {
                const requestId = headers["request-id"];
                const idLine = requestId === undefined ? "" : `request-id: ${String(requestId)}\r\n`;
                if (body === "refuse") {
                    const refusal = `HTTP/1.1 503 Full\r\n${idLine}not-run: 1\r\nContent-Length: 0\r\n\r\n`;
                    copyDueOn.set(socket, refusal);
                    socket.write(refusal);
                    return;
                }
                socket.write(copyDueOn.get(socket) ?? "");
                copyDueOn.delete(socket);
                runs.push(id);
                response.writeHead(200, { signature: "s" }).end("booked");
            };
        }
        await fixture.start(fixtures.makeConfiguration());
    });
    beforeEach(() => void (runs.length = 0));
    after(() => fixture.close());

    const book = async (body: string, idHeader: Record<string, string>) => {
        const caller = new testing.RawCaller(testing.testPortBase(PORT_OFFSET));
        const headers = { host: "shop.example", key: "key-1", ...idHeader };
        await caller.send({ path: "/book/1", headers, body, framing: testing.BodyFraming.WithLength });
        const endsAt = lifecycle.monotonicClock() + 2_000;
        while (caller.responses.length === 0 && lifecycle.monotonicClock() < endsAt) {
            await lifecycle.pause(fixture.scope, 10);
        }
        caller.socket.destroy();
        return caller.responses[0]?.status;
    };

    for (const [what, idHeader] of [["the same id", { "request-id": "r-1" }], ["no id", {}]] as const) {
        it(`are not taken for the answer to another request with ${what}`, async () => {
            chai.expect(await book("refuse", idHeader)).to.equal(503);
            const status = await book("run", idHeader);
            chai.expect({ status, runs: runs.length }).to.deep.equal({ status: 200, runs: 1 });
        });
    }
});
