import * as configuration from "@citronlead/configuration";
import * as router from "@citronlead/router";
import type * as commander from "commander";
import * as exit from "./exit.js";
import * as terminals from "./terminal.js";

/** Adds the subcommand `citronlead router`. */
export function addRouterCommand(program: commander.Command, terminal: terminals.Terminal): void {
    program.command("router")
        .description("Run a router until SIGTERM or SIGINT, then drain and stop it.")
        .argument("<settings>", "YAML file with the settings of this process")
        .action((file: string) => runRouter(terminal, file));
}

async function runRouter(terminal: terminals.Terminal, file: string): Promise<void> {
    const settings = await terminals.readAndParse(terminal, file, configuration.parseRouterSettings);
    if (!settings) {
        return;
    }
    let running: router.Router;
    try {
        running = await router.startRouter(settings.value);
    }
    catch (failure) {
        terminal.printError(`the router failed to start: ${String(failure)}`);
        process.exit(exit.ExitCode.Failed);
    }
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.once(signal, () => void running.stop().then(() => process.exit(exit.ExitCode.Done)));
    }
}
