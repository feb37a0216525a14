import * as chai from "chai";
import * as fixtures from "./fixture.js";

/** Header in which hosts tell each other of a relayed request, and of its refusal. */
const REQUEST = "citronlead-relay-request";
const REFUSAL = "citronlead-relay-refusal";

describe("A host that cannot reach any upstream", () => {
    const fixture = new fixtures.Fixture(3_200);
    const others: fixtures.StandIn[] = [];
    const refuse = (status: number, reason: string, retryAfterMs?: number): fixtures.Behaviour => (_, response) => {
        response.writeHead(status, { [REFUSAL]: JSON.stringify({ reason, retryAfterMs }) }).end();
    };
    const serve: fixtures.Behaviour = (received, response) => fixtures.signed(response, received, "from elsewhere");
    const send = (headers: Record<string, string> = {}) => {
        others.forEach(({ received }) => received.length = 0);
        return fixture.send({ method: "POST", body: "order", headers: { patience: "900", ...headers } });
    };
    const received = () => others.flatMap((other) => other.received);

    before(async () => {
        for (const id of ["u-1", "u-2", "u-3"]) {
            const standIn = await fixture.addStandIn(id);
            standIn.upstream = { ...standIn.upstream, address: "127.0.0.1:9" };
        }
        for (const id of ["host-2", "host-3"]) {
            const other = await fixture.addStandIn(id);
            fixture.standIns.pop();
            others.push(other);
            fixture.hosts.push(other.upstream.address);
        }
        await fixture.start(fixtures.makeConfiguration());
    });
    after(() => fixture.close());

    it("hands a request over as it came, with the time that is left, and relays the response", async () => {
        others.forEach((other) => other.behave = serve);
        const response = await send({ other: "value", [REQUEST]: "forged" });
        chai.expect(response).to.include({ status: 200, body: "from elsewhere", complete: true });
        chai.expect(received().length).to.equal(1);
        const [{ method, path, body, headers }] = received() as [fixtures.Received];
        chai.expect({ method, path, body }).to.deep.equal({ method: "POST", path: "/book/1", body: "order" });
        chai.expect(headers).to.include({ "key": "key-1", "request-id": "r-1", "other": "value" });
        const relayed = JSON.parse(String(headers[REQUEST])) as { timeLeftMs: number; configuration: number; };
        chai.expect(relayed.timeLeftMs).to.be.within(1, 900);
        chai.expect(relayed.configuration).to.equal(1);
    });

    it("asks another host if one cannot serve it, and passes on what a host decides", async () => {
        const [first, second] = others as [fixtures.StandIn, fixtures.StandIn];
        first.behave = refuse(503, "unreachable");
        second.behave = serve;
        const statuses = [(await send()).status, (await send()).status];
        chai.expect(statuses).to.deep.equal([200, 200]);
        second.behave = refuse(429, "overQuota", 700);
        chai.expect(await send()).to.include({ status: 429 }).and.to.have.nested.property("headers.retry-after", "700");
    });

    it("asks another host if one stops and has not run the request, and only then", async () => {
        const [first, second] = others as [fixtures.StandIn, fixtures.StandIn];
        second.behave = serve;
        first.behave = refuse(503, "hostStopping", 50);
        chai.expect([(await send()).status, (await send()).status]).to.deep.equal([200, 200]);
        others.forEach((other) => other.behave = refuse(502, "hostStopping", 50));
        chai.expect((await send()).status).to.equal(502);
        chai.expect(received().length).to.equal(1);
    });

    it("promises nothing if the other host's response is lost", async () => {
        others.forEach((other) => other.behave = (_, __, request) => request.socket.resetAndDestroy());
        chai.expect((await send()).status).to.equal(502);
        chai.expect(received().length).to.equal(1);
    });

    it("breaks off a response that the other host breaks off", async () => {
        others.forEach((other) =>
            other.behave = (_, response, request) => {
                response.writeHead(200, { "request-id": "r-1", "signature": "s" });
                response.write("half");
                setTimeout(() => request.socket.resetAndDestroy(), 30);
            }
        );
        chai.expect(await send()).to.include({ status: 200, body: "half", complete: false });
    });

    it("does not relay a relayed request again, and serves none under an older configuration", async () => {
        others.forEach((other) => other.behave = serve);
        const relay = (configuration: number) =>
            fixture.send({
                port: fixture.settings.peers.port,
                headers: { [REQUEST]: JSON.stringify({ timeLeftMs: 900, configuration }) },
            });
        others.forEach((other) => other.received.length = 0);
        const [same, newer] = [await relay(1), await relay(2)];
        chai.expect([same.status, newer.status]).to.deep.equal([503, 503]);
        chai.expect(String(same.headers[REFUSAL])).to.contain("unreachable");
        chai.expect(String(newer.headers[REFUSAL])).to.contain("notReady");
        chai.expect(received()).to.deep.equal([]);
    });
});
