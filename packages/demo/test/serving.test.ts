import * as lifecycle from "@citronlead/lifecycle";
import * as testing from "@citronlead/testing";
import * as chai from "chai";
import * as fs from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as fleets from "../src/fleet.js";
import * as processes from "../src/processes.js";

const PORT_OFFSET = 1_100;
const SECRET_MARKER = "soapstone-marker-7f3a";
const NOTICE_MS = 300;
/** At 5 ms per token, a stream lasts several times as long as the notice period. */
const STREAM_TOKENS = 160;
const STREAMS = 4;
const LOAD_PERIOD_MS = 25;
const MIX = `
name: short
firstTokenTarget: 2s
betweenTokensTarget: 60ms
workspaces: { guild: 1, nobody: 1 }
requests:
  - kind: completion
    share: 2
    model: dossierllm
    promptTokens: { median: 200, spread: 0.5, least: 50, most: 1000 }
    outputTokens: { median: 10, least: 1, most: 20 }
  - { kind: call, share: 1, method: GET, path: /stock/lot }
`;

interface TestRequest {
    readonly path: string;
    readonly method?: string;
    readonly body?: string;
    readonly headers?: Record<string, string>;
}

function completionBody(model: string, prompt: string): string {
    return JSON.stringify({ model, stream: true, max_tokens: 4, messages: [{ role: "user", content: prompt }] });
}

/** Requests with many different outcomes. Each has the marker in a part that must not be disclosed. */
function makeRequests(key: string): TestRequest[] {
    const chat = "/v1/chat/completions";
    return [
        { path: chat, body: completionBody("dossierllm", SECRET_MARKER) },
        { path: chat, body: completionBody("dossierllm", `${SECRET_MARKER} crash`) },
        { path: chat, body: completionBody(SECRET_MARKER, SECRET_MARKER) },
        { path: chat, body: completionBody("dossierllm", `${SECRET_MARKER} ${key}`) },
        { path: chat, body: completionBody("dossierllm", SECRET_MARKER), headers: { "x-deadline-ms": "1" } },
        { path: chat, body: `{"${SECRET_MARKER}": ` },
        { path: chat, body: JSON.stringify({ model: "dossierllm", messages: [{ [SECRET_MARKER]: SECRET_MARKER }] }) },
        {
            path: chat,
            body: completionBody("dossierllm", SECRET_MARKER),
            headers: { authorization: `Bearer ${SECRET_MARKER}` },
        },
        { path: "/orders", body: SECRET_MARKER, headers: { "idempotency-key": "one" } },
        { path: "/orders", body: `${SECRET_MARKER} other`, headers: { "idempotency-key": "one" } },
        { path: `/stock/lot?search=${SECRET_MARKER}&key=${key}`, method: "GET" },
        { path: `/nowhere/${SECRET_MARKER}`, method: "GET" },
    ];
}

/** Sends a streamed completion. Resolves with a description of what is wrong with its answer, or empty if it is whole. */
function findStreamProblem(
    router: fleets.FleetRouter,
    key: string,
    tokens: number,
    agent: http.Agent,
): Promise<string> {
    return new Promise((resolve) => {
        const request = http.request(`${router.callerAddress}/v1/completions`, {
            method: "POST",
            agent,
            headers: { authorization: `Bearer ${key}` },
        });
        request.on("error", (error) => resolve(`${router.host}: ${String(error)}`));
        request.on("response", (response) => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => text += chunk);
            response.on("error", (error) => resolve(`${router.host}: ${String(error)}`));
            response.on("end", () => {
                const received = text.split("\n\n").filter((event) => event.includes('"finish_reason":null')).length;
                const complete = received === tokens && text.endsWith("data: [DONE]\n\n");
                resolve(complete ? "" : `${router.host}: status ${response.statusCode}, ${received} tokens`);
            });
        });
        request.end(JSON.stringify({ model: "dossierllm", prompt: "lot 7", max_tokens: tokens, stream: true }));
    });
}

/** Sends short requests at a fixed rate without waiting for answers. The result stops it and returns all problems. */
function startLoad(routers: readonly fleets.FleetRouter[], key: string): () => Promise<readonly string[]> {
    const streams: Promise<string>[] = [];
    const agent = new http.Agent({ keepAlive: true });
    const timer = setInterval(() => {
        const router = routers[streams.length % routers.length];
        if (router) {
            streams.push(findStreamProblem(router, key, 3, agent));
        }
    }, LOAD_PERIOD_MS);
    return async () => {
        clearInterval(timer);
        const problems = await Promise.all(streams);
        agent.destroy();
        return problems;
    };
}

async function respondsReady(router: fleets.FleetRouter): Promise<boolean> {
    return (await fetch(`${router.controlAddress}/readyz`)).status === 200;
}

/** Whether a restarted router is ready and answers requests. */
async function isServing(router: fleets.FleetRouter, key: string): Promise<boolean> {
    return await respondsReady(router) && await findStreamProblem(router, key, 1, new http.Agent()) === "";
}

