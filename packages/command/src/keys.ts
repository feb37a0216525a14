import * as configuration from "@citronlead/configuration";
import type * as commander from "commander";
import * as exit from "./exit.js";
import * as inForce from "./inforce.js";
import * as store from "./store.js";
import * as terminals from "./terminal.js";

interface KeysOptions {
    readonly keyValue: string;
    readonly json?: true;
}

interface WithdrawOptions extends KeysOptions {
    readonly wait?: readonly string[];
}

const KEY_VALUE_OPTION = ["--key-value <address>", "base address of the key-value service"] as const;

/** Adds the subcommands `citronlead keys grant|withdraw|list`. */
export function addKeysCommand(program: commander.Command, terminal: terminals.Terminal): void {
    const keys = program.command("keys").description("Grant, withdraw and list the keys of workspaces.");
    keys.command("grant")
        .description("Generate a key for a workspace. It is printed once; only its hash is stored.")
        .argument("<workspace>", "workspace that owns the key")
        .argument("<id>", "name for the key")
        .requiredOption(...KEY_VALUE_OPTION)
        .option("--json", "print JSON")
        .action((workspace: string, id: string, options: KeysOptions) => grant(terminal, workspace, id, options));
    keys.command("withdraw")
        .description(
            "Withdraw a key. It stops working within 7 s on every host that hears of it from the store or another host.",
        )
        .argument("<id>", "name of the key")
        .requiredOption(...KEY_VALUE_OPTION)
        .addOption(inForce.waitOption())
        .option("--json", "print JSON")
        .action((id: string, options: WithdrawOptions) => withdraw(terminal, id, options));
    keys.command("list")
        .description("List the keys by name and workspace.")
        .requiredOption(...KEY_VALUE_OPTION)
        .option("--json", "print JSON")
        .action((options: KeysOptions) => list(terminal, options));
}

/** Reads the configuration in force. Prints an error and returns undefined if there is none or it cannot be read. */
async function readAppliedConfiguration(
    terminal: terminals.Terminal,
    options: KeysOptions,
): Promise<{ snapshot: store.Snapshot; current: configuration.Configuration; } | undefined> {
    const snapshot = await store.readSnapshot(terminal, store.connectKeyValue(options.keyValue));
    if (snapshot && !snapshot.configuration) {
        terminal.printError("no configuration has been applied yet");
        terminal.setExitCode(exit.ExitCode.NotFound);
    }
    return snapshot?.configuration && { snapshot, current: snapshot.configuration };
}

/** Writes the next revision with these keys. Returns it, or undefined if the write was not confirmed. */
async function writeKeys(
    terminal: terminals.Terminal,
    options: KeysOptions,
    snapshot: store.Snapshot,
    current: configuration.Configuration,
    keys: readonly configuration.KeyRecord[],
): Promise<number | undefined> {
    const next = { ...current, revision: current.revision + 1, keys };
    const written = await store.writeConfiguration(terminal, store.connectKeyValue(options.keyValue), snapshot, next);
    return written ? next.revision : undefined;
}

async function grant(
    terminal: terminals.Terminal,
    workspace: string,
    id: string,
    options: KeysOptions,
): Promise<void> {
    const applied = await readAppliedConfiguration(terminal, options);
    if (!applied) {
        return;
    }
    const { snapshot, current } = applied;
    if (!configuration.findWorkspaceLimits(current.fleet, workspace)) {
        terminal.printError(`no workspace ${workspace} in the configuration`);
        terminal.setExitCode(exit.ExitCode.NotFound);
        return;
    }
    if (current.keys.some((record) => record.id === id)) {
        terminal.printError(`a key named ${id} already exists`);
        terminal.setExitCode(exit.ExitCode.Conflict);
        return;
    }
    const key = configuration.generateKey();
    const record = { id, workspace, hash: configuration.hashKey(key) };
    const revision = await writeKeys(terminal, options, snapshot, current, [...current.keys, record]);
    if (revision !== undefined) {
        terminals.printResult(terminal, options.json === true, { id, workspace, key, revision }, () => [key]);
    }
}

async function withdraw(terminal: terminals.Terminal, id: string, options: WithdrawOptions): Promise<void> {
    const applied = await readAppliedConfiguration(terminal, options);
    if (!applied) {
        return;
    }
    const { snapshot, current } = applied;
    const remaining = current.keys.filter((record) => record.id !== id);
    if (remaining.length === current.keys.length) {
        terminal.printError(`no key named ${id}`);
        terminal.setExitCode(exit.ExitCode.NotFound);
        return;
    }
    const revision = await writeKeys(terminal, options, snapshot, current, remaining);
    if (revision !== undefined) {
        terminals.printResult(terminal, options.json === true, { id, revision }, () => [`key ${id} was withdrawn`]);
        await inForce.waitUntilInForce(terminal, options.wait ?? [], revision);
    }
}

async function list(terminal: terminals.Terminal, options: KeysOptions): Promise<void> {
    const applied = await readAppliedConfiguration(terminal, options);
    if (applied) {
        const rows = applied.current.keys.map(({ id, workspace }) => ({ id, workspace }));
        terminals.printResult(
            terminal,
            options.json === true,
            rows,
            () => rows.map((row) => `${row.id}\t${row.workspace}`),
        );
    }
}
