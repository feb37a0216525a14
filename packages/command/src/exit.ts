/** The exit codes of the command, the same for every verb. */
export enum ExitCode {
    Done = 0,
    /** Something went wrong that none of the others names. */
    Failed = 1,
    /** The command line was wrong. */
    Usage = 2,
    /** A file that an operator wrote was refused. */
    Invalid = 3,
    /** Another operator changed the configuration first; nothing was written. */
    Conflict = 4,
    /** The key-value service or a router could not be reached; nothing was written. */
    Unreachable = 5,
    /** The answer of the key-value service was lost: the write may have taken effect. */
    Unknown = 6,
    /** What was asked for does not exist. */
    NotFound = 7,
    /** The file and the stored configuration differ. */
    Different = 8,
}

const MEANINGS: Readonly<Record<ExitCode, string>> = {
    [ExitCode.Done]: "done",
    [ExitCode.Failed]: "failed in a way that no other code names",
    [ExitCode.Usage]: "the command line was wrong",
    [ExitCode.Invalid]: "a file or an input line was refused; each problem is printed with its place",
    [ExitCode.Conflict]: "another operator changed the configuration first; nothing was written",
    [ExitCode.Unreachable]: "the key-value service or a router could not be reached; nothing was written",
    [ExitCode.Unknown]: "the answer to a write was lost: it may have taken effect",
    [ExitCode.NotFound]: "what was asked for does not exist",
    [ExitCode.Different]: "diff: the file and the stored configuration differ",
};

/** The exit codes and what they mean, one a line. */
export function describeExitCodes(): string {
    const rows = Object.entries(MEANINGS).map(([code, meaning]) => `  ${code}  ${meaning}`);
    return ["", "Exit codes:", ...rows].join("\n");
}
