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
}
