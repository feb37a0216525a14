import type * as commander from "commander";
import * as readline from "node:readline";
import type * as stream from "node:stream";
import * as zod from "zod";
import * as exit from "./exit.js";
import * as modules from "./modules.js";
import type * as terminals from "./terminal.js";

const lineSchema = zod.union([
    zod.strictObject({ now: zod.number(), settings: zod.unknown() }).required(),
    zod.strictObject({ now: zod.number(), event: zod.unknown() }).required(),
]);

/** Adds the subcommand `citronlead decide`. */
export function addDecideCommand(
    program: commander.Command,
    terminal: terminals.Terminal,
    input: stream.Readable,
    available: readonly modules.JsonModule[] = modules.decisionModules,
): void {
    const names = available.map((module) => module.name).join(", ");
    program.command("decide")
        .description(
            'Run a decision module without I/O. Reads JSON lines {"now":ms,"settings":…} and '
                + '{"now":ms,"event":…} and prints each with its actions. docs/DECISIONS.md describes the formats.',
        )
        .argument("<module>", `one of: ${names}`)
        .action((name: string) => decide(terminal, input, available.find((module) => module.name === name), name));
}

async function decide(
    terminal: terminals.Terminal,
    input: stream.Readable,
    module: modules.JsonModule | undefined,
    name: string,
): Promise<void> {
    if (!module) {
        terminal.printError(`no decision module ${name}`);
        terminal.setExitCode(exit.ExitCode.NotFound);
        return;
    }
    const handleLine = module.openSession();
    let lineNumber = 0;
    for await (const line of readline.createInterface({ input })) {
        lineNumber++;
        if (line.trim() !== "" && !processLine(terminal, handleLine, line, lineNumber)) {
            return;
        }
    }
}

/** Processes one line. Prints the error and returns false if the session cannot continue. */
function processLine(
    terminal: terminals.Terminal,
    handleLine: modules.LineHandler,
    line: string,
    lineNumber: number,
): boolean {
    const input = parseLine(line);
    if (typeof input === "string") {
        terminal.printError(`line ${lineNumber}: ${input}`);
        terminal.setExitCode(exit.ExitCode.Invalid);
        return false;
    }
    try {
        terminal.print(handleLine(input.value));
        return true;
    }
    catch (failure) {
        terminal.printError(`line ${lineNumber}: ${String(failure)}`);
        terminal.setExitCode(exit.ExitCode.Failed);
        return false;
    }
}

function parseLine(line: string): { readonly value: unknown; } | string {
    let json: unknown;
    try {
        json = JSON.parse(line);
    }
    catch {
        return "invalid JSON";
    }
    return lineSchema.safeParse(json).success
        ? { value: json }
        : "expected an object with now and either settings or event";
}
