import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as net from "node:net";
import * as fixtures from "./fixture.js";
import * as processes from "./process.js";

const PORT_OFFSET = 3_260;
const EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/** Lines of a head that Node's client accepts and its server refuses to write, or that no final response has. */
const malformedHeads: Record<string, string> = {
    "a space in the name of a header": "HTTP/1.1 200 OK\r\nx weight: 1\r\n",
    "a header without a name": "HTTP/1.1 200 OK\r\n:1\r\n",
    "a status below 100": "HTTP/1.1 099 OK\r\n",
    "a status above 599": "HTTP/1.1 999 OK\r\n",
};

/** Sends bytes as a caller and returns what comes back until the connection ends. */
function sendRaw(text: string): Promise<string> {
    return new Promise((resolve) => {
        let received = "";
        const socket = net.connect(testing.testPortBase(PORT_OFFSET), "127.0.0.1");
        socket.setTimeout(2_000, () => socket.destroy());
        socket.on("data", (bytes: Buffer) => received += bytes.toString("latin1"));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
        socket.write(text, "latin1");
    });
}

// Guards against one wrong byte in a head that ends the process (review case 3).
describe("Malformed heads", () => {
    const fixture = new fixtures.Fixture(PORT_OFFSET);
    const headers = { "prompt-tokens": "500", "output-tokens": "100" };
    let engine: fixtures.StandIn;
    let counter: fixtures.StandIn;
    let uncaught: processes.UncaughtRecord;

    before(async () => {
        uncaught = processes.recordUncaught("uncaughtException");
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        counter = await fixture.addStandIn("counter");
        await fixture.start(fixtures.makeConfiguration());
    });
    after(async () => {
        await fixture.close();
        uncaught.end();
    });
    afterEach(() => chai.expect(uncaught.errors.splice(0)).to.deep.equal([]));

    const head = (start: string, received: fixtures.Received, body: string) =>
        `${start}request-id: ${String(received.headers["request-id"])}\r\nsignature: s\r\n`
        + `Content-Length: ${body.length}\r\n\r\n${body}`;

    for (const [name, start] of Object.entries(malformedHeads)) {
        it(`of engines with ${name} cost the request alone`, async () => {
            engine.behave = (received, response, request) => {
                if (received.path.startsWith("/reserve")) {
                    response.end(fixtures.grantReservation());
                    return;
                }
                request.socket.end(head(start, received, EVENTS));
            };
            chai.expect((await fixture.send({ path: "/write/1", headers })).status).to.equal(502);
            engine.behave = (received, _, request) => void request.socket.end(head(start, received, "{}"));
            chai.expect((await fixture.send({ path: "/write/1", headers })).status).to.equal(503);
        });

        it(`of plain services with ${name} cost the request alone`, async () => {
            const { behave } = counter;
            counter.behave = (received, _, request) => void request.socket.end(head(start, received, "done"));
            chai.expect((await fixture.send()).status).to.equal(502);
            counter.behave = behave;
            chai.expect((await fixture.send()).status).to.equal(200);
        });
    }

    it("of callers are refused as such", async () => {
        const start = "GET /book/1 HTTP/1.1\r\nHost: shop.example\r\nrequest-id: r-1\r\nkey: key-1\r\n";
        for (const line of ["x weight: 1", ":1", "x-odd: a\u0001b"]) {
            const before = counter.received.length;
            const answer = await sendRaw(`${start}${line}\r\n\r\n`);
            chai.expect(answer === "" || answer.startsWith("HTTP/1.1 400 "), JSON.stringify([line, answer]))
                .to.equal(true);
            chai.expect(counter.received.length).to.equal(before);
        }
    });
});

// Guards against sound requests that are barred because upstreams sent garbage in place of their answers.
describe("Bytes that are no head", () => {
    let fixture: fixtures.Fixture;
    let standIns: fixtures.StandIn[];
    const garbage = ["garbage\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"];
    const CALLS = 12;

    beforeEach(async () => {
        fixture = new fixtures.Fixture(3_760);
        standIns = [];
        for (const id of ["one", "two", "three", "four"]) {
            standIns.push(await fixture.addStandIn(id));
        }
        await fixture.start(fixtures.makeConfiguration());
    });
    afterEach(() => fixture.close());

    for (const text of garbage) {
        it(`do not bar requests: ${JSON.stringify(text)}`, async () => {
            standIns.forEach((standIn) => standIn.behave = (_, __, request) => void request.socket.end(text));
            for (let call = 0; call < CALLS; call++) {
                chai.expect((await fixture.send()).status).to.equal(502);
            }
            chai.expect(standIns.filter(({ received }) => received.length > 0).length).to.be.at.least(3);
            // Crashes are reviewed a moment after the report.
            await new Promise((resolve) => setTimeout(resolve, 200));
            standIns.forEach((standIn) =>
                standIn.behave = (received, response) => fixtures.signed(response, received, "done")
            );
            chai.expect(await fixture.send()).to.include({ status: 200, body: "done" });
        });
    }
});
