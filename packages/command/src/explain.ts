import type * as commander from "commander";
import * as zod from "zod";
import * as controlPorts from "./controlport.js";
import * as exit from "./exit.js";
import * as terminals from "./terminal.js";

const traceSchema = zod.looseObject({
    requestId: zod.string(),
    host: zod.string(),
    steps: zod.array(zod.object({
        afterMs: zod.number(),
        hop: zod.string(),
        decision: zod.string(),
        detail: zod.record(zod.string(), zod.unknown()).optional(),
    })),
});

type Trace = zod.output<typeof traceSchema>;

/** Adds the subcommand `citronlead explain`. */
export function addExplainCommand(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("explain")
        .description("Show what every hop decided about a request, and why. Hosts keep only their latest requests.")
        .argument("<request>", "the x-request-id header of the response")
        .addOption(controlPorts.controlOption())
        .option("--json", "print JSON")
        .action((request: string, options: { control: string[]; json?: true; }) => explain(terminal, request, options));
}

async function explain(
    terminal: terminals.Terminal,
    request: string,
    options: { control: string[]; json?: true; },
): Promise<void> {
    const path = `/explain/${encodeURIComponent(request)}`;
    const responses = await controlPorts.queryAll(options.control, path, traceSchema);
    const traces = responses.flatMap((response) => response.value ?? []);
    const failed = responses.filter((response) => response.problem !== undefined);
    failed.forEach(({ control, problem }) => terminal.printError(`${control}: ${problem}`));
    if (traces.length > 0) {
        terminals.printResult(terminal, options.json === true, { traces }, () => traces.flatMap(describeTrace));
        return;
    }
    if (failed.length > 0) {
        terminal.setExitCode(exit.ExitCode.Unreachable);
        return;
    }
    terminal.printError(`none of the named hosts has a record of request ${request}`);
    terminal.setExitCode(exit.ExitCode.NotFound);
}

function describeTrace(trace: Trace): string[] {
    return [
        `request ${trace.requestId} at ${trace.host}`,
        ...trace.steps.map((step) => {
            const details = Object.entries(step.detail ?? {}).map(([name, value]) => `${name}=${formatDetail(value)}`);
            return `  ${step.afterMs.toFixed(1).padStart(9)} ms  ${step.hop}: ${step.decision} ${details.join(" ")}`
                .trimEnd();
        }),
    ];
}

function formatDetail(value: unknown): string {
    return typeof value === "string" ? value : JSON.stringify(value);
}
