/** Exit codes of the daemon. */
export enum DaemonExitCode {
    Ok = 0,
    Failed = 1,
    BadSettings = 2,
}
