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
const MARK = "soapstone-marker-7f3a";
const NOTICE_MS = 300;
/** At 5 ms a token a stream lasts several times the notice period. */
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

interface Sent {
    readonly path: string;
    readonly method?: string;
    readonly body?: string;
    readonly headers?: Record<string, string>;
}

function completion(model: string, prompt: string): string {
    return JSON.stringify({ model, stream: true, max_tokens: 4, messages: [{ role: "user", content: prompt }] });
}

/** Requests that end in many ways, each with a mark in what must stay secret. */
function requests(key: string): Sent[] {
    const chat = "/v1/chat/completions";
    return [
        { path: chat, body: completion("dossierllm", MARK) },
        { path: chat, body: completion("dossierllm", `${MARK} crash`) },
        { path: chat, body: completion(MARK, MARK) },
        { path: chat, body: completion("dossierllm", `${MARK} ${key}`) },
        { path: chat, body: completion("dossierllm", MARK), headers: { "x-deadline-ms": "1" } },
        { path: chat, body: `{"${MARK}": ` },
        { path: chat, body: JSON.stringify({ model: "dossierllm", messages: [{ [MARK]: MARK }] }) },
        { path: chat, body: completion("dossierllm", MARK), headers: { authorization: `Bearer ${MARK}` } },
        { path: "/orders", body: MARK, headers: { "idempotency-key": "one" } },
        { path: "/orders", body: `${MARK} other`, headers: { "idempotency-key": "one" } },
        { path: `/stock/lot?search=${MARK}&key=${key}`, method: "GET" },
        { path: `/nowhere/${MARK}`, method: "GET" },
    ];
}

/** Sends one streamed completion over the agent's connections and says what is missing from its answer, if anything. */
function stream(router: fleets.FleetRouter, key: string, tokens: number, agent: http.Agent): Promise<string> {
    return new Promise((resolve) => {
        const request = http.request(`${router.callers}/v1/completions`, {
            method: "POST",
            agent,
            headers: { authorization: `Bearer ${key}` },
        });
        request.on("error", (error) => resolve(`${router.host}: ${String(error)}`));
        request.on("response", (response) => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", (piece: string) => text += piece);
            response.on("error", (error) => resolve(`${router.host}: ${String(error)}`));
            response.on("end", () => {
                const received = text.split("\n\n").filter((event) => event.includes('"finish_reason":null')).length;
                const whole = received === tokens && text.endsWith("data: [DONE]\n\n");
                resolve(whole ? "" : `${router.host}: status ${response.statusCode}, ${received} tokens`);
            });
        });
        request.end(JSON.stringify({ model: "dossierllm", prompt: "lot 7", max_tokens: tokens, stream: true }));
    });
}

/** Sends short requests at a fixed rate, whatever becomes of the former ones, until it is stopped. */
function startLoad(routers: readonly fleets.FleetRouter[], key: string): () => Promise<readonly string[]> {
    const answers: Promise<string>[] = [];
    const agent = new http.Agent({ keepAlive: true });
    const timer = setInterval(() => {
        const router = routers[answers.length % routers.length];
        if (router) {
            answers.push(stream(router, key, 3, agent));
        }
    }, LOAD_PERIOD_MS);
    return async () => {
        clearInterval(timer);
        const problems = await Promise.all(answers);
        agent.destroy();
        return problems;
    };
}

async function isReady(router: fleets.FleetRouter): Promise<boolean> {
    return (await fetch(`${router.control}/readyz`)).status === 200;
}

/** Whether a router that was started again answers requests. */
async function isServing(router: fleets.FleetRouter, key: string): Promise<boolean> {
    return await isReady(router) && await stream(router, key, 1, new http.Agent()) === "";
}

