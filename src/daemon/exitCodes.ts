/** Exit codes of the daemons. */
export enum DaemonExitCode {
    Ok = 0,
    Failed = 1,
    BadSettings = 2,
}
