import * as demo from "@citronlead/demo";
import * as commander from "commander";
import * as faults from "./faults.js";
import * as runs from "./run.js";

interface FailureOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly rate: number;
    readonly faultPeriod: number;
    readonly portBase: number;
    readonly kinds: string;
    readonly quiet?: true;
}

const program = new commander.Command("failures")
    .description("Runs a fleet of processes under load and seeded faults, and checks invariants.")
    .option("--seed <number>", "seed of the faults and the load", Number, 1)
    .option("--seconds <seconds>", "duration of the faults and the load", Number, 60)
    .option("--rate <requests>", "requests per second", Number, 20)
    .option("--fault-period <ms>", "mean time between two faults, in milliseconds", Number, 3_000)
    .option("--port-base <port>", "first port of the fleet", Number, 19_000)
    .option(
        "--kinds <list>",
        "kinds of faults to inject, separated by commas",
        Object.values(faults.FaultKind).join(","),
    )
    .option("--quiet", "print only the result")
    .parse();
const options = program.opts<FailureOptions>();
demo.exitOnSignals();
const result = await runs.runFailures({
    seed: options.seed,
    seconds: options.seconds,
    requestsPerSecond: options.rate,
    faultPeriodMs: options.faultPeriod,
    portBase: options.portBase,
    kinds: options.kinds.split(",") as faults.FaultKind[],
    log: options.quiet ? () => undefined : (line) => void process.stdout.write(`${line}\n`),
});
process.stdout.write(`${JSON.stringify({ seed: options.seed, ...result }, undefined, 2)}\n`);
process.exit(result.violations.length === 0 ? 0 : 1);
