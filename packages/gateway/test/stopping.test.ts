import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as net from "node:net";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 3_240;
const EVENT = "id: 1\ndata: a\n\n";
/** More than the buffers of a connection hold. */
const LONG_ANSWER = "x".repeat(12_000_000);

const head = (path: string, requestId: string) =>
    `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nrequest-id: ${requestId}\r\nkey: key-1\r\n`
    + "prompt-tokens: 100\r\noutput-tokens: 10\r\n\r\n";

/** Time after the host's end of a connection until the caller ends it too; it goes on sending meanwhile. */
const HALF_OPEN_MS = 200;

/** A caller that does not end its connection as soon as the host does. */
class PersistentCaller {
    received = "";
    readonly socket: net.Socket;
    readonly closed: Promise<void>;

    constructor() {
        const port = testing.testPortBase(PORT_OFFSET);
        this.socket = net.connect({ host: "127.0.0.1", port, allowHalfOpen: true });
        this.socket.on("data", (bytes: Buffer) => this.received += bytes.toString("latin1"));
        this.socket.on("end", () => setTimeout(() => this.socket.end(), HALF_OPEN_MS));
        this.socket.on("error", () => undefined);
        this.closed = new Promise((resolve) => this.socket.on("close", () => resolve()));
    }

    /** Number of responses to a request. */
    count(requestId: string): number {
        return this.received.split(`request-id: ${requestId}\r\n`).length - 1;
    }

    async waitFor(text: string): Promise<void> {
        while (!this.received.includes(text) && !this.socket.closed) {
            await new Promise((resolve) => setTimeout(resolve, 2));
        }
    }
}

// Guards against bookings that run while their caller gets no answer (review case 1).
describe("A stopping gateway, on connections that it closes", () => {
    let fixture: fixtures.Fixture;
    let counter: fixtures.StandIn;
    let endStream: () => void;

    beforeEach(async () => {
        fixture = new fixtures.Fixture(PORT_OFFSET);
        counter = await fixture.addStandIn("counter");
        const engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        engine.behave = (received, response) => {
            if (received.path.startsWith("/reserve")) {
                response.end(JSON.stringify({ id: "reservation" }));
                return;
            }
            response.writeHead(200, { "request-id": "stream", "signature": "s" });
            response.write(EVENT);
            endStream = () => response.end("id: 2\ndata: end\n\n");
        };
        await fixture.start(fixtures.makeConfiguration());
    });
    afterEach(() => fixture.close());

    const bookings = () => counter.received.map(({ headers }) => String(headers["request-id"]));

    for (const [moment, delayMs] of [["before", 50], ["after", 1_400]] as const) {
        it(`sends no request upstream that it cannot answer, ${moment} it stops accepting`, async () => {
            const caller = new PersistentCaller();
            caller.socket.write(head("/write/1", "stream"));
            await caller.waitFor("data: a");
            void fixture.stop();
            await lifecycle.pause(fixture.scope, delayMs);
            endStream();
            await caller.waitFor("data: end");
            caller.socket.write(head("/book/1", "booking-1"));
            caller.socket.write(head("/book/2", "booking-2"));
            await caller.closed;
            for (const requestId of bookings()) {
                chai.expect(caller.count(requestId), requestId).to.equal(1);
            }
        });
    }

    it("answers requests that were sent in a row in turn, and runs none behind the last answer", async () => {
        const caller = new PersistentCaller();
        let ending = false;
        counter.behave = (received, response) =>
            void setTimeout(() => fixtures.signed(response, received, "counted"), ending ? 100 : 300);
        caller.socket.write(head("/book/1", "booking-1") + head("/book/2", "booking-2"));
        await lifecycle.pause(fixture.scope, 100);
        void fixture.stop();
        ending = true;
        await lifecycle.pause(fixture.scope, 300);
        ["booking-3", "booking-4", "booking-5"].forEach((id) => caller.socket.write(head("/book/3", id)));
        await caller.closed;
        chai.expect(bookings()).to.include.members(["booking-1", "booking-2"]);
        for (const requestId of bookings()) {
            chai.expect(caller.count(requestId), requestId).to.equal(1);
        }
    });

    it("sends an answer whole to a caller that reads it slowly", async () => {
        counter.behave = (received, response) => fixtures.signed(response, received, LONG_ANSWER);
        const caller = new PersistentCaller();
        caller.socket.write(head("/look/1", "long"));
        await caller.waitFor("request-id: long");
        caller.socket.pause();
        void fixture.stop();
        await lifecycle.pause(fixture.scope, 1_800);
        caller.socket.resume();
        await caller.closed;
        chai.expect(caller.received.length).to.be.above(LONG_ANSWER.length);
    });
});
