import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as net from "node:net";
import * as perfHooks from "node:perf_hooks";
import * as fixtures from "./fixture.js";
import * as processes from "./process.js";

const PORT_OFFSET = 3_280;
const MEGABYTE = 1_048_576;
/** Bytes that are sent per second, which is less than any link carries. */
const BYTES_PER_SECOND = 8 * MEGABYTE;
const WRITE_PERIOD_MS = 5;
/** A third of the heap that the deployed program has. */
const MAX_GROWTH_BYTES = 32 * MEGABYTE;
/** The readiness probe has to be answered within a second. */
const MAX_DELAY_MS = 1_000;

function heldBytes(): number {
    processes.collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

/** Writes copies of a piece to a connection until it is closed. */
function writePieces(socket: net.Socket, start: string, piece: string): void {
    const perWrite = Math.ceil(BYTES_PER_SECOND * WRITE_PERIOD_MS / 1_000 / piece.length);
    const block = Buffer.from(piece.repeat(perWrite));
    socket.on("error", () => undefined);
    socket.write(start);
    const timer = setInterval(() => socket.writableLength < block.length && socket.write(block), WRITE_PERIOD_MS);
    socket.on("close", () => clearInterval(timer));
}

const answer = (status: string) =>
    `HTTP/1.1 ${status}\r\nrequest-id: r-1\r\nsignature: s\r\nTransfer-Encoding: chunked\r\n\r\n`;
const BYTE_CHUNK = "1\r\nx\r\n";
const EVENT_CHUNK = "3\r\nx\n\n\r\n";

/** What engines send without end: the bytes up to then, and the piece that is repeated. */
const endless: Record<string, readonly [string, string]> = {
    "a failure in chunks of a byte": [answer("500 Failed"), BYTE_CHUNK],
    "an event in chunks of a byte": [answer("200 OK"), BYTE_CHUNK],
    "events of three bytes": [answer("200 OK"), EVENT_CHUNK],
    "interim responses": ["", "HTTP/1.1 102 Processing\r\n\r\n"],
};

// Guards against answers without end whose pieces fill the heap or hold the process up (review case 5).
describe("Small pieces without end", () => {
    const fixture = new fixtures.Fixture(PORT_OFFSET);
    const headers = { "prompt-tokens": "500", "output-tokens": "100" };
    let engine: fixtures.StandIn;
    let counter: fixtures.StandIn;

    before(async () => {
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        counter = await fixture.addStandIn("counter");
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    /** Runs `send` and checks what the process holds and how long it is held up meanwhile. */
    const expectBounded = async (send: () => Promise<unknown>) => {
        const delay = perfHooks.monitorEventLoopDelay({ resolution: 5 });
        const before = heldBytes();
        let grownBytes = 0;
        const sampling = setInterval(() => grownBytes = Math.max(grownBytes, heldBytes() - before), 250);
        delay.enable();
        await send();
        delay.disable();
        clearInterval(sampling);
        chai.expect(grownBytes, "memory").to.be.below(MAX_GROWTH_BYTES);
        chai.expect(delay.max / 1e6, "delay").to.be.below(MAX_DELAY_MS);
    };

    for (const [name, [start, piece]] of Object.entries(endless)) {
        it(`of an engine are cut off: ${name}`, async () => {
            engine.behave = (received, response, request) =>
                received.path.startsWith("/reserve")
                    ? void response.end(fixtures.grantReservation())
                    : writePieces(request.socket, start, piece);
            await expectBounded(async () => {
                const response = await fixture.send({ path: "/write/1", headers });
                chai.expect(response.status >= 500 || !response.complete).to.equal(true);
                chai.expect(response.tookMs, "duration").to.be.below(4_000);
            });
        });
    }

    it("of a plain service are cut off", async () => {
        counter.behave = (_received, _response, request) => writePieces(request.socket, answer("200 OK"), BYTE_CHUNK);
        await expectBounded(async () => {
            chai.expect((await fixture.send({ headers: { patience: "8000" } })).status).to.equal(502);
        });
    });

    it("of callers are cut off", async () => {
        const received = counter.received.length;
        await expectBounded(() =>
            new Promise<void>((resolve) => {
                const socket = net.connect(testing.testPortBase(PORT_OFFSET), "127.0.0.1");
                socket.on("close", () => resolve());
                socket.on("data", () => undefined);
                const head =
                    "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nkey: key-1\r\nTransfer-Encoding: chunked\r\n\r\n";
                writePieces(socket, head, BYTE_CHUNK);
            })
        );
        chai.expect(counter.received.length).to.equal(received);
    });
});
