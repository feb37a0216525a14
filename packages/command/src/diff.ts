import * as configuration from "@citronlead/configuration";
import type * as commander from "commander";
import * as yaml from "yaml";
import * as exit from "./exit.js";
import * as store from "./store.js";
import * as terminals from "./terminal.js";

/** How a key in the file differs from the stored configuration. */
export enum DifferenceKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** A key that differs, with its values as written in the YAML texts. */
export interface Difference {
    readonly kind: DifferenceKind;
    readonly key: string;
    readonly stored?: unknown;
    readonly file?: unknown;
}

/** Adds the subcommand `citronlead diff`. */
export function addDiffCommand(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("diff")
        .description(
            "Compare a file with the stored configuration, key by key. Values such as 10s and 10000ms are equal.",
        )
        .argument("<file>", "YAML file")
        .requiredOption("--key-value <address>", "base address of the key-value service")
        .option("--json", "print JSON")
        .action((file: string, options: { keyValue: string; json?: true; }) =>
            showDifferences(terminal, file, options)
        );
}

async function showDifferences(
    terminal: terminals.Terminal,
    file: string,
    options: { keyValue: string; json?: true; },
): Promise<void> {
    const checked = await terminals.readAndParse(terminal, file, configuration.parseFleet);
    const stored = checked && await store.readSnapshot(terminal, store.connectKeyValue(options.keyValue));
    if (!checked || !stored) {
        return;
    }
    const previous = stored.configuration ?? { fleet: {}, text: "", revision: 0 };
    const differences = compareFleets(previous, { fleet: checked.value, text: checked.text });
    const data = { revision: previous.revision, differences };
    terminals.printResult(terminal, options.json === true, data, () => differences.map(describeDifference));
    if (differences.length > 0) {
        terminal.setExitCode(exit.ExitCode.Different);
    }
}

interface FleetDocument {
    readonly fleet: object;
    /** The YAML text that the fleet was read from. */
    readonly text: string;
}

/** Lists the keys whose validated values differ, sorted. */
export function compareFleets(stored: FleetDocument, file: FleetDocument): Difference[] {
    const [storedValues, fileValues] = [flatten(stored.fleet), flatten(file.fleet)];
    const [storedTexts, fileTexts] = [flatten(yaml.parse(stored.text)), flatten(yaml.parse(file.text))];
    const keys = [...new Set([...storedValues.keys(), ...fileValues.keys()])].sort();
    return keys.filter((key) => storedValues.get(key) !== fileValues.get(key)).map((key) => {
        const values = {
            stored: storedTexts.get(key) ?? storedValues.get(key),
            file: fileTexts.get(key) ?? fileValues.get(key),
        };
        if (values.stored === undefined) {
            return { kind: DifferenceKind.Added, key, file: values.file };
        }
        return values.file === undefined
            ? { kind: DifferenceKind.Removed, key, stored: values.stored }
            : { kind: DifferenceKind.Changed, key, ...values };
    });
}

/** Maps dotted keys to the scalar values of a document. List items are keyed by their name, or by index without one. */
function flatten(document: unknown, prefix = ""): Map<string, unknown> {
    if (typeof document !== "object" || document === null) {
        return new Map(prefix === "" ? [] : [[prefix, document]]);
    }
    const items = Array.isArray(document)
        ? document.map((item: unknown, index) => [nameOf(item) ?? String(index), item] as const)
        : Object.entries(document);
    const join = (key: string) => prefix === "" ? key : `${prefix}.${key}`;
    return new Map(items.flatMap(([key, value]) => [...flatten(value, join(key))]));
}

function nameOf(item: unknown): string | undefined {
    const name = typeof item === "object" && item !== null && "name" in item ? item.name : undefined;
    return typeof name === "string" ? name : undefined;
}

function describeDifference(difference: Difference): string {
    const { kind, key, stored, file } = difference;
    switch (kind) {
        case DifferenceKind.Added:
            return `+ ${key}: ${String(file)}`;
        case DifferenceKind.Removed:
            return `- ${key}: ${String(stored)}`;
        case DifferenceKind.Changed:
            return `~ ${key}: ${String(stored)} -> ${String(file)}`;
    }
}
