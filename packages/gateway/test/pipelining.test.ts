import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 4_080;
const ANSWER_MS = 500;

// Guards against whole requests that are read, kept waiting behind another, and dropped without an answer.
describe("A stopping gateway, and a request that comes while another of its connection is served", () => {
    const fixture = new fixtures.Fixture(PORT_OFFSET);

    before(async () => {
        const counter = await fixture.addStandIn("counter");
        counter.behave = (received, response) =>
            void setTimeout(() => fixtures.signed(response, received, "counted"), ANSWER_MS);
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    it("answers both, or ends the connection at once", async () => {
        const caller = new testing.RawCaller(testing.testPortBase(PORT_OFFSET));
        await new Promise((resolve) => caller.socket.once("connect", resolve));
        void fixture.stop();
        await lifecycle.pause(fixture.scope, 50);
        const head = (id: string) =>
            `GET /book/1 HTTP/1.1\r\nHost: shop.example\r\nrequest-id: ${id}\r\nkey: key-1\r\n\r\n`;
        caller.socket.write(head("first"));
        await lifecycle.pause(fixture.scope, 100);
        const sentAt = lifecycle.monotonicClock();
        caller.socket.write(head("second"));
        await new Promise((resolve) => caller.socket.once("end", resolve));
        const tookMs = lifecycle.monotonicClock() - sentAt;
        const answered = caller.responseWith("request-id: second") !== undefined;
        chai.expect(answered || tookMs < 200, `answered: ${answered}, closed after ${Math.round(tookMs)} ms`).to.equal(
            true,
        );
    });
});