describe("a fleet of processes", () => {
    const scope = new lifecycle.Scope("test");
    let fleet: fleets.RunningFleet;
    let key: string;
    before(async () => {
        const routerSettings = `stop: { noticePeriod: ${NOTICE_MS}ms }\nlog: { level: debug }\n`;
        const portBase = testing.testPortBase(PORT_OFFSET);
        fleet = await fleets.startFleet(scope, { ...fleets.smallFleetOptions, portBase, routerSettings });
        await fleet.runCitronlead("apply", path.join(processes.EXAMPLES_DIRECTORY, "pedra-macia.yaml"));
        const granted = await fleet.runCitronlead("keys", "grant", "guild", "test", "--json");
        key = (JSON.parse(granted.output) as { key: string; }).key;
        await fleets.waitUntilServing(fleet, 2);
    });
    after(() => scope.close());

    it("keeps keys and prompts out of logs, metrics, explanations and refusals, and keys away from upstreams", async () => {
        const [router] = fleet.routers;
        chai.assert(router);
        const disclosed: string[] = [];
        const outcomes: string[] = [];
        for (const request of makeRequests(key)) {
            const response = await fetch(router.callerAddress + request.path, {
                method: request.method ?? "POST",
                body: request.body,
                headers: { authorization: `Bearer ${key}`, ...request.headers },
            });
            const text = await response.text();
            outcomes.push(`${response.status}`);
            disclosed.push(response.ok ? "" : text);
            const requestId = response.headers.get("x-request-id") ?? "";
            const explained = await fetch(`${router.controlAddress}/explain/${requestId}`);
            chai.expect(explained.status).to.equal(200);
            disclosed.push(await explained.text());
        }
        disclosed.push(await (await fetch(`${router.controlAddress}/metrics`)).text());
        disclosed.push(await (await fetch(`${router.controlAddress}/status`)).text());
        disclosed.push(...router.process.lines);
        const lines = router.process.lines.filter((line) => line.includes('"msg":"request"'));
        chai.expect(lines).to.have.length(outcomes.length);
        chai.expect(new Set(outcomes).size, outcomes.join()).to.be.greaterThan(5);
        disclosed.forEach((text) => {
            chai.expect(text).not.to.contain(SECRET_MARKER);
            chai.expect(text).not.to.contain(key);
        });
        const runs = await (await fetch(`${fleet.services[0]?.address}/standin/runs`)).text();
        chai.expect(runs).to.contain(SECRET_MARKER);
        chai.expect(runs).not.to.contain(key);
        const answered = lines.map((line) => JSON.parse(line) as Record<string, unknown>)[0];
        chai.expect(answered).to.include({ workspace: "guild", class: "assessments", outcome: "answered" });
        chai.expect(answered?.["upstreams"]).to.have.length(2);
        chai.expect(answered?.["firstTokenMs"]).to.be.greaterThan(0);
        chai.expect(answered?.["queueingMs"]).to.be.at.least(0);
    });

    it("serves the load tool, which reports the outcomes of its requests", async () => {
        const file = path.join(os.tmpdir(), `citronlead-keys-${process.pid}.yaml`);
        fs.writeFileSync(file, `guild: ${key}\n`);
        const mix = path.join(os.tmpdir(), `citronlead-mix-${process.pid}.yaml`);
        fs.writeFileSync(mix, MIX);
        const routers = fleet.routers.flatMap((router) => ["--router", router.callerAddress]);
        const engines = fleet.prefillEngines.flatMap((engine) => ["--engine", engine.address]);
        const load = [
            "load",
            "--keys",
            file,
            "--mix",
            mix,
            "--rate",
            "20",
            "--count",
            "20",
            "--json",
            ...routers,
            ...engines,
        ];
        const result = await processes.runCommand([processes.CITRONLEAD_PROGRAM, ...load]);
        [file, mix].forEach((one) => fs.rmSync(one));
        chai.expect(result.code, result.errors).to.equal(0);
        const report = JSON.parse(result.output) as { sent: number; outcomes: Record<string, number>; };
        chai.expect(report.sent).to.equal(20);
        // Only the guild's key is in the file.
        chai.expect(report.outcomes["unauthenticated"]).to.be.greaterThan(0);
        chai.expect(report.outcomes["answered"]).to.be.greaterThan(0);
        chai.expect(report.outcomes).not.to.have.property("broken");
    });

    it("breaks no request when the routers stop gracefully one after another under load", async () => {
        const problems: string[] = [];
        for (const router of fleet.routers) {
            let running = router.process;
            const stopLoad = startLoad(fleet.routers.filter((other) => other !== router), key);
            const agent = new http.Agent({ keepAlive: true });
            const streams = Array.from({ length: STREAMS }, () => findStreamProblem(router, key, STREAM_TOKENS, agent));
            await new Promise((resolve) => setTimeout(resolve, 100));
            running.child.kill("SIGTERM");
            await fleets.waitUntil(
                "the router to report that it is not ready",
                async () => !await respondsReady(router),
            );
            // A load balancer may still send requests until it notices that the router is not ready.
            streams.push(findStreamProblem(router, key, STREAM_TOKENS, agent));
            problems.push(...await Promise.all(streams));
            chai.expect(await running.ended).to.equal(0);
            problems.push(...await stopLoad());
            running = await fleets.startRouterProcess(scope, router.settingsFile);
            await fleets.waitUntil("the router to serve again", () => isServing(router, key));
            agent.destroy();
        }
        chai.expect(problems.filter((problem) => problem !== "")).to.deep.equal([]);
        chai.expect(problems.length).to.be.greaterThan(3 * STREAMS);
    }).timeout(120_000);
});
