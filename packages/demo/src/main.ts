import * as lifecycle from "@citronlead/lifecycle";
import * as commander from "commander";
import * as path from "node:path";
import * as fleets from "./fleet.js";
import * as processes from "./processes.js";

const DOSSIER = "Lot 7 of the quarry: fine grain, hardness even over the block, one flaw near the northern edge. "
    .repeat(40);

/** Something that the demo claims, and whether it held. */
function report(claim: string, held: boolean): boolean {
    process.stdout.write(`${held ? "ok  " : "FAIL"} ${claim}\n`);
    return held;
}

async function grantKey(fleet: fleets.RunningFleet): Promise<string> {
    const result = await fleet.operate("keys", "grant", "guild", "demo", "--json");
    return (JSON.parse(result.output) as { key: string; }).key;
}

async function streamSummary(router: fleets.FleetRouter, key: string): Promise<boolean> {
    const response = await fetch(`${router.callers}/v1/chat/completions`, {
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
    const explained = await fetch(`${router.control}/explain/${requestId}`);
    const { steps } = await explained.json() as { steps: { hop: string; decision: string; }[]; };
    steps.forEach((step) => process.stdout.write(`     ${step.hop}: ${step.decision}\n`));
    return response.status === 200 && words.filter((word) => word !== "").length === 12 && text.includes("[DONE]");
}

async function enquire(router: fleets.FleetRouter, key: string): Promise<boolean> {
    const response = await fetch(`${router.callers}/stock/lot-7`, { headers: { authorization: `Bearer ${key}` } });
    process.stdout.write(`     ${router.host} answered: ${await response.text()}\n`);
    return response.status === 200;
}

interface OrderAnswer {
    readonly status: number;
    readonly replayed: boolean;
    readonly text: string;
}

async function order(router: fleets.FleetRouter, key: string): Promise<OrderAnswer> {
    const response = await fetch(`${router.callers}/orders`, {
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
    const one = await order(first, key);
    const two = await order(second, key);
    const answer = await fetch(`${fleet.services[0]?.address}/standin/runs`);
    const { runs } = await answer.json() as { runs: { path: string; }[]; };
    const ran = runs.filter((run) => run.path === "/orders").length;
    process.stdout.write(`     the order ran ${ran} time(s)\n`);
    return one.status === 200 && two.status === 200 && one.text === two.text && two.replayed && ran === 1;
}

async function stopRouters(fleet: fleets.RunningFleet): Promise<boolean> {
    fleet.routers.forEach((router) => router.process.child.kill("SIGTERM"));
    const codes = await Promise.all(fleet.routers.map((router) => router.process.ended));
    return codes.every((code) => code === 0);
}

async function demonstrate(scope: lifecycle.Lifecycle, portBase: number): Promise<boolean> {
    const fleet = await fleets.startFleet(scope, { ...fleets.smallFleet, portBase });
    const configuration = path.join(processes.EXAMPLES, "pedra-macia.yaml");
    const applied = await fleet.operate("apply", configuration);
    const results = [report(`configuration applied: ${applied.output.trim()}`, applied.code === 0)];
    const key = await grantKey(fleet);
    await fleets.waitUntilServing(fleet, 2);
    const [first, second] = fleet.routers;
    if (!first || !second) {
        return false;
    }
    results.push(report("a dossier summary is streamed", await streamSummary(first, key)));
    results.push(report("a stock enquiry is answered", await enquire(second, key)));
    results.push(report("an order sent twice through two routers runs once", await orderTwice(fleet, key)));
    results.push(report("every router stops gracefully", await stopRouters(fleet)));
    return results.every((held) => held);
}

const program = new commander.Command("demo")
    .description("Runs a small fleet in separate processes and sends a summary, an enquiry and an order through it.")
    .option("--port-base <port>", "first port of the fleet", Number, fleets.smallFleet.portBase)
    .parse();
const scope = new lifecycle.Lifecycle("demo");
processes.exitOnSignals();
let held = false;
try {
    held = await demonstrate(scope, program.opts<{ portBase: number; }>().portBase);
}
catch (failure) {
    process.stderr.write(`${String(failure)}\n`);
}
await scope.close();
process.exit(held ? 0 : 1);
