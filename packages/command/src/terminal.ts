import * as configuration from "@citronlead/configuration";
import * as fs from "node:fs/promises";
import * as exit from "./exit.js";

/** Where a verb prints, and how it says how it ended. */
export interface Terminal {
    readonly print: (line: string) => void;
    readonly complain: (line: string) => void;
    readonly finish: (code: exit.ExitCode) => void;
}

/** The terminal of this process. */
export const processTerminal: Terminal = {
    print: (line) => void process.stdout.write(`${line}\n`),
    complain: (line) => void process.stderr.write(`${line}\n`),
    finish: (code) => {
        process.exitCode = code;
    },
};

/** Prints data as JSON, or with the function for people. */
export function printData<Data>(
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

/** Reads and checks a file. Prints every problem and returns undefined if there is one. */
export async function readChecked<Value>(
    terminal: Terminal,
    file: string,
    parse: (file: string, text: string) => configuration.ParseResult<Value>,
): Promise<{ readonly value: Value; readonly text: string; } | undefined> {
    let text: string;
    try {
        text = await fs.readFile(file, "utf8");
    }
    catch (failure) {
        terminal.complain(`${file}: ${(failure as NodeJS.ErrnoException).code ?? "cannot be read"}`);
        terminal.finish(exit.ExitCode.Invalid);
        return undefined;
    }
    const checked = parse(file, text);
    if (checked.valid) {
        return { value: checked.value, text };
    }
    checked.problems.map(configuration.describeProblem).forEach(terminal.complain);
    terminal.finish(exit.ExitCode.Invalid);
    return undefined;
}
