import * as configuration from "@citronlead/configuration";
import * as commander from "commander";
import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import * as plots from "./plot.js";
import * as policies from "./policies.js";
import * as runs from "./run.js";
import * as scenarios from "./scenario.js";
import * as tables from "./table.js";
import * as decisionTimes from "./timing.js";

interface Options {
    readonly seeds: string;
    readonly scenario: string | undefined;
    readonly out: string;
    readonly quick: boolean;
}

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../../../..");
const CONFIGURATIONS = ["examples/pedra-macia.yaml", "examples/ponceurs-armor.yaml"];
const QUICK_SCENARIOS = ["load-1.0", "load-1.2", "flood-second"];

function readDeployments(): readonly runs.Deployment[] {
    return CONFIGURATIONS.map((file) => {
        const parsed = configuration.parseFleet(file, fs.readFileSync(path.join(ROOT, file), "utf8"));
        if (!parsed.valid) {
            throw new Error(parsed.problems.map(configuration.formatProblem).join("\n"));
        }
        return runs.makeDeployment(parsed.value);
    });
}

function selectScenarios(deployment: runs.Deployment, options: Options): readonly scenarios.Scenario[] {
    const workspaces = Object.entries(deployment.profile.workspaces)
        .sort(([, left], [, right]) => right.tokensPerSecond - left.tokensPerSecond)
        .map(([name]) => name);
    return scenarios.scenarioList(workspaces)
        .filter((one) => options.scenario === undefined || one.name === options.scenario)
        .filter((one) => !options.quick || QUICK_SCENARIOS.includes(one.name));
}

function measure(options: Options, seeds: readonly number[]): tables.Row[] {
    return readDeployments().flatMap((deployment) =>
        selectScenarios(deployment, options).flatMap((scenario) =>
            Object.values(policies.PolicyName).map((policy) => {
                const results = seeds.map((seed) => runs.runScenario(deployment, scenario, policy, seed));
                return tables.makeRow(deployment.fleet, scenario.name, policy, results);
            })
        )
    );
}

function writeResults(
    options: Options,
    command: string,
    rows: readonly tables.Row[],
    times: readonly decisionTimes.DecisionTime[],
): void {
    fs.mkdirSync(options.out, { recursive: true });
    const json = JSON.stringify({ command, rows, decisionTimes: times }, undefined, 2);
    fs.writeFileSync(path.join(options.out, "policy.json"), `${json}\n`);
    for (const scenario of new Set(rows.map((row) => row.scenario))) {
        const image = plots.drawScenario(scenario, rows.filter((row) => row.scenario === scenario), command);
        fs.writeFileSync(path.join(options.out, `policy-${scenario}.svg`), image);
    }
}

function formatTimes(times: readonly decisionTimes.DecisionTime[]): string {
    const lines = times.map((time) =>
        `| ${time.engines} | ${time.workspaces} | ${time.microsecondsPerDecision.toFixed(1)} |`
    );
    return ["| engines | workspaces | microseconds a decision |", "| --- | --- | --- |", ...lines].join("\n");
}

/** Returns the processor time that this process has used, in milliseconds. */
function processorClock(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1_000;
}

const program = new commander.Command("bench")
    .description("Measures the placement policy and two baselines in a simulation of both deployments.")
    .option("--seeds <list>", "seeds of the runs, separated by commas", "1,2")
    .option("--scenario <name>", "runs only this scenario")
    .option("--out <directory>", "where results are written", path.join(ROOT, "docs/measurements"))
    .option("--quick", "runs only a few scenarios", false)
    .parse();
const options = program.opts<Options>();
const seeds = options.seeds.split(",").map(Number);
const scenarioOption = options.scenario === undefined ? "" : ` --scenario ${options.scenario}`;
const command = `npm run bench -- --seeds ${options.seeds}${scenarioOption}${options.quick ? " --quick" : ""}`;
const rows = measure(options, seeds);
const times = decisionTimes.measureDecisions(processorClock);
writeResults(options, command, rows, times);
process.stdout.write(`${command}\n\n${tables.formatTable(rows)}\n\n${formatTimes(times)}\n`);
