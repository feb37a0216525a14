import * as routing from "@citronlead/routing";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import type * as net from "node:net";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 4_700;
const RELAY_PORT_OFFSET = 4_720;
const EVENTS = "id: 1\ndata: a\n\n";
const PROMPT = { "prompt-tokens": "500", "output-tokens": "100" };
const REFUSAL = "citronlead-relay-refusal";
const UNNAMED_REFUSAL = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

const isRun = ({ path }: fixtures.Received) => /^\/(book|look|write|resume)\//.test(path);

// Guards against promises (408, 421, 429, 503) for requests that an upstream may have run, and against a second run.
describe("Promises of a gateway", () => {
    let fixture: fixtures.Fixture;
    const runs = () => fixture.standIns.flatMap(({ received }) => received.filter(isRun));
    const serveRuns = (behave: fixtures.Behaviour) => {
        fixture.standIns.forEach((standIn) => standIn.behave = fixtures.engineThatRuns(behave));
    };
    const failWith = (status: number, headers: Record<string, string> = {}): fixtures.Behaviour => (_, response) =>
        void response.writeHead(status, { signature: "s", ...headers }).end("its own");

    before(async () => {
        fixture = new fixtures.Fixture(PORT_OFFSET);
        const whole = { service: "model", stage: routing.EngineStage.Whole };
        await fixture.addStandIn("one");
        await fixture.addStandIn("other");
        await fixture.addStandIn("engine", whole);
        await fixture.addStandIn("spare", whole);
        await fixture.start(fixtures.makeConfiguration());
    });
    beforeEach(() => fixture.standIns.forEach(({ received }) => received.length = 0));
    after(() => fixture.close());

    for (const status of [408, 429, 503]) {
        for (const path of ["/book/1", "/write/1"]) {
            it(`are not an upstream's own ${status} to ${path}, which says nothing of a run`, async () => {
                serveRuns(failWith(status));
                const response = await fixture.send({ path, headers: PROMPT });
                chai.expect(response.status).to.equal(502);
                chai.expect(response.headers, "a status of this host's own").to.not.have.property("signature");
                chai.expect(response.headers).to.include({ "request-id": "r-1" });
                chai.expect(runs().length).to.equal(1);
            });
        }

        for (const path of ["/look/1", "/resume/1"]) {
            it(`may be an upstream's own ${status} to ${path}, which may run again`, async () => {
                serveRuns(failWith(status));
                const response = await fixture.send({ path, headers: PROMPT });
                // The engines of a resumable stream are tried in turn, and the response of none is kept.
                const expected = path === "/resume/1" && status === 503 ? 502 : status;
                chai.expect(response.status).to.equal(expected);
                chai.expect(response.headers["signature"]).to.equal(expected === status ? "s" : undefined);
            });
        }
    }

    for (const status of [200, 302]) {
        for (const path of ["/book/1", "/write/1"]) {
            it(`do not rest on a ${status} to ${path} that is marked as not run`, async () => {
                serveRuns(failWith(status, { "not-run": "1", "content-type": "text/event-stream" }));
                chai.expect((await fixture.send({ path, headers: PROMPT })).status).to.equal(502);
                chai.expect(runs().length).to.equal(1);
            });
        }
    }

    for (const [name, headers] of [["marked refusal", { "not-run": "1" }], ["421", {}]] as const) {
        it(`do not rest on a ${name} that names another request`, async () => {
            const status = name === "421" ? 421 : 503;
            serveRuns((_, response) => response.writeHead(status, { ...headers, "request-id": "r-2" }).end());
            for (const path of ["/book/1", "/write/1"]) {
                chai.expect((await fixture.send({ path, headers: PROMPT })).status).to.equal(502);
            }
            chai.expect(runs().length).to.equal(2);
        });
    }

    it("do not rest on a refused reservation whose answer comes late, for requests without an id", async () => {
        const usedForControl = new Set<net.Socket>();
        fixture.standIns.forEach((standIn) =>
            standIn.behave = (received, response, request) => {
                if (!isRun(received)) {
                    usedForControl.add(request.socket);
                    response.end(fixtures.grantReservation());
                }
                else if (usedForControl.has(request.socket)) {
                    request.socket.write(UNNAMED_REFUSAL);
                }
                else {
                    response.writeHead(200, { signature: "s" }).end(EVENTS);
                }
            }
        );
        for (let sent = 1; sent <= 3; sent++) {
            const caller = new testing.RawCaller(testing.testPortBase(PORT_OFFSET));
            caller.socket.write(
                "GET /write/1 HTTP/1.1\r\nHost: shop.example\r\nkey: key-1\r\nprompt-tokens: 500\r\n"
                    + "output-tokens: 100\r\nConnection: close\r\n\r\n",
            );
            await caller.closed;
            chai.expect(runs().length).to.equal(sent);
            chai.expect(caller.responses[0]?.status).to.equal(200);
        }
    });
});

// Guards against promises of another host that are not about the request, or are an upstream's own.
describe("Promises of a gateway that relays requests", () => {
    const fixture = new fixtures.Fixture(RELAY_PORT_OFFSET);
    const others: fixtures.StandIn[] = [];
    const answer = (behave: fixtures.Behaviour) => {
        others.forEach((other) => {
            other.received.length = 0;
            other.behave = behave;
        });
        return fixture.send();
    };
    const asked = () => others.flatMap(({ received }) => received).length;
    const refusal = (reason: string) => ({ [REFUSAL]: JSON.stringify({ reason }) });

    before(async () => {
        const unreachable = await fixture.addStandIn("u-1");
        unreachable.upstream = { ...unreachable.upstream, address: "127.0.0.1:9" };
        for (const id of ["host-2", "host-3"]) {
            others.push(await fixture.addStandIn(id));
            fixture.standIns.pop();
        }
        fixture.hosts.push(...others.map(({ upstream }) => upstream.address));
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    it("rest on another host's refusal that names the request", async () => {
        chai.expect((await answer((_, response) => void response.writeHead(429, refusal("overQuota")).end())).status)
            .to.equal(429);
    });

    it("are not an upstream's own status that a host of a former release passes on", async () => {
        for (const status of [408, 429, 503]) {
            const response = await answer((_, sent) => void sent.writeHead(status, { signature: "s" }).end("full"));
            chai.expect(response.status).to.equal(502);
            chai.expect(response.headers).to.not.have.property("signature");
            chai.expect(asked()).to.equal(1);
        }
    });

    for (const reason of ["unreachable", "overQuota"]) {
        it(`do not rest on another host's refusal (${reason}) that names another request`, async () => {
            const behave: fixtures.Behaviour = (_, response) =>
                void response.writeHead(503, { ...refusal(reason), "request-id": "r-2" }).end();
            chai.expect((await answer(behave)).status).to.equal(502);
            chai.expect(asked()).to.equal(1);
        });
    }
});
