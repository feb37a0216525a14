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

/** Adds `citronlead decide`. */
export function addDecideVerb(
    program: commander.Command,
    terminal: terminals.Terminal,
    input: stream.Readable,
    known: readonly modules.NamedModule[] = modules.decisionModules,
): void {
    const names = known.map((module) => module.name).join(", ");
    program.command("decide")
        .description(
            'Drive a decision without input and output. Reads JSON lines {"now":ms,"settings":…} and '
                + '{"now":ms,"event":…} and prints each with its actions. docs/DECISIONS.md has the shapes.',
        )
        .argument("<module>", `one of: ${names}`)
        .action((name: string) => decide(terminal, input, known.find((module) => module.name === name), name));
}

async function decide(
    terminal: terminals.Terminal,
    input: stream.Readable,
    module: modules.NamedModule | undefined,
    name: string,
): Promise<void> {
    if (!module) {
        terminal.complain(`no decision module ${name}`);
        terminal.finish(exit.ExitCode.NotFound);
        return;
    }
    const feed = module.open();
    let number = 0;
    for await (const line of readline.createInterface({ input })) {
        number++;
        if (line.trim() !== "" && !feedLine(terminal, feed, line, number)) {
            return;
        }
    }
}

/** Feeds one line. Says what is wrong and returns false when the session cannot go on. */
function feedLine(
    terminal: terminals.Terminal,
    feed: modules.FeedSession,
    line: string,
    number: number,
): boolean {
    const input = readLine(line);
    if (typeof input === "string") {
        terminal.complain(`line ${number}: ${input}`);
        terminal.finish(exit.ExitCode.Invalid);
        return false;
    }
    try {
        terminal.print(feed(input.value));
        return true;
    }
    catch (failure) {
        terminal.complain(`line ${number}: ${String(failure)}`);
        terminal.finish(exit.ExitCode.Failed);
        return false;
    }
}

function readLine(line: string): { readonly value: unknown; } | string {
    let json: unknown;
    try {
        json = JSON.parse(line);
    }
    catch {
        return "this is not JSON";
    }
    return lineSchema.safeParse(json).success ? { value: json } : "expected now and either settings or event";
}
