import * as configuration from "@citronlead/configuration";
import type * as commander from "commander";
import * as store from "./store.js";
import * as terminals from "./terminal.js";

interface ApplyOptions {
    readonly keyValue: string;
    readonly json?: true;
}

/** Adds `citronlead apply`. */
export function addApplyVerb(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("apply")
        .description("Put a fleet's configuration in force. Keys that were granted stay.")
        .argument("<file>", "YAML file")
        .requiredOption("--key-value <address>", "base address of the key-value service")
        .option("--json", "print JSON")
        .action((file: string, options: ApplyOptions) => apply(terminal, file, options));
}

async function apply(terminal: terminals.Terminal, file: string, options: ApplyOptions): Promise<void> {
    const checked = await terminals.readChecked(terminal, file, configuration.parseFleet);
    const keyValue = store.connect(options.keyValue);
    const former = checked && await store.readStored(terminal, keyValue);
    if (!checked || !former) {
        return;
    }
    const revision = (former.configuration?.revision ?? 0) + 1;
    const next = { revision, fleet: checked.value, text: checked.text, keys: former.configuration?.keys ?? [] };
    if (await store.writeNext(terminal, keyValue, former, next)) {
        terminals.printData(terminal, options.json === true, { revision }, () => [`revision ${revision} is accepted`]);
    }
}
