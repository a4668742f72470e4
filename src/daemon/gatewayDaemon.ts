import { stat } from "node:fs/promises";
import { parseArgs } from "node:util";
import { createDiagnostic, Diagnostics, formatDiagnostic } from "../common/diagnostics.js";
import { describeError, readErrorCode } from "../common/failure.js";
import { LogEvents } from "../common/logEvents.js";
import { waitForStopSignal, waitForUncaughtException } from "../common/stopSignal.js";
import { GatewaySettings, readGatewaySettings } from "../config/gatewaySettings.js";
import { HopTracing, NoopTracing } from "../gateway/hopTracing.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { DeploymentBindings, GatewayNode } from "../node/gatewayNode.js";
import { CodeCacheState } from "./codeCache.js";
import { DaemonExitCode } from "./exitCodes.js";

const usage = "usage: gateway --settings FILE [--check]";

/** Runs a gateway from its command line until the process receives a stop signal; returns the exit code. `codeCache` goes to the log. */
export async function runGatewayDaemon(
    commandLine: readonly string[],
    addDeployment: DeploymentBindings,
    codeCache: CodeCacheState,
): Promise<DaemonExitCode> {
    const options = readOptions(commandLine);
    if (options === undefined) {
        process.stderr.write(`${usage}\n`);
        return DaemonExitCode.BadSettings;
    }
    const settings = readGatewaySettings(options.settings);
    if (settings.err) {
        settings.val.forEach(problem => process.stderr.write(`${formatDiagnostic(problem)}\n`));
        return DaemonExitCode.BadSettings;
    }
    if (options.check) {
        process.stdout.write(`${formatDiagnostic(createDiagnostic(Diagnostics.Settings_are_valid))}\n`);
        return DaemonExitCode.Ok;
    }
    // Without this, each Err of a refused request captures a stack trace that is never read: a quarter of the CPU time while requests are refused.
    Error.stackTraceLimit = 0;
    const node = GatewayNode.create(settings.val, addDeployment, await loadTracing(settings.val));
    const log = node.container.get(Keys.Log);
    log.log(LogEvents.ProgramLoaded, { codeCache });
    process.on("unhandledRejection", error => log.log(LogEvents.TaskFailed, { task: "unknown", cause: describeError(error) }));
    const failed = waitForUncaughtException(error => {
        log.log(LogEvents.ProcessFailed, { cause: describeError(error), code: readErrorCode(error) });
    });
    try {
        await node.start();
    }
    catch (error) {
        process.stderr.write(`${describeError(error)}\n`);
        return DaemonExitCode.Failed;
    }
    void watchSettings(node, options.settings, settings.val);
    const exitCode = await Promise.race([waitForStopSignal().then(() => DaemonExitCode.Ok), failed.then(() => DaemonExitCode.Failed)]);
    await node.stop();
    return exitCode;
}

function readOptions(commandLine: readonly string[]): { settings: string; check: boolean; } | undefined {
    try {
        const { values } = parseArgs({
            args: [...commandLine],
            options: { settings: { type: "string", short: "s" }, check: { type: "boolean", default: false } },
        });
        return values.settings === undefined ? undefined : { settings: values.settings, check: values.check };
    }
    catch {
        // The caller prints the usage line.
        return undefined;
    }
}

async function loadTracing(settings: GatewaySettings): Promise<HopTracing> {
    if (settings.collectorUrl === undefined) {
        return NoopTracing.create();
    }
    const { Tracing } = await import("../common/tracing.js");
    const { CollectedTracing } = await import("../gateway/collectedTracing.js");
    return CollectedTracing.create(Tracing.create({ node: settings.name, sampleRatio: 1, collectorUrl: settings.collectorUrl }));
}

/** Reloads the settings after SIGHUP or a change of the file; polls for both at the settings interval. */
async function watchSettings(node: GatewayNode, file: string, initial: GatewaySettings): Promise<void> {
    const clock = node.container.get(Keys.Clock);
    let current = initial;
    let lastChangeTime = await readChangeTime(file);
    let isReloadRequested = false;
    process.on("SIGHUP", () => {
        isReloadRequested = true;
    });
    for (;;) {
        await clock.sleep(current.timing.settingsInterval);
        const changeTime = await readChangeTime(file);
        if (!isReloadRequested && changeTime === lastChangeTime) {
            continue;
        }
        isReloadRequested = false;
        lastChangeTime = changeTime;
        current = applyChangedSettings(node, file, current);
    }
}

/** Returns the modification time of the file in Unix milliseconds, or 0 if it cannot be read. */
async function readChangeTime(file: string): Promise<number> {
    try {
        return (await stat(file)).mtimeMs;
    }
    catch {
        // A file that is being replaced is briefly missing; the next poll finds it.
        return 0;
    }
}

/** Applies the reloaded settings and returns them; returns `current` if the file is invalid. */
function applyChangedSettings(node: GatewayNode, file: string, current: GatewaySettings): GatewaySettings {
    const log = node.container.get(Keys.Log);
    const settings = readGatewaySettings(file);
    if (settings.err) {
        log.log(LogEvents.SettingsRefused, { faults: settings.val.map(problem => formatDiagnostic(problem)).join("; ") });
        return current;
    }
    const changedKeys = Object.keys(settings.val).filter(key =>
        JSON.stringify(settings.val[key as keyof GatewaySettings]) !== JSON.stringify(current[key as keyof GatewaySettings])
    );
    node.applySettings(settings.val);
    log.log(LogEvents.SettingsReloaded, { changed: changedKeys.join(",") });
    return settings.val;
}
