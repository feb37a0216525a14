import * as configuration from "@citronlead/configuration";
import type * as commander from "commander";
import * as store from "./store.js";
import * as terminals from "./terminal.js";

interface ApplyOptions {
    readonly keyValue: string;
    readonly json?: true;
}

/** Adds the subcommand `citronlead apply`. */
export function addApplyCommand(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("apply")
        .description("Put a fleet's configuration in force. Keys that were granted stay valid.")
        .argument("<file>", "YAML file")
        .requiredOption("--key-value <address>", "base address of the key-value service")
        .option("--json", "print JSON")
        .action((file: string, options: ApplyOptions) => apply(terminal, file, options));
}

async function apply(terminal: terminals.Terminal, file: string, options: ApplyOptions): Promise<void> {
    const checked = await terminals.readAndParse(terminal, file, configuration.parseFleet);
    const keyValue = store.connectKeyValue(options.keyValue);
    const previous = checked && await store.readSnapshot(terminal, keyValue);
    if (!checked || !previous) {
        return;
    }
    const revision = (previous.configuration?.revision ?? 0) + 1;
    const next = { revision, fleet: checked.value, text: checked.text, keys: previous.configuration?.keys ?? [] };
    if (await store.writeConfiguration(terminal, keyValue, previous, next)) {
        terminals.printResult(
            terminal,
            options.json === true,
            { revision },
            () => [`revision ${revision} was accepted`],
        );
    }
}
