import * as decision from "@citronlead/decision";
import * as platform from "@citronlead/platform";
import type * as commander from "commander";
import * as fs from "node:fs/promises";
import * as zod from "zod";
import * as exit from "./exit.js";
import * as drives from "./load/drive.js";
import * as mixes from "./load/mix.js";
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

const GRACE_MS = 120_000;
const COUNTS_TIMEOUT_MS = 5_000;
const DEFAULTS = { rate: 5, durationMs: 30_000, count: 100_000, seed: 1, mostOpen: 2_000 };

/** Adds `citronlead load`. */
export function addLoadVerb(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("load")
        .description("Send a seeded open-loop load to a running fleet and report how it was served.")
        .addOption(
            options.repeatable("--router <address>", "base address of a router's port for callers; may be repeated")
                .makeOptionMandatory(),
        )
        .requiredOption("--keys <file>", "YAML file with the key of each workspace")
        .option("--mix <name or file>", `${mixes.builtInMixes.join(", ")} or a YAML file`, mixes.builtInMixes[0])
        .option("--rate <number>", "requests a second", options.readPositive, DEFAULTS.rate)
        .option(
            "--duration <time>",
            "how long requests are sent, such as 30s",
            options.readDuration,
            DEFAULTS.durationMs,
        )
        .option("--count <number>", "the most requests", options.readPositive, DEFAULTS.count)
        .option("--seed <number>", "the same seed sends the same load", options.readPositive, DEFAULTS.seed)
        .option(
            "--most-open <number>",
            "requests due while so many are open are not sent",
            options.readPositive,
            DEFAULTS.mostOpen,
        )
        .addOption(
            options.repeatable(
                "--engine <address>",
                "prefill engine stand-in to ask for its prefills; may be repeated",
            ),
        )
        .option("--out <file>", "write the report as JSON")
        .option("--json", "print JSON")
        .action((wanted: LoadOptions) => load(terminal, wanted));
}

async function load(terminal: terminals.Terminal, wanted: LoadOptions): Promise<void> {
    // The histograms take megabytes, which the routers that run from the same program shall not spend.
    const reports = await import("./load/report.js");
    const mix = await readMix(terminal, wanted.mix);
    const keys = mix && await terminals.readChecked(terminal, wanted.keys, mixes.parseKeys);
    if (!mix || !keys) {
        return;
    }
    const driveOptions: drives.DriveOptions = {
        routers: wanted.router,
        keys: keys.value,
        seed: wanted.seed,
        requestsPerSecond: wanted.rate,
        durationMs: wanted.duration,
        count: wanted.count,
        mostOpen: wanted.mostOpen,
        graceMs: GRACE_MS,
    };
    const before = await countPrefills(wanted.engine);
    const result = await drives.driveLoad(mix, driveOptions);
    const after = await countPrefills(wanted.engine);
    const prefills = before === undefined || after === undefined ? undefined : after - before;
    const report = reports.makeReport(mix, driveOptions, result, prefills);
    if (wanted.out !== undefined) {
        await fs.writeFile(wanted.out, `${JSON.stringify(report, undefined, 4)}\n`);
    }
    terminals.printData(terminal, wanted.json === true, report, reports.describeReport);
    if (result.endings.length > 0 && result.endings.every((ending) => ending.outcome === "broken")) {
        terminal.complain("no router answered");
        terminal.finish(exit.ExitCode.Unreachable);
    }
}

async function readMix(terminal: terminals.Terminal, name: string): Promise<mixes.Mix | undefined> {
    const builtIn = mixes.builtInMix(name);
    if (builtIn === undefined) {
        return (await terminals.readChecked(terminal, name, mixes.parseMix))?.value;
    }
    const checked = mixes.parseMix(name, builtIn);
    decision.invariant(checked.valid, () => `the mix ${name} is wrong: ${JSON.stringify(checked)}`);
    return checked.value;
}

const countsSchema = zod.looseObject({ prefills: zod.number() });

/** The prefills of all engines that were named, or undefined if none was or one did not answer. */
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
