import * as commander from "commander";
import type * as stream from "node:stream";
import * as apply from "./apply.js";
import * as check from "./check.js";
import * as decide from "./decide.js";
import * as diff from "./diff.js";
import * as exit from "./exit.js";
import * as explain from "./explain.js";
import * as keys from "./keys.js";
import * as load from "./load.js";
import * as profiles from "./profiles.js";
import * as run from "./run.js";
import * as status from "./status.js";
import * as terminals from "./terminal.js";

/** Creates the command line. `input` is the standard input of subcommands that read lines. */
export function makeProgram(
    terminal: terminals.Terminal,
    input: stream.Readable = process.stdin,
): commander.Command {
    const program = new commander.Command("citronlead")
        .description("Routes model requests to prefill and decode pools, and calls to the plain services beside them.")
        .addHelpText("afterAll", exit.describeExitCodes())
        .exitOverride((error) => process.exit(error.exitCode === 0 ? exit.ExitCode.Done : exit.ExitCode.Usage));
    run.addRouterCommand(program, terminal);
    check.addCheckCommand(program, terminal);
    apply.addApplyCommand(program, terminal);
    diff.addDiffCommand(program, terminal);
    profiles.addProfilesCommand(program, terminal);
    keys.addKeysCommand(program, terminal);
    status.addStatusCommand(program, terminal);
    explain.addExplainCommand(program, terminal);
    load.addLoadCommand(program, terminal);
    decide.addDecideCommand(program, terminal, input);
    return program;
}
