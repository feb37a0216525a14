import * as lifecycle from "@citronlead/lifecycle";
import * as routing from "@citronlead/routing";
import * as chai from "chai";
import * as net from "node:net";
import * as threads from "node:worker_threads";
import * as fixtures from "./fixture.js";

const PORT_OFFSET = 4_740;
const PROMPT = { "prompt-tokens": "500", "output-tokens": "100" };
const PATIENCE_MS = 400;
const LONG_TIMEOUT_MS = 20_000;
const SETTLE_MS = 100;
const EVENTS = "id: 1\ndata: a\n\n";

/** Listens and stands still until it is woken, then tells of what it is sent. */
const STALLED_SERVER = `
    const { parentPort, workerData } = require("node:worker_threads");
    const server = require("node:net").createServer((socket) =>
        socket.on("error", () => undefined).on("data", (bytes) => parentPort.postMessage(String(bytes)))
    ).listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
        parentPort.postMessage(server.address().port);
        setImmediate(() => Atomics.wait(workerData, 0, 0));
    });`;

/** Opens a port at which no connection is established, as its queue is full, until it is woken. */
async function openFullPort(scope: lifecycle.Scope) {
    const state = new Int32Array(new SharedArrayBuffer(4));
    const worker = new threads.Worker(STALLED_SERVER, { eval: true, workerData: state });
    const port = await new Promise<number>((resolve) => worker.once("message", resolve));
    const arrived: string[] = [];
    worker.on("message", (text: string) => arrived.push(text));
    const fillers = Array.from(
        { length: 8 },
        () => net.connect({ host: "127.0.0.1", port }).on("error", () => undefined),
    );
    scope.defer(async () => {
        fillers.forEach((filler) => filler.destroy());
        await worker.terminate();
    });
    await lifecycle.pause(scope, SETTLE_MS);
    const wake = () => {
        Atomics.store(state, 0, 1);
        Atomics.notify(state, 0);
    };
    return { port, arrived, wake };
}

