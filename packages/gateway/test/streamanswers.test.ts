import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as http from "node:http";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 3_400;
const EVENT_COUNT = 12;
/** Events of a stream before its first engine breaks it off. */
const BROKEN_AFTER = 3;
const TORN = `id: ${BROKEN_AFTER + 1}\nda`;
const OTHER_HEAD = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nout of memory\n\n";

/** How an engine answers the runs that it gets. */
type Answer = (response: http.ServerResponse, request: http.IncomingMessage) => void;

interface AnswerOptions {
    readonly headers?: http.OutgoingHttpHeaders;
    readonly pieceBytes?: number;
    readonly breaks?: boolean;
    /** Whether it has chunks or a length; without, it ends with its connection. */
    readonly isFramed?: boolean;
}

const STREAM = { "content-type": "text/event-stream" };

function events(first: number, last = EVENT_COUNT, lineEnd = "\n"): string {
    const ids = Array.from({ length: last - first + 1 }, (_, index) => first + index);
    return ids.map((id) => `id: ${id}${lineEnd}data: ${id}${lineEnd}${lineEnd}`).join("");
}

/** A signed answer with status 200 that is whole by its framing, unless it breaks. */
function answer(
    text: string,
    { headers = STREAM, pieceBytes = Infinity, breaks = false, isFramed = true }: AnswerOptions = {},
): Answer {
    return (response, request) => {
        if (!isFramed) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        response.writeHead(200, { signature: "s", ...headers });
        response.flushHeaders();
        for (let start = 0; start < text.length; start += pieceBytes) {
            response.write(text.slice(start, start + pieceBytes));
        }
        if (breaks) {
            setTimeout(() => request.socket.resetAndDestroy(), 20);
        }
        else {
            response.end();
        }
    };
}

const broken = (text: string) => answer(text, { breaks: true });
/** The events after the one that the request goes on after. */
const sound: Answer = (response, request) =>
    answer(events(Number(request.headers["last-event-id"] ?? 0) + 1))(response, request);

/** What is no rest of a stream after its third event. */
const wrongRests: Record<string, Answer> = {
    "a text": answer("out of memory", { headers: { "content-type": "text/plain" } }),
    "a text in blocks": answer("out\n\nof\n\nmemory\n\n", { headers: { "content-type": "text/plain" } }),
    "events of another type": answer(events(4), { headers: { "content-type": "application/json" } }),
    "nothing, with a length": answer("", { headers: { ...STREAM, "content-length": "0" } }),
    "nothing, in chunks": answer(""),
    "nothing, without framing": answer("", { isFramed: false }),
    "a text without a type or framing": answer("out of memory", { headers: {}, isFramed: false }),
    "a text in a block, without framing": answer("out of memory\n\n", { isFramed: false }),
    "comments alone": answer(": ping\n\n: ping\n\n"),
    "the head of another answer": answer(OTHER_HEAD),
    "an event without an id": answer(`data: x\n\n${events(4)}`),
    "the last event again": answer(events(3)),
    "an older event": answer(events(2)),
    "the whole stream": answer(events(1)),
    "an event too far on": answer(events(5)),
    "an id that is no number": answer("id: four\ndata: x\n\n"),
    "an empty id": answer("id:\ndata: x\n\n"),
    "another encoding": answer(events(4), { headers: { ...STREAM, "content-encoding": "gzip" } }),
    "events without a signature": (response) => response.writeHead(200, STREAM).end(events(4)),
    "an incomplete event, whole by its framing": answer(TORN),
};

/** What is the rest of a stream up to its fifth event, and then is not. */
const wrongAfterFifth: Record<string, string> = {
    "an event again": events(4, 5) + events(5),
    "an event too far on": events(4, 5) + events(7),
    "an event without an id": `${events(4, 5)}data: x\n\n${events(6)}`,
    "the head of another answer": events(4, 5) + OTHER_HEAD,
    "an incomplete event, whole by its framing": `${events(4, 5)}id: 6\nda`,
};

