import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as net from "node:net";
import * as cuts from "./cut.js";
import * as fixtures from "./fixture.js";

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const UPLOAD_BYTES = 4_000_000;
/** Upstreams of each service: one that sent such a head rests for a time. */
const COPIES = 60;
const HEADERS = { "prompt-tokens": "10", "output-tokens": "10" };

/** First lines of heads that Node's parser takes and RFC 9112 does not have. */
const oddStarts: Record<string, string> = {
    "the version 2.0": "HTTP/2.0 200 OK",
    "the version 0.9": "HTTP/0.9 200 OK",
    "another protocol": "RTSP/1.0 200 OK",
    "a control byte in the reason phrase": "HTTP/1.1 200 O\u0001K",
    "a control byte in an interim response": "HTTP/1.1 102 P\u007f\r\n\r\nHTTP/1.1 200 OK",
    "a coding in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
    "a status of 000": "HTTP/1.1 000 OK",
    "a control byte in a name": "HTTP/1.1 200 OK\r\nx\u0001y: 1",
    "a blank in a name": "HTTP/1.1 200 OK\r\nx y: 1",
};

/** The same answer with each odd head, whole and byte by byte. */
const answers = (fields: string, body: string) =>
    Object.entries(oddStarts).flatMap(([name, start]) => {
        const isChunked = start.endsWith("chunked");
        const framing = isChunked ? "" : `Content-Length: ${body.length}\r\n`;
        const text = `${start}\r\n${fields}${framing}\r\n${
            isChunked ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body
        }`;
        return [false, true].map((inBytes) => ({ name, text, inBytes }));
    });
const signature = (id: string) => `request-id: ${id}\r\nsignature: s\r\n`;

/** Writes an answer and keeps the connection open; resolves when the other end has closed it. */
async function write(socket: net.Socket, { text, inBytes }: { text: string; inBytes: boolean; }): Promise<void> {
    socket.on("error", () => undefined);
    const closed = new Promise<void>((resolve) => socket.once("close", () => resolve()));
    for (const piece of inBytes ? text : [text]) {
        socket.write(piece, "latin1");
        await new Promise((resolve) => setImmediate(resolve));
    }
    socket.resume();
    await closed;
}

const copy = (fixture: fixtures.Fixture) => {
    for (const { upstream, ...standIn } of [...fixture.standIns]) {
        for (let count = 0; count < COPIES; count++) {
            fixture.standIns.push({ ...standIn, upstream: { ...upstream, id: `${upstream.id}-${count}` } });
        }
    }
};
const configuration = (): routing.RoutingConfiguration => {
    const known = fixtures.makeConfiguration();
    return { ...known, limits: { ...known.limits, bodyBytes: 2 * UPLOAD_BYTES } };
};

// Guards against callers who get what has no head of HTTP/1.1 as the answer of an upstream.
describe("Answers with an odd head", function() {
    this.timeout(60_000);
    const fixture = new fixtures.Fixture(3_420);
    fixture.retries = { ratio: 1, extra: 100_000, windowMs: 10_000 };
    const closings: Promise<void>[] = [];
    let counter: fixtures.StandIn;
    let engine: fixtures.StandIn;
    let lastId = 0;
    const idOf = ({ headers }: fixtures.Received) => String(headers["request-id"]);
    const send = (path: string, more: Record<string, string> = {}) =>
        fixture.send({
            path: `/${path}/${++lastId}`,
            headers: { ...HEADERS, "request-id": `r-${10_000 + lastId}`, ...more },
        });

    before(async () => {
        const model = { service: "model", stage: routing.EngineStage.Whole };
        counter = await fixture.addStandIn("counter");
        engine = await fixture.addStandIn("engine", model);
        copy(fixture);
        await fixture.start(configuration());
    });
    after(() => fixture.close());
    afterEach(() => Promise.all(closings.splice(0)));

    it("are no success", async () => {
        for (const answer of answers(signature("ID"), "done")) {
            counter.behave = (received, _, request) =>
                void closings.push(
                    write(request.socket, { ...answer, text: answer.text.replace("ID", idOf(received)) }),
                );
            chai.expect((await send("book")).status, JSON.stringify(answer)).to.equal(502);
        }
    });

    it("are no stream", async () => {
        for (const answer of answers(signature("ID"), EVENTS.join(""))) {
            engine.behave = fixtures.engineThatRuns((received, _, request) =>
                void closings.push(
                    write(request.socket, { ...answer, text: answer.text.replace("ID", idOf(received)) }),
                )
            );
            chai.expect((await send("write")).status, JSON.stringify(answer)).to.equal(502);
        }
    });

    it("are no continuation of a stream", async () => {
        for (const answer of answers(signature("ID"), EVENTS[1] as string)) {
            engine.behave = fixtures.engineThatRuns((received, response, request) => {
                if (received.headers["last-event-id"] === undefined) {
                    response.writeHead(200, { "signature": "s", "content-length": 1_000 }).write(EVENTS[0]);
                    setTimeout(() => request.socket.end(), 20);
                    return;
                }
                closings.push(write(request.socket, { ...answer, text: answer.text.replace("ID", idOf(received)) }));
            });
            const response = await send("resume");
            chai.expect(closings.length, JSON.stringify(answer)).to.be.greaterThan(0);
            chai.expect(response, JSON.stringify(answer)).to.include({ body: EVENTS[0], complete: false });
        }
    });

    it("are no reservation", async () => {
        for (const answer of answers("", JSON.stringify({ id: "odd" }))) {
            let reservations = 0;
            const used: unknown[] = [];
            engine.behave = (received, response, request) => {
                if (received.path === "/reserve") {
                    reservations++;
                    closings.push(write(request.socket, answer));
                    return;
                }
                if (!received.path.startsWith("/write/")) {
                    response.end("{}");
                    return;
                }
                used.push(received.headers["reservation"]);
                fixtures.signed(response, received, EVENTS.join(""));
            };
            await send("write", { patience: "200" });
            chai.expect(reservations, JSON.stringify(answer)).to.be.greaterThan(0);
            chai.expect(used, JSON.stringify(answer)).not.to.include("odd");
        }
    });

    it("are no sign that an upstream runs", async () => {
        for (const answer of answers("", "{}")) {
            counter.behave = (received, _, request) => {
                if (received.path === "/health") {
                    closings.push(write(request.socket, answer));
                    return;
                }
                request.socket.end(`HTTP/1.1 200 OK\r\n${signature(idOf(received))}\r\ndone`);
            };
            chai.expect((await send("book")).status, JSON.stringify(answer)).to.equal(502);
            chai.expect(closings.length, JSON.stringify(answer)).to.be.greaterThan(0);
        }
    });
});

