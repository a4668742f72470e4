import { Flags } from "@oclif/core";
import { join } from "node:path";
import { millisecondsPerMinute } from "../../common/units.js";
import { RoutedPlatform } from "../../standins/routed/routedPlatform.js";
import { BaseCommand } from "../baseCommand.js";

const callersPort = 7_180;
const readinessPort = 7_181;
const peersPort = 7_182;
const metricsPort = 7_183;
const longestMinutes = 1_440;

/** `corianderward emulate`. */
export class EmulateCommand extends BaseCommand {
    static override description =
        "Starts a stand-in of the routed platform on loopback: store, cloud API, engines and plain services. Writes the settings of "
        + "a gateway for it, and prints how to start the gateway and how to call it.";
    static override examples = [
        "<%= config.bin %> emulate --directory .demo",
        "<%= config.bin %> emulate --directory .demo --workers 4 --minutes 5",
    ];
    static override flags = {
        directory: Flags.directory({ char: "d", description: "directory for the gateway's settings", default: ".demo", exists: false }),
        workers: Flags.integer({ description: "endpoints of each service", default: 2, min: 1, max: 64 }),
        minutes: Flags.integer({ description: "minutes until it stops by itself", default: 60, min: 1, max: longestMinutes }),
    };

    async run(): Promise<unknown> {
        const { flags } = await this.parse(EmulateCommand);
        const settings = join(flags.directory, "gateway.ini");
        this.createDirectory(flags.directory);
        // Checked before the platform starts, whose addresses the settings hold.
        this.writeOutput(settings, "");
        const platform = RoutedPlatform.create();
        await platform.start(flags.workers);
        this.writeOutput(settings, createSettings(platform));
        this.log(`The platform's store is at ${platform.storeAddress}, its cloud API at ${platform.cloudAddress}.`);
        this.log(`Start a gateway:  node target/gateway/gateway.mjs --settings ${settings}`);
        this.log(
            `Call it:          ${platform.formatExampleCall(callersPort)}`,
        );
        await waitForStop(flags.minutes * millisecondsPerMinute);
        await platform.stop();
        const runs = platform.listWorkers().map(worker => ({ endpoint: worker.id, service: worker.service, runs: worker.runs.length }));
        this.printTable(["endpoint", "service", "requests run"], runs.map(run => [run.endpoint, run.service, String(run.runs)]));
        return { runs, dutyCalls: platform.cloud.calls };
    }
}

function createSettings(platform: RoutedPlatform): string {
    return [
        "[node]",
        "name = demo-1",
        "failure-domain = xela",
        "",
        "[listen]",
        `callers = 127.0.0.1:${callersPort}`,
        `readiness = 127.0.0.1:${readinessPort}`,
        `peers = 127.0.0.1:${peersPort}`,
        `metrics = 127.0.0.1:${metricsPort}`,
        "",
        "[store]",
        `address = ${platform.storeAddress}`,
        "",
        "[cloud]",
        `address = ${platform.cloudAddress}`,
        "",
    ].join("\n");
}

function waitForStop(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(resolve, milliseconds);
        for (const signal of ["SIGINT", "SIGTERM"] as const) {
            process.once(signal, () => {
                clearTimeout(timer);
                resolve();
            });
        }
    });
}
