import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import type * as commander from "commander";
import * as fs from "node:fs/promises";
import * as zod from "zod";
import * as exit from "./exit.js";
import * as mixes from "./load/mix.js";
import * as runners from "./load/runner.js";
import * as options from "./option.js";
import * as terminals from "./terminal.js";

interface LoadOptions {
    readonly router: readonly string[];
    readonly mix: string;
    readonly keys: string;
    readonly rate: number;
    readonly duration: number;
    readonly count: number;
    readonly seed: number;
    readonly mostOpen: number;
    readonly engine?: readonly string[];
    readonly out?: string;
    readonly json?: true;
}

/** How long to wait for responses after the last request is sent. */
const GRACE_MS = 120_000;
const COUNTS_TIMEOUT_MS = 5_000;
const DEFAULTS = { rate: 5, durationMs: 30_000, count: 100_000, seed: 1, mostOpen: 2_000 };

/** Adds the subcommand `citronlead load`. */
export function addLoadCommand(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("load")
        .description("Send a seeded open-loop load to a running fleet and report latencies and outcomes.")
        .addOption(
            options.repeatableOption(
                "--router <address>",
                "base address that callers of a router connect to; may be repeated",
            )
                .makeOptionMandatory(),
        )
        .requiredOption("--keys <file>", "YAML file with the key of each workspace")
        .option("--mix <name or file>", `${mixes.builtInMixes.join(", ")} or a YAML file`, mixes.builtInMixes[0])
        .option("--rate <number>", "requests a second", options.parsePositiveNumber, DEFAULTS.rate)
        .option(
            "--duration <time>",
            "how long to send requests, such as 30s",
            options.parseDuration,
            DEFAULTS.durationMs,
        )
        .option("--count <number>", "maximum number of requests", options.parsePositiveNumber, DEFAULTS.count)
        .option(
            "--seed <number>",
            "seed of the load; the same seed gives the same load",
            options.parsePositiveNumber,
            DEFAULTS.seed,
        )
        .option(
            "--most-open <number>",
            "maximum number of open requests; requests due beyond it are not sent",
            options.parsePositiveNumber,
            DEFAULTS.mostOpen,
        )
        .addOption(
            options.repeatableOption(
                "--engine <address>",
                "prefill engine stand-in whose prefills are counted; may be repeated",
            ),
        )
        .option("--out <file>", "write the report to a file as JSON")
        .option("--json", "print JSON")
        .action((given: LoadOptions) => load(terminal, given));
}

async function load(terminal: terminals.Terminal, options: LoadOptions): Promise<void> {
    // The histogram library takes megabytes. Importing it here spares routers, which run from the same program.
    const reports = await import("./load/report.js");
    const mix = await readMix(terminal, options.mix);
    const keys = mix && await terminals.readAndParse(terminal, options.keys, mixes.parseKeys);
    if (!mix || !keys) {
        return;
    }
    const runOptions: runners.LoadRunOptions = {
        routers: options.router,
        keys: keys.value,
        seed: options.seed,
        requestsPerSecond: options.rate,
        durationMs: options.duration,
        count: options.count,
        maxOpenRequests: options.mostOpen,
        graceMs: GRACE_MS,
    };
    const before = await countPrefills(options.engine);
    const result = await runners.runLoad(mix, runOptions);
    const after = await countPrefills(options.engine);
    const prefills = before === undefined || after === undefined ? undefined : after - before;
    const report = reports.makeReport(mix, runOptions, result, prefills);
    if (options.out !== undefined) {
        await fs.writeFile(options.out, `${JSON.stringify(report, undefined, 4)}\n`);
    }
    terminals.printResult(terminal, options.json === true, report, reports.describeReport);
    if (result.requests.length > 0 && result.requests.every((request) => request.outcome === "broken")) {
        terminal.printError("no router sent a complete response");
        terminal.setExitCode(exit.ExitCode.Unreachable);
    }
}

async function readMix(terminal: terminals.Terminal, name: string): Promise<mixes.Mix | undefined> {
    const builtIn = mixes.builtInMix(name);
    if (builtIn === undefined) {
        return (await terminals.readAndParse(terminal, name, mixes.parseMix))?.value;
    }
    const checked = mixes.parseMix(name, builtIn);
    decision.invariant(checked.valid, () => `the built-in mix ${name} is invalid: ${JSON.stringify(checked)}`);
    return checked.value;
}

const countsSchema = zod.looseObject({ prefills: zod.number() });

/** Sums the prefill counts of the engines. Returns undefined if none was named or one did not answer. */
async function countPrefills(engines: readonly string[] | undefined): Promise<number | undefined> {
    const counts = await Promise.all((engines ?? []).map(async (engine) => {
        const outcome = await platform.callJson({ url: `${engine}/standin/counts`, timeoutMs: COUNTS_TIMEOUT_MS });
        const parsed = outcome.effect === decision.Effect.Known
            ? countsSchema.safeParse(outcome.value.body)
            : undefined;
        return parsed?.success ? parsed.data.prefills : Number.NaN;
    }));
    const sum = counts.reduce((total, count) => total + count, 0);
    return counts.length === 0 || Number.isNaN(sum) ? undefined : sum;
}