// Guards against a decode that fetches what an answer without a proper head names.
describe("Prefills whose answer has an odd head", () => {
    const fixture = new fixtures.Fixture(3_440);
    let prefill: fixtures.StandIn;
    const sources: unknown[] = [];

    before(async () => {
        prefill = await fixture.addStandIn("prefill", { service: "model", stage: routing.EngineStage.Prefill });
        copy(fixture);
        const decode = await fixture.addStandIn("decode", { service: "model", stage: routing.EngineStage.Decode });
        decode.behave = fixtures.engineThatRuns((received, response) => {
            sources.push(received.headers["source"]);
            fixtures.signed(response, received, EVENTS.join(""));
        });
        await fixture.start(configuration());
    });
    after(() => fixture.close());

    it("are not fetched", async () => {
        let asked = 0;
        const all = answers(signature("r-1"), JSON.stringify({ handle: "h" }));
        for (const answer of all) {
            prefill.behave = (received, response, request) => {
                if (received.headers["stage"] !== "prefill") {
                    response.end("{}");
                    return;
                }
                asked++;
                void write(request.socket, answer);
            };
            const response = await fixture.send({ path: "/write/1", headers: HEADERS });
            chai.expect(response, JSON.stringify(answer)).to.include({ status: 200, body: EVENTS.join("") });
            chai.expect(sources.splice(0), JSON.stringify(answer)).to.deep.equal([undefined]);
        }
        chai.expect(asked).to.be.at.least(all.length);
    });
});

// Guards against a caller who gets what another host sent without a proper head.
describe("Relayed answers with an odd head", () => {
    const fixture = new fixtures.Fixture(3_520);
    let other: fixtures.StandIn;

    before(async () => {
        const counter = await fixture.addStandIn("counter");
        counter.upstream = { ...counter.upstream, address: "127.0.0.1:9" };
        other = await fixture.addStandIn("host-2");
        fixture.standIns.pop();
        fixture.hosts = [other.upstream.address];
        await fixture.start(configuration());
    });
    after(() => fixture.close());

    it("are no success", async () => {
        for (const answer of answers(signature("r-1"), "done")) {
            other.received.length = 0;
            other.behave = (_, __, request) => void write(request.socket, answer);
            const response = await cuts.repeatUnsent(() => fixture.send(), () => other.received.length > 0);
            chai.expect(response.status, JSON.stringify(answer)).to.equal(502);
        }
    });
});

// Guards against the same while the upstream has not read the request.
describe("Answers with an odd head to long bodies", function() {
    this.timeout(60_000);
    const fixture = new fixtures.Fixture(3_540);
    let answer: { text: string; inBytes: boolean; };
    let answered = 0;

    before(async () => {
        const server = net.createServer((socket) =>
            void socket.once("data", () => {
                answered++;
                void write(socket, answer);
            })
        );
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        fixture.scope.defer(() => void server.close());
        const { port } = server.address() as net.AddressInfo;
        const counter = await fixture.addStandIn("counter");
        counter.upstream = { ...counter.upstream, address: `127.0.0.1:${port}` };
        copy(fixture);
        await fixture.start(configuration());
    });
    after(() => fixture.close());

    it("are no success", async () => {
        for (answer of answers(signature("r-1"), "done")) {
            answered = 0;
            const request = { method: "POST", body: "x".repeat(UPLOAD_BYTES) };
            const response = await cuts.repeatUnsent(() => fixture.send(request), () => answered > 0);
            chai.expect([response.status, answered], JSON.stringify(answer)).to.deep.equal([502, 1]);
        }
    });
});
