import * as configuration from "@citronlead/configuration";
import type * as commander from "commander";
import * as terminals from "./terminal.js";

/** Adds the subcommand `citronlead check`. */
export function addCheckCommand(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("check")
        .description("Validate a file without changing anything.")
        .argument("<file>", "YAML file")
        .option("--settings", "the file contains the settings of a router process")
        .option("--json", "print JSON")
        .action((file: string, options: { settings?: true; json?: true; }) => check(terminal, file, options));
}

async function check(
    terminal: terminals.Terminal,
    file: string,
    options: { settings?: true; json?: true; },
): Promise<void> {
    const parse: (file: string, text: string) => configuration.ParseResult<unknown> = options.settings
        ? configuration.parseRouterSettings
        : configuration.parseFleet;
    const checked = await terminals.readAndParse(terminal, file, parse);
    if (checked) {
        terminals.printResult(terminal, options.json === true, { file, valid: true }, () => [`${file}: valid`]);
    }
}
