import { stat } from "node:fs/promises";
import { parseArgs } from "node:util";
import { createDiagnostic, Diagnostics, formatDiagnostic } from "../common/diagnostics.js";
import { describeError } from "../common/failure.js";
import { LogEvents } from "../common/logEvents.js";
import { waitForStopSignal } from "../common/stopSignal.js";
import { GatewaySettings, readGatewaySettings } from "../config/gatewaySettings.js";
import { HopTracing, NoTracing } from "../gateway/hopTracing.js";
import { GatewayKeys as Keys } from "../node/gatewayKeys.js";
import { DeploymentBindings, GatewayNode } from "../node/gatewayNode.js";
import { DaemonExitCode } from "./exitCodes.js";

const usage = "usage: gateway --settings FILE [--check]";

/** Runs one gateway until it is told to stop; returns the exit code. */
export async function runGatewayDaemon(commandLine: readonly string[], addDeployment: DeploymentBindings): Promise<DaemonExitCode> {
    const options = readOptions(commandLine);
    if (options === undefined) {
        process.stderr.write(`${usage}\n`);
        return DaemonExitCode.BadSettings;
    }
    const settings = readGatewaySettings(options.settings);
    if (settings.err) {
        settings.val.forEach(fault => process.stderr.write(`${formatDiagnostic(fault)}\n`));
        return DaemonExitCode.BadSettings;
    }
    if (options.check) {
        process.stdout.write(`${formatDiagnostic(createDiagnostic(Diagnostics.Settings_are_valid))}\n`);
        return DaemonExitCode.Ok;
    }
    // Each Err of a refused request would record a stack that nobody reads: a quarter of the processor time under refusals.
    Error.stackTraceLimit = 0;
    const node = GatewayNode.create(settings.val, addDeployment, await loadTracing(settings.val));
    const log = node.container.get(Keys.Log);
    process.on("unhandledRejection", error => log.log(LogEvents.TaskFailed, { task: "unknown", cause: describeError(error) }));
    try {
        await node.start();
    }
    catch (error) {
        process.stderr.write(`${describeError(error)}\n`);
        return DaemonExitCode.Failed;
    }
    void watchSettings(node, options.settings, settings.val);
    await waitForStopSignal();
    await node.stop();
    return DaemonExitCode.Ok;
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
        // The usage that is printed says what is allowed.
        return undefined;
    }
}

async function loadTracing(settings: GatewaySettings): Promise<HopTracing> {
    if (settings.collectorUrl === undefined) {
        return NoTracing.create();
    }
    const { Tracing } = await import("../common/tracing.js");
    const { CollectedTracing } = await import("../gateway/collectedTracing.js");
    return CollectedTracing.create(Tracing.create({ node: settings.name, sampleRatio: 1, collectorUrl: settings.collectorUrl }));
}

/** Reads the settings again on SIGHUP and when the file has changed without a signal. */
async function watchSettings(node: GatewayNode, file: string, initial: GatewaySettings): Promise<void> {
    const clock = node.container.get(Keys.Clock);
    let current = initial;
    let knownTime = await readChangeTime(file);
    let isSignalled = false;
    process.on("SIGHUP", () => {
        isSignalled = true;
    });
    for (;;) {
        await clock.sleep(current.timing.settingsInterval);
        const changeTime = await readChangeTime(file);
        if (!isSignalled && changeTime === knownTime) {
            continue;
        }
        isSignalled = false;
        knownTime = changeTime;
        current = applyChangedSettings(node, file, current);
    }
}

async function readChangeTime(file: string): Promise<number> {
    try {
        return (await stat(file)).mtimeMs;
    }
    catch {
        // A file that is being replaced is missing for a moment; the next look finds it.
        return 0;
    }
}

function applyChangedSettings(node: GatewayNode, file: string, current: GatewaySettings): GatewaySettings {
    const log = node.container.get(Keys.Log);
    const settings = readGatewaySettings(file);
    if (settings.err) {
        log.log(LogEvents.SettingsRefused, { faults: settings.val.map(fault => formatDiagnostic(fault)).join("; ") });
        return current;
    }
    const changed = Object.keys(settings.val).filter(key =>
        JSON.stringify(settings.val[key as keyof GatewaySettings]) !== JSON.stringify(current[key as keyof GatewaySettings])
    );
    node.applySettings(settings.val);
    log.log(LogEvents.SettingsReloaded, { changed: changed.join(",") });
    return settings.val;
}
