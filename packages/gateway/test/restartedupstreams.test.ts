import * as chai from "chai";
import type * as net from "node:net";
import * as fixtures from "./fixture.js";

const HEAD = "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nsignature: s\r\n\r\n";
/** Longer than a process takes to start. */
const STANDSTILL_MS = 400;

/** Keeps the event loop busy, as a process that is not scheduled. */
function standStill(): void {
    const endsAt = performance.now() + STANDSTILL_MS;
    while (performance.now() < endsAt) {
        // Nothing else runs.
    }
}

// Guards against parts of answers that look complete since their server is up again when it is asked.
describe("Answers without framing of a server that stops and starts again while the host stands still", () => {
    let fixture: fixtures.Fixture;
    let connections: Set<net.Socket>;

    /** Answers each request with the next text; `after` runs in the same turn. */
    const answer = (text: string, after: () => void) => {
        const [counter] = fixture.standIns as [fixtures.StandIn];
        counter.behave = (received, response, request) => {
            connections.add(request.socket);
            if (received.path === "/health") {
                response.end();
                return;
            }
            // Unlike the end of a stream, this closes the connection before it returns.
            request.socket.write(HEAD + text);
            request.socket.destroy();
            after();
        };
    };
    /** The end of a process closes all of its connections; the next one listens at once. */
    const restart = () => {
        connections.forEach((socket) => socket.destroy());
        standStill();
    };

    beforeEach(async () => {
        fixture = new fixtures.Fixture(4_960);
        connections = new Set();
        await fixture.addStandIn("counter");
        await fixture.start(fixtures.makeConfiguration());
    });
    afterEach(() => fixture.close());

    it("do not look complete if nothing was known of it before", async () => {
        answer("part", restart);
        chai.expect((await fixture.send()).status).to.equal(502);
    });

    it("do not look complete if it has answered without framing before", async () => {
        for (let round = 0; round < 3; round++) {
            answer("whole", () => undefined);
            chai.expect(await fixture.send()).to.include({ status: 200, body: "whole", complete: true });
        }
        answer("part", restart);
        chai.expect((await fixture.send()).status).to.equal(502);
    });

    it("are passed on if it has not stopped, and has answered without framing before", async () => {
        answer("whole", () => undefined);
        chai.expect(await fixture.send()).to.include({ status: 200, body: "whole" });
        answer("whole", standStill);
        for (let round = 0; round < 3; round++) {
            chai.expect(await fixture.send()).to.include({ status: 200, body: "whole", complete: true });
        }
    });
});
