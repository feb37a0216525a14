import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as net from "node:net";
import * as fixtures from "./fixture.js";

const HEAD = "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nsignature: s\r\n\r\n";
const FRAMINGS = { length: "Content-Length: 200", chunks: "Transfer-Encoding: chunked" };
const BODY = "b".repeat(200);
const CUT = BODY.slice(0, 80);
const events = (first: number, last: number) =>
    Array.from({ length: last - first + 1 }, (_, index) => `id: ${first + index}\ndata: x\n\n`).join("");
const PAUSE_MS = 30;

// Guards against answers that come twice on one connection and reach their callers as one complete answer.
describe("Two answers on one connection", () => {
    const fixture = new fixtures.Fixture(2_310);
    let counter: fixtures.StandIn;
    let engine: fixtures.StandIn;

    /** Writes the parts to the connection of each request in place of an answer, and ends it after the last one. */
    const answerRaw = (...parts: string[]) => {
        const write = (socket: net.Socket) => {
            socket.on("error", () => undefined);
            parts.forEach((part, index) =>
                setTimeout(
                    () => index + 1 < parts.length ? socket.write(part) : socket.end(part),
                    index * PAUSE_MS,
                )
            );
        };
        counter.behave = (received, response, request) =>
            received.path === "/health" ? void response.end() : write(request.socket);
        engine.behave = fixtures.engineThatRuns((_, __, request) => write(request.socket));
    };
    const headWith = (framing: string) => HEAD.replace("\r\n\r\n", `\r\n${framing}\r\n\r\n`);
    const sendStream = () =>
        fixture.send({ path: "/write/1", headers: { "prompt-tokens": "10", "output-tokens": "10" } });

    before(async () => {
        counter = await fixture.addStandIn("counter");
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    it("do not reach a caller as one body without framing", async () => {
        for (const first of [BODY, CUT]) {
            answerRaw(HEAD + first, HEAD + BODY);
            const { body, complete, status } = await fixture.send();
            chai.expect(status === 200 && complete ? body : BODY).to.equal(BODY);
        }
    });

    it("do not reach a caller as one body whose length or chunk the second one fills", async () => {
        const size = BODY.length;
        for (
            const [first, second] of [
                [headWith(FRAMINGS.length) + CUT, headWith(FRAMINGS.length) + BODY],
                [
                    `${headWith(FRAMINGS.chunks)}${size.toString(16)}\r\n${CUT}`,
                    `${(headWith(FRAMINGS.chunks) + BODY).slice(0, size - CUT.length)}\r\n0\r\n\r\n`,
                ],
            ] as const
        ) {
            answerRaw(first, second);
            const { body, complete, status } = await fixture.send();
            chai.expect(status === 200 && complete ? body : BODY).to.equal(BODY);
        }
    });

    it("do not reach a caller as one body that ends within the first line of the second one", async () => {
        const withLength = headWith(FRAMINGS.length);
        for (
            const [first, second] of [
                [withLength + BODY.slice(0, -10), withLength + BODY],
                [HEAD + BODY, HEAD.slice(0, 15)],
            ] as const
        ) {
            answerRaw(first, second);
            const { body, complete, status } = await fixture.send();
            chai.expect(status === 200 && complete ? body : BODY).to.equal(BODY);
        }
    });

    it("do not reach a caller as one stream without framing", async () => {
        for (const last of [2, 4]) {
            answerRaw(HEAD + events(1, last), HEAD + events(1, 4));
            const { body, complete, status } = await sendStream();
            chai.expect(status === 200 && complete ? body : events(1, 4)).to.equal(events(1, 4));
        }
    });

    it("do not reach a caller as one stream whose events go back", async () => {
        for (const framing of [undefined, FRAMINGS.chunks]) {
            const text = events(1, 3) + events(2, 4);
            answerRaw(
                framing === undefined
                    ? HEAD + text
                    : `${headWith(framing)}${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`,
            );
            const { body, complete, status } = await sendStream();
            chai.expect(status === 200 && complete && body.includes("id: 3\ndata: x\n\nid: 2"), framing).to.equal(
                false,
            );
        }
    });
});