describe("a fleet of processes", () => {
    const scope = new lifecycle.Lifecycle("test");
    let fleet: fleets.RunningFleet;
    let key: string;
    before(async () => {
        const routerSettings = `stop: { noticePeriod: ${NOTICE_MS}ms }\nlog: { level: debug }\n`;
        const portBase = testing.testPortBase(PORT_OFFSET);
        fleet = await fleets.startFleet(scope, { ...fleets.smallFleet, portBase, routerSettings });
        await fleet.operate("apply", path.join(processes.EXAMPLES, "pedra-macia.yaml"));
        const granted = await fleet.operate("keys", "grant", "guild", "test", "--json");
        key = (JSON.parse(granted.output) as { key: string; }).key;
        await fleets.waitUntilServing(fleet, 2);
    });
    after(() => scope.close());

    it("shows no key and no prompt in logs, metrics, explanations and refusals, and upstreams no key", async () => {
        const [router] = fleet.routers;
        chai.assert(router);
        const shown: string[] = [];
        const outcomes: string[] = [];
        for (const sent of requests(key)) {
            const response = await fetch(router.callers + sent.path, {
                method: sent.method ?? "POST",
                body: sent.body,
                headers: { authorization: `Bearer ${key}`, ...sent.headers },
            });
            const text = await response.text();
            outcomes.push(`${response.status}`);
            shown.push(response.ok ? "" : text);
            const requestId = response.headers.get("x-request-id") ?? "";
            const explained = await fetch(`${router.control}/explain/${requestId}`);
            chai.expect(explained.status).to.equal(200);
            shown.push(await explained.text());
        }
        shown.push(await (await fetch(`${router.control}/metrics`)).text());
        shown.push(await (await fetch(`${router.control}/status`)).text());
        shown.push(...router.process.lines);
        const lines = router.process.lines.filter((line) => line.includes('"msg":"request"'));
        chai.expect(lines).to.have.length(outcomes.length);
        chai.expect(new Set(outcomes).size, outcomes.join()).to.be.greaterThan(5);
        shown.forEach((text) => {
            chai.expect(text).not.to.contain(MARK);
            chai.expect(text).not.to.contain(key);
        });
        const runs = await (await fetch(`${fleet.services[0]?.address}/standin/runs`)).text();
        chai.expect(runs).to.contain(MARK);
        chai.expect(runs).not.to.contain(key);
        const answered = lines.map((line) => JSON.parse(line) as Record<string, unknown>)[0];
        chai.expect(answered).to.include({ workspace: "guild", class: "assessments", outcome: "answered" });
        chai.expect(answered?.["upstreams"]).to.have.length(2);
        chai.expect(answered?.["firstTokenMs"]).to.be.greaterThan(0);
        chai.expect(answered?.["queueingMs"]).to.be.at.least(0);
    });

    it("is driven by the load tool, which reports how it was served", async () => {
        const file = path.join(os.tmpdir(), `citronlead-keys-${process.pid}.yaml`);
        fs.writeFileSync(file, `guild: ${key}\n`);
        const mix = path.join(os.tmpdir(), `citronlead-mix-${process.pid}.yaml`);
        fs.writeFileSync(mix, MIX);
        const routers = fleet.routers.flatMap((router) => ["--router", router.callers]);
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
        const result = await processes.runCommand([processes.COMMAND, ...load]);
        [file, mix].forEach((one) => fs.rmSync(one));
        chai.expect(result.code, result.errors).to.equal(0);
        const report = JSON.parse(result.output) as { sent: number; outcomes: Record<string, number>; };
        chai.expect(report.sent).to.equal(20);
        // Only the guild's key is in the file.
        chai.expect(report.outcomes["unauthenticated"]).to.be.greaterThan(0);
        chai.expect(report.outcomes["answered"]).to.be.greaterThan(0);
        chai.expect(report.outcomes).not.to.have.property("broken");
    });

    it("cuts off no request when each router in turn stops gracefully under load", async () => {
        const problems: string[] = [];
        for (const router of fleet.routers) {
            let running = router.process;
            const stopLoad = startLoad(fleet.routers.filter((other) => other !== router), key);
            const agent = new http.Agent({ keepAlive: true });
            const streams = Array.from({ length: STREAMS }, () => stream(router, key, STREAM_TOKENS, agent));
            await new Promise((resolve) => setTimeout(resolve, 100));
            running.child.kill("SIGTERM");
            await fleets.waitUntil("the router to say that it is not ready", async () => !await isReady(router));
            // The balancer may not have noticed yet.
            streams.push(stream(router, key, STREAM_TOKENS, agent));
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
