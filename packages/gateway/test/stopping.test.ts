import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 3_240;
const EVENT = "id: 1\ndata: a\n\n";
/** More than the buffers of a connection hold. */
const LONG_ANSWER = "x".repeat(12_000_000);

const head = (path: string, requestId: string) =>
    `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nrequest-id: ${requestId}\r\nkey: key-1\r\n`
    + "prompt-tokens: 100\r\noutput-tokens: 10\r\n\r\n";

/** A caller of the gateway under test. */
class Caller extends testing.RawCaller {
    constructor() {
        super(testing.testPortBase(PORT_OFFSET));
    }

    /** Number of responses to a request. */
    count(requestId: string): number {
        return this.received.split(`request-id: ${requestId}\r\n`).length - 1;
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
                response.end(fixtures.grantReservation());
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
            const caller = new Caller();
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
        const caller = new Caller();
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
        const caller = new Caller();
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

const STREAM_BODY = "a prompt of forty characters and no more";
/** Time from the start of a stream to its end, in its path; the gateway under test cuts requests 2.8 s after a stop begins. */
const FIRST_STREAM_MS = 1_300;
const LATE_STREAM_MS = 2_000;
const NEW_STREAM_MS = 3_000;
const EVENT_INTERVAL_MS = 200;
const FOREVER_MS = 60_000;
const STOP_PERIOD_MS = 3_000;
const SETTLE_MS = 200;
/** Time between a response and the next request of its caller. */
const FOLLOWING_MS = 300;

/** A configuration whose routes have another timeout. */
function withTimeout(timeoutMs: number): routing.RoutingConfiguration {
    const configuration = fixtures.makeConfiguration({ version: 2 });
    return { ...configuration, routes: configuration.routes.map((route) => ({ ...route, timeoutMs })) };
}

// Guards against streams that a stopping gateway begins and cuts (docs/incidents/armor-rdv-cut-at-a-stop.md).
describe("A stopping gateway, and streams that it has no time to finish", () => {
    let fixture: fixtures.Fixture;
    let counter: fixtures.StandIn;
    let ran: string[];
    let isFull: boolean;

    beforeEach(async () => {
        fixture = new fixtures.Fixture(PORT_OFFSET);
        ran = [];
        isFull = false;
        counter = await fixture.addStandIn("counter");
        const engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        engine.behave = ({ path, headers }, response) => {
            if (path.startsWith("/reserve")) {
                response.writeHead(isFull ? 503 : 200).end(fixtures.grantReservation());
                return;
            }
            ran.push(String(headers["request-id"]));
            response.writeHead(200, { "signature": "s", "content-type": "text/event-stream" });
            response.write(EVENT);
            let eventCount = 1;
            const timer = setInterval(() => response.write(`id: ${++eventCount}\ndata: a\n\n`), EVENT_INTERVAL_MS);
            response.on("close", () => clearInterval(timer));
            lifecycle.after(fixture.scope, Number(path.split("/").at(-1)), () => {
                clearInterval(timer);
                response.end(`id: ${++eventCount}\ndata: end\n\n`);
            });
        };
        await fixture.start(fixtures.makeConfiguration());
    });
    afterEach(() => fixture.close());

    const stream = (requestId: string, lastsMs: number, framing: testing.BodyFraming): testing.RawRequest => ({
        path: `/write/${lastsMs}`,
        headers: {
            "host": "shop.example",
            "request-id": requestId,
            "key": "key-1",
            "prompt-tokens": "100",
            "output-tokens": "10",
        },
        body: STREAM_BODY,
        framing,
    });
    const expectAnswer = (caller: Caller, requestId: string) => {
        const response = caller.responseWith(`request-id: ${requestId}`);
        chai.expect(response?.isWhole, `a whole answer to ${requestId}`).to.equal(true);
        if (response?.status !== 200) {
            chai.expect(response?.status).to.equal(503);
            // In this wire format in milliseconds: another host takes the request at once.
            chai.expect(Number(/^retry-after: ([\d.]+)\r$/im.exec(response?.head ?? "")?.[1])).to.be.within(1, 500);
            chai.expect(response?.head).to.match(/^connection: close\r$/im);
            chai.expect(ran).to.not.include(requestId);
        }
    };

    const endlessStream = (requestId: string) => stream(requestId, FOREVER_MS, testing.BodyFraming.WithLength);
    const stopAfter = async (delayMs: number) => {
        await lifecycle.pause(fixture.scope, delayMs);
        const startedAt = Date.now();
        await fixture.stop();
        return Date.now() - startedAt;
    };

    it("begins those of a route whose latest ones were short, while callers still come", async () => {
        const former = Array.from(
            { length: 20 },
            () => fixture.send({ path: "/write/20", headers: { "output-tokens": "10" } }),
        );
        chai.expect((await Promise.all(former)).map(({ complete }) => complete)).to.not.include(false);
        void fixture.stop();
        const caller = new Caller();
        await caller.send(stream("new", 100, testing.BodyFraming.WithLength));
        await caller.closed;
        expectAnswer(caller, "new");
        chai.expect(ran).to.include("new");
    });

    it("refuses those that wait for capacity and have no time left", async () => {
        isFull = true;
        const caller = new Caller();
        await caller.send(stream("waiting", LATE_STREAM_MS, testing.BodyFraming.WithLength));
        const stopMs = await stopAfter(SETTLE_MS);
        expectAnswer(caller, "waiting");
        chai.expect(stopMs).to.be.below(1_500);
    });

    it("answers a request whose body does not end", async () => {
        const caller = new Caller();
        const { headers } = stream("endless", LATE_STREAM_MS, testing.BodyFraming.WithLength);
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        caller.socket.write(`POST /write/1 HTTP/1.1\r\n${lines}Content-Length: 40\r\n\r\nhalf`);
        const stopMs = await stopAfter(SETTLE_MS);
        await caller.closed;
        expectAnswer(caller, "endless");
        chai.expect(stopMs).to.be.below(STOP_PERIOD_MS);
    });

    it("promises nothing of a request that an upstream may have run, in the last moment", async () => {
        fixture.configuration = withTimeout(FOREVER_MS);
        counter.behave = () => undefined;
        await lifecycle.pause(fixture.scope, SETTLE_MS);
        const caller = new Caller();
        const { headers, ...rest } = endlessStream("booking");
        await caller.send({ ...rest, headers, path: "/book/1" });
        await stopAfter(SETTLE_MS);
        await caller.closed;
        const response = caller.responseWith("request-id: booking");
        chai.expect(response).to.include({ status: 502, isWhole: true });
    });

    it("lets no stream that is cut look complete, and ends in time whatever a reload says", async () => {
        const caller = new Caller();
        await caller.send(endlessStream("long"));
        await caller.waitFor("data: a");
        const startedAt = Date.now();
        const stopped = fixture.stop();
        fixture.gateway.reload({ ...fixture.settings, stopPeriodMs: FOREVER_MS });
        await stopped;
        chai.expect(Date.now() - startedAt).to.be.below(STOP_PERIOD_MS);
        await caller.closed;
        chai.expect(caller.responseWith("request-id: long")).to.include({ status: 200, isWhole: false });
    });

    it("answers a request that follows a while after a stream, once it stops accepting", async () => {
        const caller = new Caller();
        await caller.send(stream("first", FIRST_STREAM_MS, testing.BodyFraming.WithLength));
        await caller.waitFor("data: a");
        void fixture.stop();
        await caller.waitFor("data: end");
        await lifecycle.pause(fixture.scope, FOLLOWING_MS);
        const { headers, ...rest } = endlessStream("booking");
        await caller.send({ ...rest, headers, path: "/book/1" });
        await caller.closed;
        chai.expect(caller.responseWith("request-id: booking")).to.include({ status: 200, isWhole: true });
    });

    for (const framing of Object.values(testing.BodyFraming)) {
        it(`cuts none that comes late on a kept connection, ${framing}`, async () => {
            const caller = new Caller();
            await caller.send(stream("first", FIRST_STREAM_MS, framing));
            await caller.waitFor("data: a");
            void fixture.stop();
            await caller.waitFor("data: end");
            await caller.send(stream("late", LATE_STREAM_MS, framing));
            await caller.closed;
            expectAnswer(caller, "first");
            expectAnswer(caller, "late");
        });

        it(`cuts none that comes on a new connection, ${framing}`, async () => {
            void fixture.stop();
            const caller = new Caller();
            await caller.send(stream("new", NEW_STREAM_MS, framing));
            await caller.closed;
            expectAnswer(caller, "new");
        });
    }
});
