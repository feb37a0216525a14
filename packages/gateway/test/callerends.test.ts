import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as net from "node:net";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 2_350;
/** More than the operating system takes for a caller that does not read. */
const BODY = "y".repeat(24 * 1_048_576);
const EVENTS = Array.from({ length: 24_000 }, (_, index) => `id: ${index + 1}\ndata: ${"t".repeat(1_000)}\n\n`).join(
    "",
);
/** How long a caller may read nothing of an answer. */
const IDLE_MS = 1_000;
const PAUSE_MS = 4_000;

/** Sends a request of HTTP/1.0 and reads its answer late. Returns what came of the body, and whether FIN ended it. */
function readLate(path: string): Promise<{ readonly body: string; readonly complete: boolean; }> {
    return new Promise((resolve) => {
        const socket = net.connect(testing.testPortBase(PORT_OFFSET), "127.0.0.1");
        const parts: Buffer[] = [];
        let complete = false;
        const headers = "host: shop.example\r\nrequest-id: r-1\r\nkey: key-1\r\nprompt-tokens: 10\r\noutput-tokens: 10";
        socket.write(`GET ${path} HTTP/1.0\r\n${headers}\r\n\r\n`);
        socket.pause();
        setTimeout(() => socket.resume(), PAUSE_MS);
        socket.on("data", (bytes: Buffer) => parts.push(bytes));
        // A reset is reported as the end too; the connection has no peer any more then.
        socket.on("end", () => complete = socket.remoteAddress !== undefined);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            const text = Buffer.concat(parts).toString("latin1");
            resolve({ body: text.slice(text.indexOf("\r\n\r\n") + 4), complete });
        });
    });
}

// Guards against answers that this host cuts for a bound and that look complete to callers without chunks.
describe("Answers to callers of HTTP/1.0 that do not read", function() {
    this.timeout(30_000);
    const fixture = new fixtures.Fixture(PORT_OFFSET);

    before(async () => {
        const counter = await fixture.addStandIn("counter");
        const engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        counter.behave = (received, response) => {
            response.useChunkedEncodingByDefault = true;
            response.writeHead(200, { "request-id": received.headers["request-id"], "signature": "s" });
            response.write(BODY.slice(0, 1));
            response.end(BODY.slice(1));
        };
        engine.behave = fixtures.engineThatRuns((received, response) => fixtures.signed(response, received, EVENTS));
        const { limits, routes } = fixtures.makeConfiguration();
        await fixture.start(fixtures.makeConfiguration({
            routes: routes.map((route) => ({ ...route, timeoutMs: 30_000 })),
            limits: { ...limits, idleTimeoutMs: IDLE_MS },
        }));
    });
    after(() => fixture.close());

    it("do not look complete after their connection is closed for that", async () => {
        for (const [path, whole] of [["/book/1", BODY], ["/write/1", EVENTS]] as const) {
            const { body, complete } = await readLate(path);
            chai.expect(complete && body.length < whole.length, `${path}: ${body.length} bytes`).to.equal(false);
        }
    });
});
