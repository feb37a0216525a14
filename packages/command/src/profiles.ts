import * as configuration from "@citronlead/configuration";
import type * as commander from "commander";
import * as exit from "./exit.js";
import * as store from "./store.js";
import * as terminals from "./terminal.js";

interface ProfilesOptions {
    readonly keyValue: string;
    readonly json?: true;
}

const KEY_VALUE_OPTION = ["--key-value <address>", "base address of the key-value service"] as const;

/** Adds the subcommands `citronlead profiles list|show`. */
export function addProfilesCommand(program: commander.Command, terminal: terminals.Terminal): void {
    const profiles = program.command("profiles").description("List and show the profiles in force.");
    profiles.command("list")
        .description("List the profiles and the models and services that use each.")
        .requiredOption(...KEY_VALUE_OPTION)
        .option("--json", "print JSON")
        .action((options: ProfilesOptions) => list(terminal, options));
    profiles.command("show")
        .description("Show one profile with its targets, workspaces and model versions.")
        .argument("<profile>", "name of the profile")
        .requiredOption(...KEY_VALUE_OPTION)
        .option("--json", "print JSON")
        .action((name: string, options: ProfilesOptions) => show(terminal, name, options));
}

/** Reads the configuration in force. Prints an error and returns undefined if there is none or it cannot be read. */
async function readAppliedConfiguration(
    terminal: terminals.Terminal,
    options: ProfilesOptions,
): Promise<configuration.Configuration | undefined> {
    const snapshot = await store.readSnapshot(terminal, store.connectKeyValue(options.keyValue));
    if (snapshot && !snapshot.configuration) {
        terminal.printError("no configuration has been applied yet");
        terminal.setExitCode(exit.ExitCode.NotFound);
    }
    return snapshot?.configuration;
}

/** The models and services that use a profile. */
function findUsers(fleet: configuration.Fleet, profile: string): { models: string[]; services: string[]; } {
    const models = Object.entries(fleet.models).filter(([, model]) => model.profile === profile).map(([name]) => name);
    const services = fleet.services.filter((service) => service.profile === profile).map((service) => service.name);
    return { models, services };
}

async function list(terminal: terminals.Terminal, options: ProfilesOptions): Promise<void> {
    const current = await readAppliedConfiguration(terminal, options);
    if (!current) {
        return;
    }
    const { fleet, revision } = current;
    const rows = Object.entries(fleet.profiles).map(([name, profile]) => ({
        name,
        priority: profile.priority,
        workspaces: Object.keys(profile.workspaces).length,
        ...findUsers(fleet, name),
    }));
    const describe = () =>
        rows.map((row) => {
            const users = [...row.models, ...row.services].join(", ") || "nothing";
            return `${row.name}\tpriority ${row.priority}\t${row.workspaces} workspaces\tused by ${users}`;
        });
    terminals.printResult(terminal, options.json === true, { revision, profiles: rows }, describe);
}

async function show(terminal: terminals.Terminal, name: string, options: ProfilesOptions): Promise<void> {
    const current = await readAppliedConfiguration(terminal, options);
    if (!current) {
        return;
    }
    const { fleet, revision } = current;
    const profile = Object.hasOwn(fleet.profiles, name) ? fleet.profiles[name] : undefined;
    if (!profile) {
        terminal.printError(`no profile ${name} in the configuration`);
        terminal.setExitCode(exit.ExitCode.NotFound);
        return;
    }
    const data = { revision, name, ...profile, ...findUsers(fleet, name) };
    const describe = () => [
        `${name} (revision ${revision})`,
        `  priority               ${profile.priority}`,
        `  first token within     ${profile.firstTokenTarget} ms`,
        `  between tokens         ${profile.betweenTokensTarget} ms`,
        `  deadline               ${profile.deadline} ms`,
        `  models                 ${data.models.join(", ") || "none"}`,
        `  services               ${data.services.join(", ") || "none"}`,
        ...Object.entries(profile.modelVersions).map(([model, version]) => `  version of ${model}: ${version}`),
        ...Object.entries(profile.workspaces).map(([workspace, limits]) =>
            `  workspace ${workspace}: ${limits.tokensPerSecond} tokens/s, burst ${limits.burstTokens}, `
            + `weight ${limits.weight}`
        ),
    ];
    terminals.printResult(terminal, options.json === true, data, describe);
}
