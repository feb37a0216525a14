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

/** Makes the command line. Verbs that read lines read them from the input. */
export function makeProgram(
    terminal: terminals.Terminal,
    input: stream.Readable = process.stdin,
): commander.Command {
    const program = new commander.Command("citronlead")
        .description("Routes model requests to prefill and decode pools, and calls to the plain services beside them.")
        .addHelpText("afterAll", exit.describeExitCodes())
        .exitOverride((error) => process.exit(error.exitCode === 0 ? exit.ExitCode.Done : exit.ExitCode.Usage));
    run.addRouterVerb(program, terminal);
    check.addCheckVerb(program, terminal);
    apply.addApplyVerb(program, terminal);
    diff.addDiffVerb(program, terminal);
    profiles.addProfilesVerb(program, terminal);
    keys.addKeysVerb(program, terminal);
    status.addStatusVerb(program, terminal);
    explain.addExplainVerb(program, terminal);
    load.addLoadVerb(program, terminal);
    decide.addDecideVerb(program, terminal, input);
    return program;
}
