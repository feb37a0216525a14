import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as net from "node:net";
import * as cuts from "./cut.js";
import * as fixtures from "./fixture.js";
import * as processes from "./process.js";

const BODY = "x".repeat(12);
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];
/** Upstreams of each service. */
const COPIES = 150;
const ALL_EVENTS = EVENTS.join("");

const headOf = (id: string, framing: string) =>
    `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nsignature: s\r\n${framing}\r\n\r\n`;
const answers = (id: string, body: string): string[] => [
    headOf(id, `Content-Length: ${body.length}`) + body,
    `${headOf(id, "Transfer-Encoding: chunked")}${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
];
/** Answers that stop within their framing header and yet end their head. */
const cutFramings = (id: string, body: string): cuts.Cut[] =>
    ["Content-Length: 1234", "Transfer-Encoding: chunked"].flatMap((framing) =>
        Array.from(framing, (_, length) => framing.slice(0, length + 1)).slice(0, -1)
    )
        .concat("Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: chunked, gzip")
        .flatMap((framing) => [headOf(id, framing), headOf(id, framing) + body])
        .concat(headOf(id, "x: y"))
        .filter((text) => !/Content-Length: \d+\r\n\r\n./.test(text))
        .flatMap(cuts.waysToSend);
/** Interim responses before a final head that is cut. */
const cutAfterInterim = (id: string): cuts.Cut[] =>
    [
        `HTTP/1.1 102 Processing\r\n\r\n${headOf(id, "Content-Length: 12").slice(0, -9)}`,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 20",
        "HTTP/1.1 103 Early Hints\r\nx: ",
    ].flatMap(cuts.waysToSend);
/** A cut head with another one behind it, as of an upstream that fails while it writes the first. */
const twoHeads = (id: string, body: string): cuts.Cut[] => {
    const second = `HTTP/1.1 500 Failed\r\nrequest-id: ${id}\r\nsignature: s\r\nContent-Length: 6\r\n\r\nfailed`;
    return [`Content-Length: ${body.length}`, "x: y"].map((framing) => headOf(id, framing))
        .flatMap((head) => Array.from(head, (_, length) => head.slice(0, length + 1)).slice(0, -1))
        .flatMap((start) => [start + second, start + second.replace(`request-id: ${id}\r\n`, "")])
        .flatMap((text) => [cuts.Close.Fin, cuts.Close.Reset].map((close) => ({ text, inBytes: false, close })));
};
const allCuts = (id: string, body: string): cuts.Cut[] => {
    const all = [
        ...answers(id, body).flatMap(cuts.cutsOf),
        ...cutFramings(id, body),
        ...cutAfterInterim(id),
        ...twoHeads(id, body),
    ];
    return [...new Map(all.map((cut) => [JSON.stringify(cut), cut])).values()];
};
/** All cuts, byte by byte with FIN, and whole with FIN and RST by turns: all bytes are read before a reset. */
const mostCuts = (id: string, body: string): cuts.Cut[] =>
    allCuts(id, body).filter(({ inBytes, close, text }) =>
        inBytes ? close === cuts.Close.Fin : (text.length % 2 === 0) === (close === cuts.Close.Fin)
    );

// Guards against callers who get an empty or short success after an upstream stopped inside its head.
describe("Answers that stop in the middle of their head", function() {
    this.timeout(60_000);
    const fixture = new fixtures.Fixture(3_860);
    fixture.retries = { ratio: 1, extra: 100_000, windowMs: 10_000 };
    const headers = { "prompt-tokens": "10", "output-tokens": "10" };
    const cutSockets = new WeakSet<net.Socket>();
    /** The cuts of each request that are left to send. */
    const cutsLeft = new Map<string, cuts.Cut[]>();
    /** Number of times that a request was sent to run. */
    const runs = new Map<string, number>();
    let reused = 0;
    let lastId = 10_000;
    let uncaught: processes.UncaughtRecord;
    let counter: fixtures.StandIn;
    let engine: fixtures.StandIn;

    /** Sends the next cut of a request, if one is left. */
    const sendNextCut = (id: string, socket: net.Socket): boolean => {
        reused += cutSockets.has(socket) ? 1 : 0;
        const cut = cutsLeft.get(id)?.shift();
        if (!cut) {
            return false;
        }
        cutSockets.add(socket);
        socket.on("error", () => undefined);
        void cuts.sendCut(socket, cut);
        return true;
    };
    const idOf = ({ headers }: fixtures.Received) => String(headers["request-id"]);
    const countRun = (id: string) => runs.set(id, (runs.get(id) ?? 0) + 1);
    const servePlain: fixtures.Behaviour = (received, response, request) => {
        if (received.path === "/health") {
            response.end();
            return;
        }
        countRun(idOf(received));
        if (!sendNextCut(idOf(received), request.socket)) {
            fixtures.signed(response, received, BODY);
        }
    };
    const serveEngine: fixtures.Behaviour = (received, response, request) => {
        reused += cutSockets.has(request.socket) ? 1 : 0;
        if (received.path.startsWith("/reserve") || received.path === "/state" || received.method === "DELETE") {
            response.end(fixtures.grantReservation());
            return;
        }
        countRun(idOf(received));
        if (!sendNextCut(idOf(received), request.socket)) {
            const resumedAfter = Number(received.headers["last-event-id"] ?? 0);
            fixtures.signed(response, received, EVENTS.slice(resumedAfter).join(""));
        }
    };
    /** Sends a request whose first answers are the given cuts. */
    const send = (path: string, cutsToSend: readonly cuts.Cut[], id: string) => {
        cutsLeft.set(id, [...cutsToSend]);
        const request = { path: `${path}${id}`, headers: { ...headers, "request-id": id } };
        return cuts.repeatUnsent(() => fixture.send(request), () => runs.has(id));
    };
    const nextId = () => `r-${++lastId}`;
    const describeCase = (cut: cuts.Cut, { status, body, complete }: fixtures.ReceivedResponse) =>
        JSON.stringify({ ...cut, status, body, complete });

    before(async () => {
        uncaught = processes.recordUncaught("uncaughtException");
        const model = { service: "model", availabilityZone: "a" };
        counter = await fixture.addStandIn("counter");
        engine = await fixture.addStandIn("engine", { ...model, stage: routing.EngineStage.Whole });
        counter.behave = servePlain;
        engine.behave = serveEngine;
        // An upstream that sent a cut answer rests for a time, so that each case needs others.
        for (const { upstream, ...standIn } of [...fixture.standIns]) {
            for (let copy = 0; copy < COPIES; copy++) {
                fixture.standIns.push({ ...standIn, upstream: { ...upstream, id: `${upstream.id}-${copy}` } });
            }
        }
        const configuration = fixtures.makeConfiguration();
        const routes = configuration.routes.map((route) => ({ ...route, latencyTargetMs: 10_000, timeoutMs: 20_000 }));
        await fixture.start({ ...configuration, routes });
    });
    after(async () => {
        await fixture.close();
        uncaught.end();
    });
    afterEach(() => {
        chai.expect(uncaught.errors.splice(0)).to.deep.equal([]);
        chai.expect(reused, "requests on a connection that was cut").to.equal(0);
    });

    it("cost a request that may not be repeated one run and are no promise", async () => {
        await cuts.forEachCase(allCuts("r-20000", BODY), async ({ text, ...way }) => {
            const id = nextId();
            const cut = { ...way, text: text.replaceAll("r-20000", id) };
            const response = await send("/book/", [cut], id);
            chai.expect([response.status, runs.get(id)], describeCase(cut, response)).to.deep.equal([502, 1]);
        });
    });

    it("are followed by a whole answer where a request may be repeated", async () => {
        await cuts.forEachCase(mostCuts("r-20000", BODY), async ({ text, ...way }) => {
            const id = nextId();
            const cut = { ...way, text: text.replaceAll("r-20000", id) };
            const response = await send("/look/", [cut], id);
            chai.expect(response, describeCase(cut, response)).to.include({ status: 200, body: BODY, complete: true });
            const twice = nextId();
            const cutTwice = { ...way, text: text.replaceAll("r-20000", twice) };
            const refused = await send("/look/", [cutTwice, cutTwice], twice);
            chai.expect([refused.status, runs.get(twice)], describeCase(cut, refused)).to.deep.equal([502, 2]);
        });
    });

    it("are no stream", async () => {
        await cuts.forEachCase(allCuts("r-20000", ALL_EVENTS), async ({ text, ...way }) => {
            const id = nextId();
            const cut = { ...way, text: text.replaceAll("r-20000", id) };
            const response = await send("/write/", [cut], id);
            const text200 = describeCase(cut, response);
            chai.expect(runs.get(id), text200).to.equal(1);
            chai.expect(response.status, text200).to.be.oneOf([200, 502]);
            chai.expect(response.status === 200 && response.complete && response.body !== ALL_EVENTS, text200)
                .to.equal(false);
            chai.expect(response.status === 502 || ALL_EVENTS.startsWith(response.body), text200).to.equal(true);
        });
    });

    it("are no continuation of a stream", async () => {
        const rest = EVENTS.slice(1).join("");
        await cuts.forEachCase(mostCuts("r-20000", rest), async ({ text, ...way }) => {
            const id = nextId();
            const cut = { ...way, text: text.replaceAll("r-20000", id) };
            const broken = {
                text: `${headOf(id, "Content-Length: 1000")}${EVENTS[0]}`,
                inBytes: false,
                close: cuts.Close.Fin,
            };
            const response = await send("/resume/", [broken, cut], id);
            chai.expect(response, describeCase(cut, response)).to.include({ status: 200 });
            chai.expect(response.complete ? response.body === ALL_EVENTS : ALL_EVENTS.startsWith(response.body))
                .to.equal(true, describeCase(cut, response));
        });
    });

    it("of reservations hold nothing, and the request runs once elsewhere", async () => {
        const body = fixtures.grantReservation();
        const queue: cuts.Cut[] = [];
        let reservations = 0;
        engine.behave = (received, response, request) => {
            const isCut = received.path === "/reserve" && received.method === "POST" && reservations++ % 2 === 0;
            const cut = isCut ? queue.shift() : undefined;
            if (!cut) {
                serveEngine(received, response, request);
                return;
            }
            cutSockets.add(request.socket);
            request.socket.on("error", () => undefined);
            void cuts.sendCut(request.socket, cut);
        };
        const control = (text: string) => text.replace("request-id: r-20000\r\nsignature: s\r\n", "");
        queue.push(...mostCuts("r-20000", body).map((cut) => ({ ...cut, text: control(cut.text) })));
        const requests = queue.map(nextId);
        await cuts.forEachCase(requests, async (id) => {
            const response = await send("/write/", [], id);
            chai.expect(response).to.include({ status: 200, body: ALL_EVENTS, complete: true });
            chai.expect(runs.get(id)).to.equal(1);
        });
        engine.behave = serveEngine;
    });
});

// Guards against a decode that takes a cut answer for a prefill, or loses its request with it.
describe("Prefills whose answer stops in the middle of its head", function() {
    this.timeout(60_000);
    const fixture = new fixtures.Fixture(3_560);
    fixture.retries = { ratio: 1, extra: 100_000, windowMs: 10_000 };
    const queue: cuts.Cut[] = [];
    const sources: unknown[] = [];

    before(async () => {
        const model = { service: "model" };
        const prefill = await fixture.addStandIn("prefill", { ...model, stage: routing.EngineStage.Prefill });
        const decode = await fixture.addStandIn("decode", { ...model, stage: routing.EngineStage.Decode });
        prefill.behave = (received, response, request) => {
            const cut = received.headers["stage"] === "prefill" ? queue.shift() : undefined;
            request.socket.on("error", () => undefined);
            if (cut) {
                const text = cut.text.replaceAll("r-20000", String(received.headers["request-id"]));
                void cuts.sendCut(request.socket, { ...cut, text });
                return;
            }
            response.end();
        };
        decode.behave = (received, response) => {
            if (received.path.startsWith("/reserve")) {
                response.end(fixtures.grantReservation());
                return;
            }
            sources.push(received.headers["source"]);
            fixtures.signed(response, received, ALL_EVENTS);
        };
        for (let copy = 0; copy < COPIES; copy++) {
            const { upstream, ...standIn } = prefill;
            fixture.standIns.push({ ...standIn, upstream: { ...upstream, id: `prefill-${copy}` } });
        }
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    it("are not fetched, and the request runs once without", async () => {
        queue.push(...mostCuts("r-20000", JSON.stringify({ handle: "h" })));
        for (let count = 0; queue.length > 0; count++) {
            const headers = { "prompt-tokens": "10", "output-tokens": "10", "request-id": `r-${30_000 + count}` };
            const response = await fixture.send({ path: `/write/${count}`, headers });
            chai.expect(response).to.include({ status: 200, body: ALL_EVENTS, complete: true });
            chai.expect(sources).to.deep.equal([undefined]);
            sources.length = 0;
        }
    });
});

// Guards against a success without a whole body after another host stopped inside its head.
describe("Relayed answers that stop in the middle of their head", function() {
    this.timeout(60_000);
    const fixture = new fixtures.Fixture(3_660);
    const cutsLeft = new Map<string, cuts.Cut>();
    const runs = new Map<string, number>();

    before(async () => {
        const counter = await fixture.addStandIn("counter");
        counter.upstream = { ...counter.upstream, address: "127.0.0.1:9" };
        const other = await fixture.addStandIn("host-2");
        fixture.standIns.pop();
        other.behave = ({ headers }, _, request) => {
            const id = String(headers["request-id"]);
            runs.set(id, (runs.get(id) ?? 0) + 1);
            request.socket.on("error", () => undefined);
            void cuts.sendCut(request.socket, cutsLeft.get(id) as cuts.Cut);
        };
        fixture.hosts = [other.upstream.address];
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    it("do not look whole, and are no promise", async () => {
        const withoutFraming = cuts.waysToSend(headOf("r-20000", "x: y"))
            .concat(cuts.waysToSend(headOf("r-20000", "x: y") + BODY));
        await cuts.forEachCase([...mostCuts("r-20000", BODY), ...withoutFraming], async ({ text, ...way }, index) => {
            const id = `r-${40_000 + index}`;
            const cut = { ...way, text: text.replaceAll("r-20000", id) };
            cutsLeft.set(id, cut);
            const request = { path: `/book/${index}`, headers: { "request-id": id } };
            const response = await cuts.repeatUnsent(() => fixture.send(request), () => runs.has(id));
            const described = JSON.stringify({ ...cut, ...response });
            chai.expect(runs.get(id), described).to.equal(1);
            chai.expect(response.status, described).to.be.oneOf([0, 200, 502]);
            chai.expect(response.complete, described).to.equal(response.status === 502);
        });
    });
});
