import * as chai from "chai";
import * as http from "node:http";
import * as fixtures from "./fixture.js";

describe("Plain services through the gateway", () => {
    const fixture = new fixtures.Fixture(2_000);
    let one: fixtures.StandIn;
    let other: fixtures.StandIn;
    const runs = () => one.received.length + other.received.length;

    before(async () => {
        one = await fixture.addStandIn("one");
        other = await fixture.addStandIn("other");
        await fixture.start(fixtures.makeConfiguration());
    });
    beforeEach(() => {
        for (const standIn of [one, other]) {
            standIn.received.length = 0;
            standIn.behave = (received, response) => fixtures.signed(response, received, "done");
        }
    });
    after(() => fixture.close());

    const both = (behave: fixtures.Behaviour) => {
        one.behave = behave;
        other.behave = behave;
    };

    it("relays method, path, body and the upstream's response unchanged", async () => {
        const response = await fixture.send({
            method: "POST",
            path: "/book/a%20b?x=1",
            body: "three tables",
            headers: { colour: "blue" },
        });
        chai.expect([response.status, response.body, response.headers["signature"]]).to.deep.equal([200, "done", "s"]);
        const [received] = [...one.received, ...other.received];
        chai.expect([received?.method, received?.path, received?.body]).to.deep.equal([
            "POST",
            "/book/a%20b?x=1",
            "three tables",
        ]);
        chai.expect(received?.headers).to.include({ "colour": "blue", "workspace": "north", "request-id": "r-1" });
        chai.expect(received?.headers).to.not.have.property("key");
    });

    it("drops forged system headers and hop-by-hop headers", async () => {
        await fixture.send({
            headers: { workspace: "south", source: "x", connection: "close, colour", colour: "blue" },
        });
        const [received] = [...one.received, ...other.received];
        chai.expect(received?.headers["workspace"]).to.equal("north");
        chai.expect(received?.headers).to.not.have.any.keys("source", "colour");
    });

    it("refuses unknown routes and keys, and oversized requests, without a send", async () => {
        const statuses = await Promise.all([
            fixture.send({ path: "/nothing/" }),
            fixture.send({ headers: { key: "key-9" } }),
            fixture.send({ method: "POST", body: "x".repeat(10_001) }),
            fixture.send({ headers: { long: "x".repeat(5_000) } }),
        ]);
        chai.expect(statuses.map(({ status }) => status)).to.deep.equal([404, 401, 413, 431]);
        chai.expect(runs()).to.equal(0);
    });

    it("retries a non-idempotent request that did not run", async () => {
        one.behave = (_, response) => response.writeHead(503, { "not-run": "1" }).end();
        for (let index = 0; index < 6; index++) {
            chai.expect((await fixture.send()).status).to.equal(200);
        }
    });

    it("never retries a non-idempotent request that may have run", async () => {
        both((_received, _response, request) => request.socket.destroy());
        const response = await fixture.send();
        chai.expect(response.status).to.equal(502);
        chai.expect(runs()).to.equal(1);
    });

    it("retries an idempotent request after a lost response and after an error response", async () => {
        one.behave = (_received, _response, request) => request.socket.destroy();
        other.behave = one.behave;
        let count = 0;
        both((received, response, request) => {
            if (count++ === 0) {
                request.socket.destroy();
            }
            else {
                fixtures.signed(response, received, "second");
            }
        });
        chai.expect(await fixture.send({ path: "/look/1" })).to.include({ status: 200, body: "second" });
        count = 0;
        both((received, response) => fixtures.signed(response, received, "answer", count++ === 0 ? 500 : 200));
        chai.expect((await fixture.send({ path: "/look/1" })).status).to.equal(200);
        chai.expect(count).to.equal(2);
    });

    it("rejects a successful response that is unsigned, encoded or for another request", async () => {
        const bad: fixtures.Behaviour[] = [
            (received, response) =>
                response.writeHead(200, { "request-id": `${received.headers["request-id"]}` }).end(),
            (_, response) => response.writeHead(200, { "signature": "s", "content-encoding": "gzip" }).end("x"),
            (_, response) => response.writeHead(200, { "signature": "s", "request-id": "r-0" }).end("foreign"),
        ];
        for (const behave of bad) {
            both(behave);
            chai.expect((await fixture.send()).status).to.equal(502);
        }
    });

    it("treats a response without framing as incomplete after a reset, and as complete after an orderly close", async () => {
        const head = "HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: r-1\r\nconnection: close\r\n\r\n";
        both((_received, _response, request) => {
            request.socket.write(`${head}half`);
            setTimeout(() => request.socket.resetAndDestroy(), 30);
        });
        chai.expect((await fixture.send()).status).to.equal(502);
        both((received, response, request) =>
            received.path === "/health" ? void response.end() : void request.socket.end(`${head}all of it`)
        );
        const response = await fixture.send();
        chai.expect(response).to.include({ status: 200, body: "all of it", complete: true });
        chai.expect(response.headers).to.include({ "content-length": "9" });
    });

    it("sends another host a response without framing with a length, so that one that is cut is known", async () => {
        const head = "HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: r-1\r\nconnection: close\r\n\r\n";
        both((received, response, request) =>
            received.path === "/health" ? void response.end() : void request.socket.end(`${head}all of it`)
        );
        const response = await fixture.send({
            port: fixture.settings.peers.port,
            headers: { "citronlead-relay-request": JSON.stringify({ timeLeftMs: 900, configuration: 1 }) },
        });
        chai.expect(response).to.include({ status: 200, body: "all of it", complete: true });
        chai.expect(response.headers).to.include({ "content-length": "9" });
    });

    it("does not reuse a connection on which a second response arrived", async () => {
        both((_received, _response, request) => {
            const firstResponse =
                "HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: r-1\r\ncontent-length: 5\r\n\r\nfirst";
            request.socket.write(firstResponse);
            setTimeout(() => request.socket.write(firstResponse.replace("first", "stale")), 20);
        });
        chai.expect((await fixture.send()).body).to.equal("first");
        await new Promise((resolve) => setTimeout(resolve, 60));
        both((received, response) => fixtures.signed(response, received, "fresh"));
        chai.expect((await fixture.send()).body).to.equal("fresh");
    });

    it("responds with 504 at the deadline and forwards the remaining time", async () => {
        both(() => undefined);
        const response = await fixture.send({ headers: { patience: "400" } });
        chai.expect(response.status).to.equal(504);
        chai.expect(response.tookMs).to.be.within(300, 800);
        const [received] = [...one.received, ...other.received];
        chai.expect(Number(received?.headers["time-left"])).to.be.within(300, 400);
    });

    // Guards against the call's time-out being taken for a lost response when both are due together.
    it("never responds with 502 to requests that reach their deadline", async () => {
        both(() => undefined);
        const statuses: number[] = [];
        for (let round = 0; round < 15; round++) {
            const patience = String(100 + round / 7);
            const responses = await Promise.all(
                Array.from({ length: 20 }, () => fixture.send({ headers: { patience } })),
            );
            statuses.push(...responses.map(({ status }) => status));
        }
        // 503: it was not sent by then.
        chai.expect(statuses.filter((status) => status !== 504 && status !== 503)).to.deep.equal([]);
    });

    it("aborts the send when the caller disconnects", async () => {
        const ended = new Promise<void>((resolve) =>
            both((_received, _response, request) => request.socket.on("close", () => resolve()))
        );
        await fixture.send({ disconnectAfterMs: 100 });
        await ended;
    });

    it("refuses with 503 and Retry-After when no upstream runs the request", async () => {
        both((_, response) => response.writeHead(503, { "not-run": "1" }).end());
        const response = await fixture.send();
        chai.expect(response.status).to.equal(503);
        chai.expect(Number(response.headers["retry-after"])).to.be.above(0);
    });

    it("keeps serving after an internal error in one request", async () => {
        chai.expect((await fixture.send({ headers: { "raise-internal-error": "1" } })).status).to.equal(0);
        chai.expect((await fixture.send()).status).to.equal(200);
    });

    it("serves metrics and readiness", async () => {
        chai.expect((await fixture.get(2, "/metrics")).body).to.include("citronlead_gateway_requests_total");
        chai.expect((await fixture.get(1, "/ready")).status).to.equal(200);
    });
});

describe("A stopping gateway", () => {
    it("completes requests in flight, closes their connections afterwards and accepts no more", async () => {
        const fixture = new fixtures.Fixture(2_100);
        const slow = await fixture.addStandIn("slow");
        await fixture.start(fixtures.makeConfiguration());
        slow.behave = (received, response) => setTimeout(() => fixtures.signed(response, received, "late"), 300);
        const agent = new http.Agent({ keepAlive: true });
        const responseInFlight = fixture.send({ agent });
        await new Promise((resolve) => setTimeout(resolve, 100));
        const stopped = fixture.stop();
        const response = await responseInFlight;
        chai.expect(response).to.include({ status: 200, body: "late" });
        chai.expect(response.headers["connection"]).to.equal("close");
        chai.expect((await fixture.get(1, "/ready")).status).to.equal(503);
        await stopped;
        chai.expect((await fixture.send()).status).to.equal(0);
        agent.destroy();
        await fixture.close();
    });
});
