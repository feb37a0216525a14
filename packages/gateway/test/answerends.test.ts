import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as net from "node:net";
import * as fixtures from "./fixture.js";

const HEAD = "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nsignature: s\r\n\r\n";
const HEADS = [HEAD, HEAD.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"), HEAD.replace("HTTP/1.1", "HTTP/1.0")];
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
/** More than is read of a body before any of it is passed on. */
const LONG_START = "s".repeat(200_000);
/** More than the operating system takes for a server that does not read. */
const UNREAD_BYTES = 24 * 1_048_576;
const PAUSE_MS = 50;

// Guards against answers that are cut short and reach their callers as complete.
describe("Answers without framing", () => {
    const fixture = new fixtures.Fixture(4_040);
    let counter: fixtures.StandIn;
    let engine: fixtures.StandIn;
    let lastUnread: net.Server;

    /** Writes to the connection of each request in place of an answer. */
    const answerRaw = (answer: (socket: net.Socket) => void) => {
        counter.behave = (received, response, request) =>
            received.path === "/health" ? void response.end() : answer(request.socket);
        engine.behave = fixtures.engineThatRuns((_, __, request) => answer(request.socket));
    };
    /** Leaves idle connections to the upstreams, which prove that they have run since, however busy this process is. */
    const leaveIdleConnections = async () => {
        counter.behave = (received, response) => fixtures.signed(response, received, "framed");
        const responses = await Promise.all([fixture.send(), fixture.send()]);
        chai.expect(responses.map(({ status }) => status)).to.deep.equal([200, 200]);
    };
    /** Writes the last part and resets the connection in one turn, so that both are found together. */
    const reset = (socket: net.Socket, text: string) => {
        socket.write(text);
        socket.resetAndDestroy();
    };

    before(async () => {
        counter = await fixture.addStandIn("counter");
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        lastUnread = net.createServer();
        await new Promise<void>((resolve) => lastUnread.listen(0, "127.0.0.1", resolve));
        fixture.scope.defer(async () => void lastUnread.close());
        const { port } = lastUnread.address() as net.AddressInfo;
        fixture.standIns.push({
            ...counter,
            upstream: fixtures.makeUpstream("unread", { service: "uploads", address: `127.0.0.1:${port}` }),
        });
        const { limits, routes, services } = fixtures.makeConfiguration();
        const [look] = routes as [routing.Route];
        const upload = { name: "upload", pathPrefix: "/upload/", targets: [{ service: "uploads", weight: 1 }] };
        await fixture.start(fixtures.makeConfiguration({
            routes: [...routes, { ...look, ...upload, kind: routing.RouteKind.NonIdempotent }],
            services: [
                ...services,
                { name: "uploads", connectionLimit: 100, healthPath: undefined, engine: undefined },
            ],
            limits: { ...limits, bodyBytes: 2 * UNREAD_BYTES },
        }));
    });
    after(() => fixture.close());

    it("do not look complete if their connection is reset together with a short part", async () => {
        for (const head of HEADS) {
            answerRaw((socket) => reset(socket, `${head}part`));
            chai.expect((await fixture.send()).status, head).to.equal(502);
        }
    });

    it("do not look complete if their connection is reset together with a part of a long body", async () => {
        for (const head of HEADS) {
            answerRaw((socket) => {
                socket.write(head + LONG_START);
                setTimeout(() => reset(socket, "part"), PAUSE_MS);
            });
            chai.expect(await fixture.send(), head).to.include({ status: 200, complete: false });
        }
    });

    it("do not look complete if their connection is reset together with events of a stream", async () => {
        for (const head of HEADS) {
            answerRaw((socket) => {
                socket.write(head + EVENTS[0]);
                setTimeout(() => reset(socket, EVENTS[1] ?? ""), PAUSE_MS);
            });
            const headers = { "prompt-tokens": "10", "output-tokens": "10" };
            chai.expect(await fixture.send({ path: "/write/1", headers }), head).to.include({ complete: false });
        }
    });

    it("do not look complete if their server has not read the request", async () => {
        lastUnread.on("connection", (socket) => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.pause();
                socket.end(`${HEAD}part`);
            });
        });
        const body = "b".repeat(UNREAD_BYTES);
        chai.expect((await fixture.send({ path: "/upload/1", method: "POST", body })).status).to.equal(502);
    });

    it("are passed on if their server closes the connection after the last byte", async () => {
        await leaveIdleConnections();
        for (const head of HEADS) {
            answerRaw((socket) => socket.end(`${head}whole`));
            chai.expect(await fixture.send(), head).to.include({ status: 200, body: "whole", complete: true });
        }
    });

    it("do not look complete to their callers if this host ends within them: short ones have a length", async () => {
        await leaveIdleConnections();
        answerRaw((socket) => socket.end(`${HEAD}whole`));
        chai.expect((await fixture.send()).headers).to.include({ "content-length": "5" });
    });
});
