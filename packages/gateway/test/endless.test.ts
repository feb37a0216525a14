import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as net from "node:net";
import * as fixtures from "./fixture.js";
import * as processes from "./process.js";

const CONCURRENT = 20;
/** The limit on all buffered bodies, 32 MB, and what 20 connections have in flight at both ends. */
const MAX_GROWTH_BYTES = 40 * 1_048_576;
const BLOCK = Buffer.alloc(65_536, "x");

/**
 * Memory of the buffers that are held. V8 keeps released ones until its next collection, and counts them until it has
 * freed them in the background, which the collection after that waits for.
 */
function heldBytes(): number {
    processes.collectGarbage();
    processes.collectGarbage();
    return process.memoryUsage().arrayBuffers;
}

/** Writes bytes to a connection as fast as they are read, until it is closed. */
function writeWithoutEnd(socket: net.Socket, start: string, block: Buffer): void {
    socket.on("error", () => undefined);
    socket.write(start);
    const writeMore = () => {
        while (!socket.destroyed && socket.write(block)) {
            // The buffer has room left.
        }
    };
    socket.on("drain", writeMore);
    writeMore();
}

const chunk = Buffer.concat([Buffer.from("10000\r\n"), BLOCK, Buffer.from("\r\n")]);
const signedHead = (length: string) => `HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nsignature: s\r\n${length}\r\n\r\n`;

/** What an upstream sends without end: the bytes up to then, and the block that it repeats. */
const endless: Record<string, readonly [string, Buffer]> = {
    "bytes before a status line": ["", BLOCK],
    "a head": ["HTTP/1.1 200 OK\r\nx-long: ", BLOCK],
    "interim responses": ["", Buffer.from("HTTP/1.1 102 Processing\r\n\r\n".repeat(1_000))],
    "a body in chunks": [signedHead("Transfer-Encoding: chunked"), chunk],
    "a body without a length": [signedHead("Connection: close"), BLOCK],
    "a trailer": [`${signedHead("Transfer-Encoding: chunked")}4\r\ndone\r\n0\r\nx-long: `, BLOCK],
};

describe("Upstreams that send bytes without end", () => {
    const fixture = new fixtures.Fixture(2_500);
    let one: fixtures.StandIn;
    let engine: fixtures.StandIn;

    before(async () => {
        one = await fixture.addStandIn("one");
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Decode });
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    for (const [name, [start, block]] of Object.entries(endless)) {
        it(`cost bounded memory and time with ${name}, and callers get no success`, async () => {
            let open = 0;
            one.behave = (_received, _response, request) => {
                open++;
                request.socket.on("close", () => open--);
                writeWithoutEnd(request.socket, start, block);
            };
            const before = heldBytes();
            let peak = before;
            const sampling = setInterval(() => peak = Math.max(peak, heldBytes()), 20);
            const responses = await Promise.all(
                Array.from({ length: CONCURRENT }, () => fixture.send({ headers: { patience: "900" } })),
            );
            clearInterval(sampling);
            for (const { status, complete, tookMs } of responses) {
                chai.expect(status >= 500 || !complete, `status ${status}`).to.equal(true);
                chai.expect(tookMs).to.be.below(3_000);
            }
            chai.expect(peak - before).to.be.below(MAX_GROWTH_BYTES);
            await new Promise((resolve) => setTimeout(resolve, 100));
            chai.expect(open, "connections that are still open").to.equal(0);
        });
    }

    it("do not hold up reservations", async () => {
        engine.behave = (received, _response, request) =>
            received.path === "/reserve"
                ? writeWithoutEnd(request.socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk)
                : request.socket.destroy();
        const before = heldBytes();
        const headers = { "prompt-tokens": "500", "output-tokens": "100" };
        const { status } = await fixture.send({ path: "/write/1", headers });
        chai.expect(status).to.equal(503);
        chai.expect(heldBytes() - before).to.be.below(MAX_GROWTH_BYTES);
    });
});
