import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import type * as net from "node:net";
import * as fixtures from "./fixture.js";

const EVENTS = "id: 1\ndata: a\n\n";
const REFUSAL_OF_RESERVATION = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
const REFUSAL_OF_RUN = "HTTP/1.1 503 Full\r\nrequest-id: other\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

// Guards against requests that are refused or run twice because another answer was taken for theirs (review case 2).
describe("Late copies of answers", () => {
    let fixture: fixtures.Fixture;
    let engine: fixtures.StandIn;
    const headers = { "prompt-tokens": "500", "output-tokens": "100" };
    const runs: net.Socket[] = [];

    beforeEach(async () => {
        fixture = new fixtures.Fixture(3_320);
        runs.length = 0;
        engine = await fixture.addStandIn("engine", { service: "model", stage: routing.EngineStage.Whole });
        await fixture.start(fixtures.makeConfiguration());
    });
    afterEach(() => fixture.close());

    const reserve: fixtures.Behaviour = (_, response) => void response.end(fixtures.grantReservation());
    const serve = (onRun: fixtures.Behaviour, onReserve = reserve) => {
        engine.behave = (received, response, request) => {
            if (received.path.startsWith("/reserve")) {
                onReserve(received, response, request);
                return;
            }
            runs.push(request.socket);
            onRun(received, response, request);
        };
    };
    const stream: fixtures.Behaviour = (received, response) => fixtures.signed(response, received, EVENTS);

    it("of a refused reservation are not taken for the answer to a run", async () => {
        serve((_received, _response, request) => void request.socket.write(REFUSAL_OF_RESERVATION));
        const { status } = await fixture.send({ path: "/write/1", headers });
        chai.expect(status, "the request may have run").to.equal(502);
        chai.expect(runs.length).to.equal(1);
    });

    it("of another run are not taken for the answer to a run", async () => {
        serve((_received, _response, request) => void request.socket.write(REFUSAL_OF_RUN));
        const { status } = await fixture.send({ path: "/write/1", headers });
        chai.expect(status).to.equal(502);
        chai.expect(runs.length).to.equal(1);
    });

    it("of a run are not taken for the answer to a reservation, and their connection is closed", async () => {
        const copied = new Set<net.Socket>();
        serve(stream, (received, response, request) => {
            if (copied.size > 0) {
                reserve(received, response, request);
                return;
            }
            copied.add(request.socket);
            request.socket.write(REFUSAL_OF_RUN);
        });
        const { status } = await fixture.send({ path: "/write/1", headers });
        chai.expect([...copied].every(({ closed, destroyed }) => closed || destroyed)).to.equal(true);
        chai.expect(status).to.be.oneOf([200, 503]);
        chai.expect(runs.length).to.equal(status === 200 ? 1 : 0);
    });

    it("of a refused run are not taken for the answer to the next run of the same request", async () => {
        serve((received, response, request) => {
            if (runs.length === 1) {
                response.writeHead(503, { "request-id": "r-1", "not-run": "1" }).end();
                return;
            }
            stream(received, response, request);
        });
        const { status, body } = await fixture.send({ path: "/write/1", headers });
        chai.expect({ status, body }).to.deep.equal({ status: 200, body: EVENTS });
        chai.expect(new Set(runs).size, "connections of the runs").to.equal(2);
    });

    it("of a granted reservation do not lead to a run with a reservation that the gateway has released", async () => {
        const copyDueOn = new Map<net.Socket, string>();
        let granted = 0;
        const released: unknown[] = [];
        const usedByRuns: unknown[] = [];
        engine.behave = (received, response, { socket }) => {
            if (received.method === "DELETE") {
                released.push(received.path.split("/").at(-1));
                response.end("{}");
                return;
            }
            if (received.path === "/reserve") {
                const body = JSON.stringify({ id: `h-${++granted}` });
                socket.write(copyDueOn.get(socket) ?? "");
                copyDueOn.delete(socket);
                if (granted === 1) {
                    copyDueOn.set(socket, `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
                }
                response.end(body);
                return;
            }
            usedByRuns.push(received.headers["reservation"]);
            fixtures.signed(response, received, EVENTS);
        };
        await fixture.send({ path: "/write/1", headers });
        await lifecycle.pause(fixture.scope, 100);
        chai.expect(usedByRuns.length).to.equal(1);
        chai.expect(released).to.not.include(usedByRuns[0]);
    });

    it("of a granted reservation lead to no second run, and to no refusal of what ran", async () => {
        let granted = 0;
        let copyCount = 0;
        const ran: string[] = [];
        const unused = new Set<string>();
        const copies = new WeakMap<net.Socket, string>();
        engine.behave = ({ path, headers: received }, response, { socket }) => {
            if (path === "/reserve") {
                const copy = copies.get(socket);
                if (copy !== undefined) {
                    copies.delete(socket);
                    socket.write(copy);
                    copyCount++;
                }
                const id = `hold-${++granted}`;
                unused.add(id);
                const body = JSON.stringify({ id });
                if (granted % 5 === 0) {
                    copies.set(socket, `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
                }
                response.end(body);
                return;
            }
            if (path.startsWith("/reserve/")) {
                unused.delete(path.slice("/reserve/".length));
                response.end("{}");
                return;
            }
            const requestId = String(received["request-id"]);
            if (!unused.delete(String(received["reservation"]))) {
                response.writeHead(503, { "request-id": requestId, "not-run": "1" }).end();
                return;
            }
            ran.push(requestId);
            response.writeHead(200, { "request-id": requestId, "signature": "s", "content-type": "text/event-stream" });
            response.end(EVENTS);
        };
        const ids = Array.from({ length: 20 }, (_, index) => `r-${index}`);
        const send = (id: string) => fixture.send({ path: "/write/1", headers: { ...headers, "request-id": id } });
        const responses = await Promise.all(ids.map(send));
        const answers = responses.map(({ status }, index) => ({
            status,
            runs: ran.filter((id) => id === ids[index]).length,
        }));
        chai.expect(answers.filter(({ status, runs: count }) => count > 1 || (status === 503 && count > 0)))
            .to.deep.equal([]);
        chai.expect(Math.min(copyCount, ran.length), "copies sent, and runs").to.be.above(0);
    });
});
