/** The exit codes of the command line, the same for every subcommand. */
export enum ExitCode {
    Done = 0,
    /** A failure that has no exit code of its own. */
    Failed = 1,
    /** The command line is invalid. */
    Usage = 2,
    /** A file or an input line was refused. */
    Invalid = 3,
    /** Another operator changed the configuration first, or the name is taken; nothing was written. */
    Conflict = 4,
    /** The key-value service or a router could not be reached; nothing was written. */
    Unreachable = 5,
    /** The key-value service sent no answer to a write, which may have taken effect. */
    Unknown = 6,
    /** The requested item does not exist. */
    NotFound = 7,
    /** The file and the stored configuration differ. */
    Different = 8,
}

const DESCRIPTIONS: Readonly<Record<ExitCode, string>> = {
    [ExitCode.Done]: "done",
    [ExitCode.Failed]: "failed for a reason that no other code covers",
    [ExitCode.Usage]: "the command line is invalid",
    [ExitCode.Invalid]: "a file or an input line was refused; each problem is printed with its position",
    [ExitCode.Conflict]: "another operator changed the configuration first; nothing was written",
    [ExitCode.Unreachable]: "the key-value service or a router could not be reached; nothing was written",
    [ExitCode.Unknown]: "a write got no answer; it may have taken effect",
    [ExitCode.NotFound]: "the requested item does not exist",
    [ExitCode.Different]: "diff: the file and the stored configuration differ",
};

/** The help text of the exit codes, one code a line. */
export function describeExitCodes(): string {
    const rows = Object.entries(DESCRIPTIONS).map(([code, meaning]) => `  ${code}  ${meaning}`);
    return ["", "Exit codes:", ...rows].join("\n");
}
