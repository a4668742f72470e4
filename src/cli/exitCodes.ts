/** Exit codes of the command-line tool. */
export enum ExitCode {
    /** All went well. */
    Ok = 0,
    /** The command ran and what it checked does not hold, such as an outcome of a replay. */
    Failed = 1,
    /** The input cannot be used: flags, files, names. */
    BadInput = 2,
    /** A node or the platform did not answer. */
    Unreachable = 3,
    /** Another operator was faster. */
    Conflict = 4,
}
