import { Command, Flags } from "@oclif/core";
import { createDiagnostic, DiagnosticCategory, Diagnostics, formatDiagnostic } from "../common/diagnostics.js";
import { describeError } from "../common/failure.js";
import { waitForStopSignal, waitForUncaughtException } from "../common/stopSignal.js";
import { readNodeSettings } from "../config/nodeSettings.js";
import { CorianderNode } from "../node/corianderNode.js";
import { Keys } from "../node/keys.js";
import { DaemonExitCode } from "./exitCodes.js";

/** Command that runs a node until the process receives a stop signal. */
export class DaemonCommand extends Command {
    static override description = "Runs a node of corianderward. Stops gracefully on SIGTERM and SIGINT.";
    static override examples = ["corianderwardd --settings node.ini", "corianderwardd --settings node.ini --check"];
    static override flags = {
        settings: Flags.string({ char: "s", description: "file with the node's settings", required: true }),
        check: Flags.boolean({ description: "only check the settings" }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(DaemonCommand);
        const settings = readNodeSettings(flags.settings, process.env);
        if (settings.err) {
            settings.val.forEach(problem => this.logToStderr(formatDiagnostic(problem)));
            if (settings.val.some(problem => problem.message.category === DiagnosticCategory.Error)) {
                this.exit(DaemonExitCode.BadSettings);
            }
            return;
        }
        if (flags.check) {
            this.log(formatDiagnostic(createDiagnostic(Diagnostics.Settings_are_valid)));
            return;
        }
        const node = CorianderNode.create(settings.val);
        node.container.get(Keys.Metrics).addProcessMetrics();
        const failed = waitForUncaughtException(error => this.logToStderr(`uncaught exception: ${describeError(error)}`));
        try {
            await node.start();
        }
        catch (error) {
            this.logToStderr(describeError(error));
            this.exit(DaemonExitCode.Failed);
        }
        const exitCode = await Promise.race([
            waitForStopSignal().then(() => DaemonExitCode.Ok),
            failed.then(() => DaemonExitCode.Failed),
        ]);
        await node.stop();
        process.exit(exitCode);
    }
}
