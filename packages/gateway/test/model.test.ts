import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as fixtures from "./fixture.js";

const PROMPT = { "prompt-tokens": "500", "output-tokens": "100" };

/** Ids of the reservations that each engine has granted, oldest first. */
const granted = new Map<string, string[]>();

/** Accepts reservations and prefills, and streams the given events. */
function engine(name: string, events: readonly string[]): fixtures.Behaviour {
    const ids = granted.get(name) ?? [];
    granted.set(name, ids);
    return (received, response) => {
        if (received.path === "/reserve") {
            ids.push(`${name}-reservation-${ids.length}`);
            response.end(JSON.stringify({ id: ids.at(-1) }));
        }
        else if (received.headers["stage"] === "prefill") {
            response.writeHead(200, { "request-id": "r-1" }).end(JSON.stringify({ handle: `${name}-handle` }));
        }
        else if (received.method === "DELETE") {
            response.end();
        }
        else {
            response.writeHead(200, { "request-id": "r-1", "signature": name, "content-type": "text/event-stream" });
            events.forEach((event) => response.write(event));
            response.end();
        }
    };
}

describe("Model engines through the gateway", () => {
    const fixture = new fixtures.Fixture(2_200);
    let prefill: fixtures.StandIn;
    let decode: fixtures.StandIn;
    let spare: fixtures.StandIn;
    const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];
    const paths = (standIn: fixtures.StandIn) => standIn.received.map(({ method, path }) => `${method} ${path}`);
    const runs = (standIn: fixtures.StandIn) => standIn.received.filter(({ path }) => path.startsWith("/write/"));

    before(async () => {
        const stage = (value: routing.EngineStage) => ({ service: "model", stage: value });
        prefill = await fixture.addStandIn("prefill", stage(routing.EngineStage.Prefill));
        decode = await fixture.addStandIn("decode", stage(routing.EngineStage.Decode));
        spare = await fixture.addStandIn("spare", stage(routing.EngineStage.Decode));
        await fixture.start(fixtures.makeConfiguration());
    });
    beforeEach(() => {
        for (const [standIn, name] of [[prefill, "prefill"], [decode, "decode"], [spare, "spare"]] as const) {
            standIn.received.length = 0;
            standIn.behave = engine(name, events);
        }
    });
    after(() => fixture.close());

    const full: fixtures.Behaviour = (_, response) => response.writeHead(503, { "not-run": "1" }).end();
    /** Leaves capacity at only the given decode engine. */
    const only = (standIn: fixtures.StandIn) => {
        (standIn === decode ? spare : decode).behave = full;
    };

    /** How the decode engine responds to runs; it accepts reservations as before. */
    const onRun = (behave: fixtures.Behaviour) => {
        const respond = engine("decode", events);
        decode.behave = (received, response, request) =>
            (received.path.startsWith("/write/") ? behave : respond)(received, response, request);
    };

    it("asks for the duty of ordering stages once, though two servers share the handler", async () => {
        await new Promise((resolve) => setTimeout(resolve, 1_200));
        chai.expect(fixture.dutyCalls).to.equal(1);
    });

    it("reserves memory, runs the prefill at another engine and decodes from its handle", async () => {
        only(decode);
        const response = await fixture.send({ path: "/write/1", method: "POST", body: "prompt", headers: PROMPT });
        chai.expect(response).to.include({ status: 200, body: events.join(""), complete: true });
        chai.expect(paths(prefill)).to.deep.equal(["POST /write/1"]);
        chai.expect(runs(decode)[0]?.headers).to.include({
            source: `${prefill.upstream.address}/prefill-handle`,
            reservation: granted.get("decode")?.at(-1),
        });
        chai.expect(runs(decode)[0]?.body).to.equal("prompt");
    });

    it("lets the decode engine run the prefill when no prefill engine accepts it", async () => {
        only(decode);
        prefill.behave = full;
        const response = await fixture.send({ path: "/write/1", headers: PROMPT });
        chai.expect(response.status).to.equal(200);
        chai.expect(runs(decode)[0]?.headers).to.not.have.property("source");
    });

    it("refuses with Retry-After if no engine has capacity in time, and runs no prefill", async () => {
        decode.behave = full;
        spare.behave = full;
        const response = await fixture.send({ path: "/write/1", headers: PROMPT });
        chai.expect(response.status).to.equal(503);
        chai.expect(Number(response.headers["retry-after"])).to.be.above(0);
        chai.expect(response.tookMs).to.be.below(2_500);
        chai.expect(prefill.received).to.deep.equal([]);
    });

    it("waits for capacity that is freed within the latency target", async () => {
        decode.behave = full;
        spare.behave = full;
        setTimeout(() => {
            decode.behave = engine("decode", events);
        }, 100);
        chai.expect((await fixture.send({ path: "/write/1", headers: PROMPT })).status).to.equal(200);
    });

    it("aborts a broken stream that cannot be resumed and does not run it again", async () => {
        only(decode);
        onRun((_, response, request) => {
            response.writeHead(200, { "request-id": "r-1", "signature": "decode" });
            response.write(`${events[0]}id: 2\nda`);
            setTimeout(() => request.socket.resetAndDestroy(), 30);
        });
        const response = await fixture.send({ path: "/write/1", headers: PROMPT });
        chai.expect(response.complete).to.equal(false);
        chai.expect(response.body).to.equal(events[0]);
        chai.expect(runs(decode).length + runs(spare).length).to.equal(1);
    });

    it("ends a stalled stream that sends a byte now and then, and lets a slow one go on", async () => {
        for (const [sent, isSound] of [[["d", "a", "t", "a"], false], [events, true]] as const) {
            only(decode);
            onRun((_, response) => {
                response.writeHead(200, { "request-id": "r-1", "signature": "decode" });
                let count = 0;
                const timer = setInterval(() => {
                    const part = sent[count++];
                    if (part !== undefined) {
                        response.write(part);
                    }
                    else if (isSound) {
                        response.end();
                    }
                }, 700);
                response.on("close", () => clearInterval(timer));
            });
            const response = await fixture.send({ path: "/write/1", headers: PROMPT });
            chai.expect(response.complete && response.status === 200).to.equal(isSound);
            chai.expect(response.tookMs).to.be.below(4_000);
        }
    });

    it("resumes at another engine after the last complete event if the route allows it", async () => {
        const resumed: (string | undefined)[] = [];
        let first = true;
        for (const [standIn, name] of [[decode, "decode"], [spare, "spare"]] as const) {
            const respond = engine(name, []);
            standIn.behave = (received, response, request) => {
                if (!received.path.startsWith("/resume/")) {
                    respond(received, response, request);
                    return;
                }
                resumed.push(received.headers["last-event-id"] as string | undefined);
                response.writeHead(200, { "request-id": "r-1", "signature": name });
                if (first) {
                    first = false;
                    response.write(`${events[0]}id: 2\nda`);
                    setTimeout(() => request.socket.resetAndDestroy(), 30);
                }
                else {
                    response.end(events.slice(1).join(""));
                }
            };
        }
        const response = await fixture.send({ path: "/resume/1", headers: PROMPT });
        chai.expect(response).to.include({ status: 200, body: events.join(""), complete: true });
        chai.expect(resumed).to.deep.equal([undefined, "1"]);
    });

    it("releases the reservation when the caller has disconnected", async () => {
        only(decode);
        prefill.behave = (received, response) => {
            if (received.method === "DELETE") {
                response.end();
                return;
            }
            setTimeout(() => response.writeHead(200).end(JSON.stringify({ handle: "h" })), 200);
        };
        await fixture.send({ path: "/write/1", headers: PROMPT, disconnectAfterMs: 80 });
        await new Promise((resolve) => setTimeout(resolve, 300));
        chai.expect(runs(decode)).to.deep.equal([]);
        chai.expect(paths(decode)).to.include(`DELETE /reserve/${granted.get("decode")?.at(-1)}`);
    });

    it("sends no request to an engine that began to drain during the prefill", async () => {
        only(decode);
        const { upstream } = decode;
        prefill.behave = (received, response) => {
            if (received.method === "DELETE") {
                response.end();
                return;
            }
            decode.upstream = { ...upstream, state: routing.UpstreamState.Draining };
            spare.behave = engine("spare", events);
            // Longer than the interval between listings of upstreams.
            setTimeout(() => response.writeHead(200).end(JSON.stringify({ handle: "h" })), 1_300);
        };
        const longPrompt = { ...PROMPT, "prompt-tokens": "80000" };
        const response = await fixture.send({ path: "/write/1", headers: longPrompt });
        chai.expect(response).to.include({ status: 200, body: events.join("") });
        chai.expect(runs(decode)).to.deep.equal([]);
        chai.expect(runs(spare)).to.have.length(1);
    });
});