const soundRests: Record<string, Answer> = {
    "a type in other letters, with a parameter": answer(events(4), {
        headers: { "content-type": "Text/Event-Stream; charset=utf-8" },
    }),
    "no type": answer(events(4), { headers: {} }),
    "lines that end with CR LF": answer(events(4, 12, "\r\n")),
    "lines that end with CR": answer(events(4, 12, "\r")),
    "comments": answer(`: ping\n\n${events(4, 8)}: ping\n\n${events(9)}`),
    "a leading field": answer(events(4).replaceAll("id:", "x-citronlead-weight-versions: 3\nid:")),
    "ids after the data": answer(events(4).replaceAll(/(id: \d+\n)(data: \d+\n)/g, "$2$1")),
    "ids without a space": answer(events(4).replaceAll("id: ", "id:")),
    "no framing": answer(events(4), { isFramed: false }),
    "pieces of a byte": answer(events(4), { pieceBytes: 1 }),
};

describe("Streams that broke off", () => {
    const fixture = new fixtures.Fixture(PORT_OFFSET);
    // More retries than all of these tests make.
    fixture.retries = { ratio: 0.2, extra: 1_000, windowMs: 10_000 };
    let requests = 0;
    let runs: http.IncomingHttpHeaders[];

    /** Lets the engines answer runs in the given order, whichever engine gets them; the last answer is repeated. */
    const answerRuns = (...answers: readonly Answer[]) => {
        runs = [];
        for (const standIn of fixture.standIns) {
            standIn.behave = (received, response, request) => {
                if (received.path.startsWith("/reserve") || received.path === "/state") {
                    response.end(fixtures.grantReservation());
                    return;
                }
                runs.push(received.headers);
                (answers[runs.length - 1] ?? answers.at(-1))?.(response, request);
            };
        }
    };
    /** Sends a request with a content of its own, so that none is suspected of crashing the engines. */
    const send = (path: string, headers: http.OutgoingHttpHeaders = {}, port: Partial<fixtures.CallerRequest> = {}) => {
        const body = `prompt ${++requests}`;
        const added = { "request-id": `r-${requests}`, "prompt-tokens": "500", "output-tokens": "100", ...headers };
        return fixture.send({ path, method: "POST", body, ...port, headers: added });
    };
    const resumedAfter = () => runs.map((headers) => headers["last-event-id"]);

    before(async () => {
        for (const id of ["e-1", "e-2", "e-3", "e-4"]) {
            await fixture.addStandIn(id, { service: "model", stage: routing.EngineStage.Whole });
        }
        const { routes, ...rest } = fixtures.makeConfiguration();
        const withAttempts = routes.map((route) => route.resumable ? { ...route, maxAttempts: 3 } : route);
        await fixture.start({ ...rest, routes: withAttempts });
    });
    after(() => fixture.close());

    for (const [name, rest] of Object.entries(wrongRests)) {
        for (const [after, tail] of [["between events", ""], ["inside an event", TORN]] as const) {
            it(`${after} do not go on with ${name}`, async () => {
                answerRuns(broken(events(1, BROKEN_AFTER) + tail), rest, sound);
                const response = await send("/resume/1");
                chai.expect(response).to.include({ status: 200, body: events(1), complete: true });
                chai.expect(resumedAfter()).to.deep.equal([undefined, "3", "3"]);
            });
        }

        it(`do not look complete when all that is left is ${name}`, async () => {
            answerRuns(broken(events(1, BROKEN_AFTER)), rest);
            chai.expect(await send("/resume/1")).to.include({ body: events(1, BROKEN_AFTER), complete: false });
        });

        it(`and that their caller resumes do not go on with ${name}`, async () => {
            answerRuns(rest, sound);
            chai.expect(await send("/resume/1", { "last-event-id": "3" }))
                .to.include({ status: 200, body: events(4), complete: true });
            answerRuns(rest);
            const response = await send("/resume/1", { "last-event-id": "3" });
            chai.expect(response.status).to.equal(502);
        });

        it(`at another host's request do not go on with ${name}`, async () => {
            answerRuns(broken(events(1, BROKEN_AFTER)), rest);
            const relayed = JSON.stringify({ timeLeftMs: 4_000, configuration: 1 });
            const { port } = fixture.settings.peers;
            chai.expect(await send("/resume/1", { "citronlead-relay-request": relayed }, { port }))
                .to.include({ body: events(1, BROKEN_AFTER), complete: false });
        });
    }

    for (const status of [204, 206, 304, 404, 500, 503]) {
        it(`do not go on with a status of ${status}`, async () => {
            const failure: Answer = (response) =>
                response.writeHead(status, { signature: "s", ...STREAM }).end(events(4));
            answerRuns(broken(events(1, BROKEN_AFTER)), failure, sound);
            chai.expect(await send("/resume/1")).to.include({ status: 200, body: events(1), complete: true });
            answerRuns(broken(events(1, BROKEN_AFTER)), failure);
            chai.expect(await send("/resume/1")).to.include({ body: events(1, BROKEN_AFTER), complete: false });
        });
    }

    for (const [name, text] of Object.entries(wrongAfterFifth)) {
        it(`go on at a third engine when the second answers with ${name} after two events`, async () => {
            answerRuns(broken(events(1, BROKEN_AFTER)), answer(text), sound);
            chai.expect(await send("/resume/1")).to.include({ status: 200, body: events(1), complete: true });
            chai.expect(resumedAfter()).to.deep.equal([undefined, "3", "5"]);
        });
    }

    it("do not look complete with garbage after the last event", async () => {
        answerRuns(broken(events(1, BROKEN_AFTER)), answer(`${events(4)}garbage`), answer(""));
        chai.expect(await send("/resume/1")).to.include({ body: events(1), complete: false });
    });

    for (const [name, rest] of Object.entries(soundRests)) {
        it(`go on with ${name}`, async () => {
            let text = "";
            const record: Answer = (response, request) => {
                const write = response.write.bind(response) as (chunk: string) => boolean;
                response.write = ((chunk: string) => (text += chunk, write(chunk))) as typeof response.write;
                rest(response, request);
            };
            answerRuns(broken(events(1, BROKEN_AFTER)), record);
            const response = await send("/resume/1");
            chai.expect(response).to.include({ body: events(1, BROKEN_AFTER) + text, complete: true });
            chai.expect(resumedAfter()).to.deep.equal([undefined, "3"]);
        });
    }

    for (const [name, lineEnd] of [["CR LF", "\r\n"], ["CR", "\r"]] as const) {
        it(`go on after events whose lines end with ${name}`, async () => {
            answerRuns(broken(`${events(1, BROKEN_AFTER, lineEnd)}id: 4${lineEnd}da`), sound);
            const body = events(1, BROKEN_AFTER, lineEnd) + events(4);
            chai.expect(await send("/resume/1")).to.include({ body, complete: true });
        });
    }

    it("go on where ids go up in other steps", async () => {
        answerRuns(broken("id: 10\ndata: a\n\nid: 20\ndata: b\n\n"), answer("id: 30\ndata: c\n\n"));
        chai.expect((await send("/resume/1")).complete).to.equal(true);
    });

    for (
        const [name, text, passed = text] of [
            ["no ids", "data: a\n\ndata: b\n\n"],
            ["no id in the last event", `${events(1, 2)}data: b\n\n`],
            ["ids that are no numbers", "id: a\ndata: a\n\nid: b\ndata: b\n\n"],
            ["ids that went back", events(1, 2) + events(1, 1), events(1, 2)],
        ] as const
    ) {
        it(`do not go on after events with ${name}`, async () => {
            answerRuns(broken(text), sound);
            chai.expect(await send("/resume/1")).to.include({ body: passed, complete: false });
            chai.expect(runs.length).to.equal(1);
        });
    }

    it("stay broken off where the route does not resume", async () => {
        for (const text of [events(1, BROKEN_AFTER), events(1, BROKEN_AFTER) + TORN]) {
            answerRuns(broken(text), sound);
            chai.expect(await send("/write/1")).to.include({ body: events(1, BROKEN_AFTER), complete: false });
            chai.expect(runs.length).to.equal(1);
        }
    });

    it("begin anew at another engine when the first sent comments alone", async () => {
        answerRuns(broken(": ping\n\n"), sound);
        const { body, complete } = await send("/resume/1");
        chai.expect(complete).to.equal(true);
        chai.expect(body.replace(": ping\n\n", "")).to.equal(events(1));
    });
});

