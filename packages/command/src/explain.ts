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

/** Adds `citronlead explain`. */
export function addExplainVerb(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("explain")
        .description("Tell what every hop decided about a request, and why. Hosts remember their latest requests only.")
        .argument("<request>", "the x-request-id of the answer")
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
    const answers = await controlPorts.askAll(options.control, path, traceSchema);
    const traces = answers.flatMap((answer) => answer.value ?? []);
    const failed = answers.filter((answer) => answer.problem !== undefined);
    failed.forEach(({ control, problem }) => terminal.complain(`${control}: ${problem}`));
    if (traces.length > 0) {
        terminals.printData(terminal, options.json === true, { traces }, () => traces.flatMap(describeTrace));
        return;
    }
    if (failed.length > 0) {
        terminal.finish(exit.ExitCode.Unreachable);
        return;
    }
    terminal.complain(`no host that was asked has a record of request ${request}`);
    terminal.finish(exit.ExitCode.NotFound);
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
