import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { RoutedPlatform } from "../../standins/routed/routedPlatform.js";
import { GatewayProcess } from "../gatewayProcess.js";
import { ConfigurationSeries } from "./configurationSeries.js";

const statusOk = 200;
const statusUnavailable = 503;

/** Seed and length of the run; a long one is started by hand with others. */
const seed = Number(process.env["SERIES_SEED"] ?? 1);
const durationMilliseconds = Number(process.env["SERIES_SECONDS"] ?? 3) * 1_000;

// Guards against requests that get neither a whole response nor a refusal because a configuration came into force under them.
test("each request gets a whole response or a refusal while configurations change and endpoints are replaced or silent", async context => {
    const directory = mkdtempSync(join(tmpdir(), "corianderward-series-"));
    const platform = RoutedPlatform.create();
    await platform.start(3);
    const { storeAddress, cloudAddress } = platform;
    const gateways: GatewayProcess[] = [];
    context.after(async () => {
        gateways.forEach(gateway => gateway.sendSignal("SIGKILL"));
        await platform.stop();
        rmSync(directory, { recursive: true, force: true });
    });
    for (const name of ["node-1", "node-2"]) {
        const gateway = await GatewayProcess.create({ name, failureDomain: "xela", directory, storeAddress, cloudAddress, seeds: "" });
        gateways.push(gateway);
        gateway.startProcess();
        await gateway.waitUntilReady();
    }
    const ports = gateways.map(gateway => gateway.callers);
    const results = await ConfigurationSeries.run(platform, { seed, duration: durationMilliseconds, ports });
    context.diagnostic(`${results.length} requests, statuses ${JSON.stringify(countStatuses(results.map(result => result.status)))}`);
    const unserved = results.filter(({ status, isWhole }) => !isWhole || ![statusOk, statusUnavailable].includes(status));
    const logs = gateways.flatMap(gateway => gateway.readLog().split("\n"));
    const described = unserved.map(result => ({ ...result, log: logs.filter(line => line.includes(`"${result.id}"`)) }));
    assert.deepEqual(described, []);
    assert.equal(results.some(result => result.status === statusOk), true);
});

function countStatuses(statuses: readonly number[]): Readonly<Record<string, number>> {
    return Object.fromEntries([...new Set(statuses)].map(status => [status, statuses.filter(other => other === status).length]));
}