describe("First answers on streaming routes", () => {
    const fixture = new fixtures.Fixture(PORT_OFFSET);
    fixture.retries = { ratio: 0.2, extra: 1_000, windowMs: 10_000 };
    let engine: fixtures.StandIn;
    let requests = 0;
    let runs: number;
    const answerRuns = (...answers: readonly Answer[]) => {
        runs = 0;
        engine.behave = (received, response, request) =>
            received.path.startsWith("/reserve") || received.path === "/state"
                ? void response.end(fixtures.grantReservation())
                : (answers[runs++] ?? answers.at(-1))?.(response, request);
    };
    const send = (path: string) => {
        const headers = { "request-id": `r-${++requests}`, "prompt-tokens": "500", "output-tokens": "100" };
        return fixture.send({ path, method: "POST", body: `prompt ${requests}`, headers });
    };

    before(async () => {
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    for (
        const [name, empty] of Object.entries({
            "nothing, with a length": answer("", { headers: { ...STREAM, "content-length": "0" } }),
            "nothing, in chunks": answer(""),
            "nothing, without a type": answer("", { headers: {} }),
            "comments alone": answer(": ping\n\n"),
            "an incomplete event": answer("id: 1\nda"),
        })
    ) {
        it(`do not look complete with ${name}`, async () => {
            answerRuns(empty);
            const response = await send("/write/1");
            chai.expect(response.status === 502 || !response.complete).to.equal(true);
            chai.expect(runs).to.equal(1);
        });

        it(`are replaced by another engine's if they hold ${name}`, async () => {
            answerRuns(empty, sound);
            const response = await send("/resume/1");
            chai.expect(response.body.replace(": ping\n\n", "")).to.equal(events(1));
            chai.expect(response.complete).to.equal(true);
        });
    }

    it("do not look complete with ids that come again, and end before these", async () => {
        for (const path of ["/write/1", "/resume/1"]) {
            answerRuns(answer(events(1, 2) + events(2), { headers: STREAM }));
            chai.expect(await send(path)).to.include({ status: 200, body: events(1, 2), complete: false });
            chai.expect(runs).to.equal(1);
        }
    });

    for (
        const [name, text, headers] of [
            ["ids that skip", events(1, 2) + events(5), STREAM],
            ["ids that are no numbers", "id: a\ndata: a\n\nid: b\ndata: b\n\n", STREAM],
            ["no ids", "data: a\n\ndata: b\n\n", STREAM],
            ["a last event without its empty line", `${events(1, 2)}id: 3\ndata: 3\n`, STREAM],
            ["comments between events", `: ping\n\n${events(1, 2)}: ping\n\n`, STREAM],
            ["lines that end with CR", events(1, 12, "\r"), STREAM],
            ["another type", "text", { "content-type": "text/plain" }],
        ] as const
    ) {
        it(`are the engine's own, with ${name}`, async () => {
            for (const path of ["/write/1", "/resume/1"]) {
                answerRuns(answer(text, { headers }));
                chai.expect(await send(path)).to.include({ status: 200, body: text, complete: true });
                chai.expect(runs).to.equal(1);
            }
        });
    }
});