// Guards against promises that leave at the deadline, a stop or a refusal while a send may still run the request.
describe("At each exit, a gateway", () => {
    let fixture: fixtures.Fixture;
    let plain: fixtures.StandIn[];
    let prefill: fixtures.StandIn;
    let decode: fixtures.StandIn;
    let host: fixtures.StandIn;
    let ran: string[];

    const run: fixtures.Behaviour = (received, response) => {
        ran.push(received.path);
        fixtures.signed(response, received, EVENTS);
    };
    const hang: fixtures.Behaviour = (received) => void ran.push(received.path);
    const refuse: fixtures.Behaviour = (_, response) => void response.writeHead(503, { "not-run": "1" }).end();
    const send = (path: string, patienceMs = PATIENCE_MS) =>
        fixture.send({ path, headers: { ...PROMPT, patience: String(patienceMs) } });
    const sendAndStop = async (path: string) => {
        const sent = send(path, LONG_TIMEOUT_MS);
        await lifecycle.pause(fixture.scope, SETTLE_MS);
        void fixture.stop();
        return sent;
    };

    beforeEach(async () => {
        fixture = new fixtures.Fixture(PORT_OFFSET);
        ran = [];
        plain = [await fixture.addStandIn("one"), await fixture.addStandIn("other")];
        prefill = await fixture.addStandIn("prefill", { service: "model", stage: routing.EngineStage.Prefill });
        decode = await fixture.addStandIn("decode", { service: "model", stage: routing.EngineStage.Decode });
        host = await fixture.addStandIn("host-2");
        fixture.standIns.pop();
        fixture.standIns.forEach((standIn) => standIn.behave = fixtures.engineThatRuns(run));
    });
    afterEach(() => fixture.close());

    const start = (change: Partial<routing.Route> = {}) => {
        const configuration = fixtures.makeConfiguration();
        const routes = configuration.routes.map((route) => ({ ...route, ...change }));
        return fixture.start({ ...configuration, routes });
    };
    const onPrefill = (behave: fixtures.Behaviour) => {
        prefill.behave = (received, response, request) =>
            received.headers["stage"] === "prefill"
                ? behave(received, response, request)
                : void response.end("{}");
    };
    const unreach = () => {
        for (const standIn of plain) {
            standIn.upstream = { ...standIn.upstream, address: "127.0.0.1:9" };
        }
        fixture.hosts.push(host.upstream.address);
    };

    it("promises at the deadline within a prefill, and decodes nothing afterwards", async () => {
        await start();
        onPrefill((_, response) => void setTimeout(() => response.end(JSON.stringify({ handle: "h" })), PATIENCE_MS));
        chai.expect((await send("/write/1")).status).to.equal(503);
        await lifecycle.pause(fixture.scope, 2 * SETTLE_MS);
        chai.expect(ran).to.deep.equal([]);
    });

    it("decodes nothing for a caller that left within the prefill", async () => {
        await start();
        onPrefill((_, response) => void setTimeout(() => response.end(JSON.stringify({ handle: "h" })), 2 * SETTLE_MS));
        await fixture.send({ path: "/write/1", headers: PROMPT, disconnectAfterMs: SETTLE_MS });
        await lifecycle.pause(fixture.scope, 3 * SETTLE_MS);
        chai.expect(ran).to.deep.equal([]);
    });

    for (const path of ["/book/1", "/write/1"]) {
        it(`promises nothing of ${path} at the deadline or a stop within a run`, async () => {
            await start({ timeoutMs: LONG_TIMEOUT_MS });
            fixture.standIns.forEach((standIn) => standIn.behave = fixtures.engineThatRuns(hang));
            onPrefill((_, response) => void response.end(JSON.stringify({ handle: "h" })));
            chai.expect((await send(path)).status).to.equal(504);
            chai.expect((await sendAndStop(path)).status).to.equal(502);
            chai.expect(ran).to.deep.equal([path, path]);
        });

        it(`sends ${path} again after a refusal whose body does not end, or that comes after interim responses`, async () => {
            await start();
            const refusals: fixtures.Behaviour[] = [
                (_, response) => void response.writeHead(503, { "not-run": "1" }).write("half"),
                (received, response, request) => {
                    response.writeContinue();
                    response.writeProcessing();
                    refuse(received, response, request);
                },
            ];
            for (const refusal of refusals) {
                let isFirst = true;
                fixture.standIns.forEach((standIn) =>
                    standIn.behave = fixtures.engineThatRuns((received, response, request) => {
                        const behave = isFirst && received.headers["stage"] === undefined ? refusal : run;
                        isFirst &&= behave === run;
                        behave(received, response, request);
                    })
                );
                onPrefill((_, response) => void response.end(JSON.stringify({ handle: "h" })));
                chai.expect((await send(path, 3_000)).status).to.equal(200);
            }
            chai.expect(ran).to.deep.equal([path, path]);
        });
    }

    it("promises at the deadline within the wait for a warm-up turn, and sends nothing afterwards", async () => {
        decode.upstream = { ...decode.upstream, stage: routing.EngineStage.Whole, startedAt: Date.now() };
        const configuration = fixtures.makeConfiguration();
        const warmUp = { durationMs: 10_000, requestsPerSecond: 1 };
        await fixture.start({
            ...configuration,
            services: configuration.services.map((service) => ({ ...service, warmUp })),
        });
        const ids = Array.from({ length: 40 }, (_, index) => `r-${index}`);
        const statuses = await Promise.all(
            ids.map(async (id) => {
                const headers = { ...PROMPT, "patience": "500", "request-id": id };
                return (await fixture.send({ path: `/write/${id}`, headers })).status;
            }),
        );
        await lifecycle.pause(fixture.scope, 8 * SETTLE_MS);
        chai.expect(statuses).to.include(503);
        chai.expect(ran).to.have.members(ids.filter((_, index) => statuses[index] === 200).map((id) => `/write/${id}`));
    });

    it("promises at the deadline or a stop while it connects only if nothing is sent later", async () => {
        const full = await openFullPort(fixture.scope);
        for (const standIn of plain) {
            standIn.upstream = { ...standIn.upstream, address: `127.0.0.1:${full.port}` };
        }
        await start({ timeoutMs: LONG_TIMEOUT_MS });
        const statuses = [
            (await send("/book/1", 2 * SETTLE_MS)).status,
            (await send("/book/2")).status,
            (await sendAndStop("/book/3")).status,
        ];
        full.wake();
        await lifecycle.pause(fixture.scope, 10 * SETTLE_MS);
        chai.expect(statuses).to.not.include(200);
        for (const [index, status] of statuses.entries()) {
            const hasArrived = full.arrived.join("").includes(`/book/${index + 1}`);
            chai.expect(hasArrived && status === 503, `/book/${index + 1}, ${status}`).to.equal(false);
        }
    });

    it("promises nothing at the deadline or a stop within another host's work on the request", async () => {
        unreach();
        host.behave = hang;
        await start({ timeoutMs: LONG_TIMEOUT_MS });
        chai.expect((await send("/book/1")).status).to.equal(504);
        chai.expect((await sendAndStop("/book/1")).status).to.equal(502);
        chai.expect(ran.length).to.equal(2);
    });

    it("promises nothing after a lost run and a refused one, whatever the route allows", async () => {
        await start({ maxAttempts: 3 });
        for (const path of ["/look/1", "/resume/1"]) {
            let count = 0;
            fixture.standIns.forEach((standIn) =>
                standIn.behave = fixtures.engineThatRuns((received, response, request) => {
                    if (received.headers["stage"] !== undefined || count++ > 0) {
                        refuse(received, response, request);
                        return;
                    }
                    request.socket.destroy();
                })
            );
            chai.expect((await send(path, 3_000)).status).to.equal(502);
            chai.expect(count).to.be.above(1);
        }
    });

    it("promises nothing of a request that is barred once it may have run", async () => {
        await start({ maxAttempts: 10 });
        fixture.standIns.forEach((standIn) =>
            standIn.behave = fixtures.engineThatRuns((_received, _response, request) => void request.socket.destroy())
        );
        const responses = [];
        for (let count = 0; count < 6; count++) {
            responses.push(await fixture.send({ path: "/look/1", headers: { "request-id": `r-${count}` } }));
        }
        const promised = responses.filter(({ status }) => status === 503);
        const reached = new Set(plain.flatMap(({ received }) => received).map(({ headers }) => headers["request-id"]));
        promised.forEach(({ headers }) => chai.expect([...reached]).to.not.include(headers["request-id"]));
        chai.expect(responses.map(({ status }) => status)).to.include(502);
    });
});
