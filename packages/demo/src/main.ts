import * as lifecycle from "@citronlead/lifecycle";
import * as commander from "commander";
import * as path from "node:path";
import * as fleets from "./fleet.js";
import * as processes from "./processes.js";

const DOSSIER = "Lot 7 of the quarry: fine grain, hardness even over the block, one flaw near the northern edge. "
    .repeat(40);

/** Prints whether a check of the demo passed. Returns the same. */
function reportCheck(check: string, passed: boolean): boolean {
    process.stdout.write(`${passed ? "ok  " : "FAIL"} ${check}\n`);
    return passed;
}

async function grantKey(fleet: fleets.RunningFleet): Promise<string> {
    const result = await fleet.runCitronlead("keys", "grant", "guild", "demo", "--json");
    return (JSON.parse(result.output) as { key: string; }).key;
}

async function streamSummary(router: fleets.FleetRouter, key: string): Promise<boolean> {
    const response = await fetch(`${router.callerAddress}/v1/chat/completions`, {
        method: "POST",
        headers: { "authorization": `Bearer ${key}`, "content-type": "application/json" },
        body: JSON.stringify({
            model: "dossierllm",
            stream: true,
            max_tokens: 12,
            messages: [{ role: "user", content: `Summarise: ${DOSSIER}` }],
        }),
    });
    const text = await response.text();
    const events = text.split("\n\n").filter((event) => event.startsWith("data: {"));
    const words = events.map((event) =>
        (JSON.parse(event.slice("data: ".length)) as { choices: { delta: { content?: string; }; }[]; })
            .choices[0]?.delta.content ?? ""
    );
    process.stdout.write(`     ${router.host} streamed: ${words.join("")}\n`);
    const requestId = response.headers.get("x-request-id") ?? "";
    const explained = await fetch(`${router.controlAddress}/explain/${requestId}`);
    const { steps } = await explained.json() as { steps: { hop: string; decision: string; }[]; };
    steps.forEach((step) => process.stdout.write(`     ${step.hop}: ${step.decision}\n`));
    return response.status === 200 && words.filter((word) => word !== "").length === 12 && text.includes("[DONE]");
}

async function sendEnquiry(router: fleets.FleetRouter, key: string): Promise<boolean> {
    const response = await fetch(`${router.callerAddress}/stock/lot-7`, {
        headers: { authorization: `Bearer ${key}` },
    });
    process.stdout.write(`     ${router.host} answered: ${await response.text()}\n`);
    return response.status === 200;
}

interface OrderResponse {
    readonly status: number;
    readonly replayed: boolean;
    readonly text: string;
}

async function sendOrder(router: fleets.FleetRouter, key: string): Promise<OrderResponse> {
    const response = await fetch(`${router.callerAddress}/orders`, {
        method: "POST",
        headers: {
            "authorization": `Bearer ${key}`,
            "content-type": "application/json",
            "idempotency-key": "demo-order-1",
        },
        body: JSON.stringify({ lot: 7, blocks: 2 }),
    });
    const text = await response.text();
    process.stdout.write(`     ${router.host} answered: ${response.status} ${text}\n`);
    return { status: response.status, replayed: response.headers.get("idempotent-replayed") === "true", text };
}

async function orderTwice(fleet: fleets.RunningFleet, key: string): Promise<boolean> {
    const [first, , second] = fleet.routers;
    if (!first || !second) {
        return false;
    }
    const firstAnswer = await sendOrder(first, key);
    const secondAnswer = await sendOrder(second, key);
    const answer = await fetch(`${fleet.services[0]?.address}/standin/runs`);
    const { runs } = await answer.json() as { runs: { path: string; }[]; };
    const ran = runs.filter((run) => run.path === "/orders").length;
    process.stdout.write(`     the order ran ${ran} time(s)\n`);
    return firstAnswer.status === 200 && secondAnswer.status === 200 && firstAnswer.text === secondAnswer.text
        && secondAnswer.replayed && ran === 1;
}

async function stopRouters(fleet: fleets.RunningFleet): Promise<boolean> {
    fleet.routers.forEach((router) => router.process.child.kill("SIGTERM"));
    const codes = await Promise.all(fleet.routers.map((router) => router.process.ended));
    return codes.every((code) => code === 0);
}

async function runDemo(scope: lifecycle.Scope, portBase: number): Promise<boolean> {
    const fleet = await fleets.startFleet(scope, { ...fleets.smallFleetOptions, portBase });
    const configuration = path.join(processes.EXAMPLES_DIRECTORY, "pedra-macia.yaml");
    const applied = await fleet.runCitronlead("apply", configuration);
    const results = [reportCheck(`configuration applied: ${applied.output.trim()}`, applied.code === 0)];
    const key = await grantKey(fleet);
    await fleets.waitUntilServing(fleet, 2);
    const [first, second] = fleet.routers;
    if (!first || !second) {
        return false;
    }
    results.push(reportCheck("a dossier summary is streamed", await streamSummary(first, key)));
    results.push(reportCheck("a stock enquiry is answered", await sendEnquiry(second, key)));
    results.push(reportCheck("an order sent twice through two routers runs once", await orderTwice(fleet, key)));
    results.push(reportCheck("every router stops gracefully", await stopRouters(fleet)));
    return results.every((passed) => passed);
}

const program = new commander.Command("demo")
    .description(
        "Runs a small fleet of separate processes and sends a summary request, an enquiry and an order through it.",
    )
    .option("--port-base <port>", "first port of the fleet", Number, fleets.smallFleetOptions.portBase)
    .parse();
const scope = new lifecycle.Scope("demo");
processes.exitOnSignals();
let passed = false;
try {
    passed = await runDemo(scope, program.opts<{ portBase: number; }>().portBase);
}
catch (failure) {
    process.stderr.write(`${String(failure)}\n`);
}
await scope.close();
process.exit(passed ? 0 : 1);
