import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as http from "node:http";
import type * as net from "node:net";
import * as fixtures from "./fixture.js";

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

/** How an engine ends its stream. */
type End = (response: http.ServerResponse) => void;

describe("Streams with neither a length nor chunks", () => {
    const fixture = new fixtures.Fixture(2_320);
    let engine: fixtures.StandIn;
    const close: End = (response) => response.end();
    const reset: End = (response) => void setTimeout(() => response.socket?.resetAndDestroy(), 30);

    /** Streams the given text without framing on the first run, and the rest of the events on later ones. */
    const stream = (text: string, end: End) => {
        let runs = 0;
        engine.behave = (received, response) => {
            if (received.path.startsWith("/reserve") || received.path === "/state") {
                response.end(fixtures.grantReservation());
                return;
            }
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
            response.writeHead(200, { "request-id": "r-1", "signature": "s" });
            const isFirst = runs++ === 0;
            const resumedAfter = Number(received.headers["last-event-id"] ?? 0);
            response.write(isFirst ? text : EVENTS.slice(resumedAfter).join(""));
            (isFirst ? end : close)(response);
        };
    };
    const send = (path: string) => fixture.send({ path, headers: { "prompt-tokens": "500", "output-tokens": "100" } });

    before(async () => {
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    it("are relayed whole when they end between events", async () => {
        stream(EVENTS.join(""), close);
        chai.expect(await send("/write/1")).to.include({ status: 200, body: EVENTS.join(""), complete: true });
    });

    it("do not look complete when they end inside an event, or are reset", async () => {
        for (
            const [text, end] of [
                [`${EVENTS[0]}id: 2\nda`, close],
                [EVENTS.slice(0, 2).join(""), reset],
            ] as const
        ) {
            stream(text, end);
            const response = await send("/write/1");
            chai.expect(response).to.include({ status: 200, complete: false });
            chai.expect(EVENTS.join("").startsWith(response.body)).to.equal(true);
        }
    });

    it("are refused when they end before the first event", async () => {
        stream(" ", close);
        chai.expect((await send("/write/1")).status).to.equal(502);
    });

    it("do not look complete when their engine crashes between two events", async () => {
        // It refuses connections at first, then its host is silent.
        for (const onState of [(socket: net.Socket) => void socket.destroy(), () => undefined]) {
            stream(EVENTS.slice(0, 2).join(""), close);
            const { behave } = engine;
            engine.behave = (received, response, request) =>
                received.path === "/state" ? onState(request.socket) : behave(received, response, request);
            chai.expect(await send("/write/1")).to.include({ status: 200, complete: false });
        }
    });

    it("go on after the last whole event where they may be resumed", async () => {
        stream(`${EVENTS[0]}id: 2\nda`, close);
        chai.expect(await send("/resume/1")).to.include({ status: 200, body: EVENTS.join(""), complete: true });
    });
});
