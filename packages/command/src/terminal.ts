import * as configuration from "@citronlead/configuration";
import * as fs from "node:fs/promises";
import * as exit from "./exit.js";

/** The output streams and the exit code of a subcommand. */
export interface Terminal {
    readonly print: (line: string) => void;
    readonly printError: (line: string) => void;
    readonly setExitCode: (code: exit.ExitCode) => void;
}

/** The terminal of this process. */
export const processTerminal: Terminal = {
    print: (line) => void process.stdout.write(`${line}\n`),
    printError: (line) => void process.stderr.write(`${line}\n`),
    setExitCode: (code) => {
        process.exitCode = code;
    },
};

/** Prints data as JSON, or as the lines that `describe` returns. */
export function printResult<Data>(
    terminal: Terminal,
    json: boolean,
    data: Data,
    describe: (data: Data) => readonly string[],
): void {
    if (json) {
        terminal.print(JSON.stringify(data));
        return;
    }
    describe(data).forEach(terminal.print);
}

/** Reads, parses and validates a file. Prints every problem and returns undefined if there is one. */
export async function readAndParse<Value>(
    terminal: Terminal,
    file: string,
    parse: (file: string, text: string) => configuration.ParseResult<Value>,
): Promise<{ readonly value: Value; readonly text: string; } | undefined> {
    let text: string;
    try {
        text = await fs.readFile(file, "utf8");
    }
    catch (failure) {
        terminal.printError(`${file}: ${(failure as NodeJS.ErrnoException).code ?? "cannot be read"}`);
        terminal.setExitCode(exit.ExitCode.Invalid);
        return undefined;
    }
    const checked = parse(file, text);
    if (checked.valid) {
        return { value: checked.value, text };
    }
    checked.problems.map(configuration.formatProblem).forEach(terminal.printError);
    terminal.setExitCode(exit.ExitCode.Invalid);
    return undefined;
}
