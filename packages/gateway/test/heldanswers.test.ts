import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as net from "node:net";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 4_120;
/** More than the operating system takes for a caller that does not read. */
const EVENT_COUNT = 9_000;
const STREAM = Array.from({ length: EVENT_COUNT }, (_, index) => `id: ${index + 1}\ndata: ${"t".repeat(1_000)}\n\n`)
    .join("");
/** Longer than an upstream may be silent. */
const PAUSE_MS = 4_000;
/** Longer than what is read of a body before any of it is passed on. */
const ANSWER = "y".repeat(190_000);
const MEBIBYTE = 1_048_576;
/** Request bodies that leave between nothing and twice the answer of the memory that the fixture's machine has for callers. */
const HELD_BYTES = 31 * MEBIBYTE;
const BODY_STEP_BYTES = 24_576;
const BODY_SIZES = Array.from({ length: 24 }, (_, index) => HELD_BYTES - index * BODY_STEP_BYTES);

/** Reads a stream, with a pause after its first event. Returns what came, and whether it ended as complete. */
function readSlowly(): Promise<{ readonly lastEvent: number; readonly complete: boolean; }> {
    return new Promise((resolve) => {
        const socket = net.connect(testing.testPortBase(PORT_OFFSET), "127.0.0.1");
        let received = "";
        let hasPaused = false;
        const headers = `host: shop.example\r\nrequest-id: r-1\r\nkey: key-1\r\nprompt-tokens: 10\r\noutput-tokens: 10`;
        socket.write(`GET /write/1 HTTP/1.1\r\n${headers}\r\n\r\n`);
        const isComplete = () => received.endsWith("\r\n0\r\n\r\n");
        socket.on("data", (bytes: Buffer) => {
            received += bytes.toString("latin1");
            if (!hasPaused) {
                hasPaused = true;
                socket.pause();
                setTimeout(() => socket.resume(), PAUSE_MS);
            }
            if (isComplete()) {
                socket.destroy();
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            const ids = [...received.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
            resolve({ lastEvent: ids.at(-1) ?? 0, complete: isComplete() });
        });
    });
}

// Guards against answers that this host ends itself and that reach their callers as complete.
describe("Answers that wait for their callers or for memory", function() {
    this.timeout(60_000);
    const fixture = new fixtures.Fixture(PORT_OFFSET);
    let counter: fixtures.StandIn;

    before(async () => {
        counter = await fixture.addStandIn("counter");
        const engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        counter.behave = (received, response) =>
            received.path === "/health" ? void response.end() : fixtures.signed(response, received, ANSWER);
        engine.behave = fixtures.engineThatRuns((received, response) => fixtures.signed(response, received, STREAM));
        const { limits, routes } = fixtures.makeConfiguration();
        await fixture.start(fixtures.makeConfiguration({
            routes: routes.map((route) => ({ ...route, timeoutMs: 30_000 })),
            limits: { ...limits, bodyBytes: HELD_BYTES },
        }));
    });
    after(() => fixture.close());

    it("come whole to a caller that reads nothing for longer than an upstream may be silent", async () => {
        chai.expect(await readSlowly()).to.deep.equal({ lastEvent: EVENT_COUNT, complete: true });
    });

    it("do not look complete without what there was no memory for", async () => {
        for (const size of BODY_SIZES) {
            const { body, complete, status } = await fixture.send({ method: "POST", body: "b".repeat(size) });
            chai.expect(status === 200 && complete && body !== ANSWER, `${body.length} bytes`).to.equal(false);
        }
    });
});
