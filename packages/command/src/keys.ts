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

/** Adds `citronlead keys grant|withdraw|list`. */
export function addKeysVerb(program: commander.Command, terminal: terminals.Terminal): void {
    const keys = program.command("keys").description("Grant, withdraw and list the keys of workspaces.");
    keys.command("grant")
        .description("Make a key for a workspace. It is shown once; only its hash is kept.")
        .argument("<workspace>", "workspace that the key belongs to")
        .argument("<id>", "name for the key")
        .requiredOption(...KEY_VALUE_OPTION)
        .option("--json", "print JSON")
        .action((workspace: string, id: string, options: KeysOptions) => grant(terminal, workspace, id, options));
    keys.command("withdraw")
        .description("Withdraw a key. It stops working within 7 s on every host that can hear of it, or of others.")
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

async function readApplied(
    terminal: terminals.Terminal,
    options: KeysOptions,
): Promise<{ stored: store.Stored; current: configuration.Configuration; } | undefined> {
    const stored = await store.readStored(terminal, store.connect(options.keyValue));
    if (stored && !stored.configuration) {
        terminal.complain("no configuration was applied yet");
        terminal.finish(exit.ExitCode.NotFound);
    }
    return stored?.configuration && { stored, current: stored.configuration };
}

async function change(
    terminal: terminals.Terminal,
    options: KeysOptions,
    stored: store.Stored,
    current: configuration.Configuration,
    keys: readonly configuration.KeyRecord[],
): Promise<number | undefined> {
    const next = { ...current, revision: current.revision + 1, keys };
    const written = await store.writeNext(terminal, store.connect(options.keyValue), stored, next);
    return written ? next.revision : undefined;
}

async function grant(
    terminal: terminals.Terminal,
    workspace: string,
    id: string,
    options: KeysOptions,
): Promise<void> {
    const read = await readApplied(terminal, options);
    if (!read) {
        return;
    }
    const { stored, current } = read;
    if (!configuration.findWorkspaceLimits(current.fleet, workspace)) {
        terminal.complain(`no workspace ${workspace} in the configuration`);
        terminal.finish(exit.ExitCode.NotFound);
        return;
    }
    if (current.keys.some((record) => record.id === id)) {
        terminal.complain(`a key named ${id} is there already`);
        terminal.finish(exit.ExitCode.Conflict);
        return;
    }
    const key = configuration.makeKey();
    const record = { id, workspace, hash: configuration.hashKey(key) };
    const revision = await change(terminal, options, stored, current, [...current.keys, record]);
    if (revision !== undefined) {
        terminals.printData(terminal, options.json === true, { id, workspace, key, revision }, () => [key]);
    }
}

async function withdraw(terminal: terminals.Terminal, id: string, options: WithdrawOptions): Promise<void> {
    const read = await readApplied(terminal, options);
    if (!read) {
        return;
    }
    const { stored, current } = read;
    const left = current.keys.filter((record) => record.id !== id);
    if (left.length === current.keys.length) {
        terminal.complain(`no key named ${id}`);
        terminal.finish(exit.ExitCode.NotFound);
        return;
    }
    const revision = await change(terminal, options, stored, current, left);
    if (revision !== undefined) {
        terminals.printData(terminal, options.json === true, { id, revision }, () => [`key ${id} is withdrawn`]);
        await inForce.waitInForce(terminal, options.wait ?? [], revision);
    }
}

async function list(terminal: terminals.Terminal, options: KeysOptions): Promise<void> {
    const read = await readApplied(terminal, options);
    if (read) {
        const rows = read.current.keys.map(({ id, workspace }) => ({ id, workspace }));
        terminals.printData(
            terminal,
            options.json === true,
            rows,
            () => rows.map((row) => `${row.id}\t${row.workspace}`),
        );
    }
}
