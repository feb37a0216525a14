import * as commander from "commander";
import * as apply from "./apply.js";
import * as check from "./check.js";
import * as exit from "./exit.js";
import * as keys from "./keys.js";
import * as run from "./run.js";
import * as terminals from "./terminal.js";

/** Makes the command line. */
export function makeProgram(terminal: terminals.Terminal): commander.Command {
    const program = new commander.Command("citronlead")
        .description("Routes model requests to prefill and decode pools, and calls to the plain services beside them.")
        .exitOverride((error) => process.exit(error.exitCode === 0 ? exit.ExitCode.Done : exit.ExitCode.Usage));
    run.addRouterVerb(program, terminal);
    check.addCheckVerb(program, terminal);
    apply.addApplyVerb(program, terminal);
    keys.addKeysVerb(program, terminal);
    return program;
}
