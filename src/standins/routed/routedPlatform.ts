import { ObjectKinds } from "../../../platform/wire.js";
import { RoutedCloud } from "./routedCloud.js";
import { RoutedStore } from "./routedStore.js";
import { RoutedWorker } from "./routedWorker.js";

/** Service names, host and keys of the stand-in's manifest. */
export const routedNames = {
    engines: "redactor",
    calls: "mostrador",
    host: "desk.example",
    key: "key-of-shops",
    team: "shops",
} as const;

/** A whole platform on loopback: store, cloud API, two services' workers and an operator's manifest. */
export class RoutedPlatform {
    readonly store = RoutedStore.create();
    readonly cloud = RoutedCloud.create();
    readonly engines: RoutedWorker[] = [];
    readonly callWorkers: RoutedWorker[] = [];
    storeAddress = "";
    cloudAddress = "";
    private version = 1;

    private constructor() {}

    static create(): RoutedPlatform {
        return new RoutedPlatform();
    }

    /** Starts everything, with a number of workers of each service, which take turns in the zones given. */
    async start(workersEach = 2, zones: readonly string[] = ["xela"]): Promise<void> {
        this.storeAddress = await this.store.start();
        this.cloudAddress = await this.cloud.start();
        for (let index = 0; index < workersEach; index += 1) {
            const zone = zones[index % zones.length] as string;
            this.engines.push(RoutedWorker.create(`i-engine-${index}`, routedNames.engines, zone, true));
            this.callWorkers.push(RoutedWorker.create(`i-call-${index}`, routedNames.calls, zone, false));
        }
        for (const worker of this.listWorkers()) {
            await worker.start();
            worker.handleRestart = () => this.publishWorker(worker);
            this.publishWorker(worker);
        }
        this.publishManifest();
    }

    async stop(): Promise<void> {
        await Promise.all([this.store.stop(), this.cloud.stop(), ...this.listWorkers().map(worker => worker.stop())]);
    }

    listWorkers(): RoutedWorker[] {
        return [...this.engines, ...this.callWorkers];
    }

    /** Returns the command by which a person calls a gateway that listens on a port. */
    formatExampleCall(port: number): string {
        return `curl -sN http://127.0.0.1:${port}/notice/1 -H 'Host: ${routedNames.host}' `
            + `-H 'Authorization: Bearer ${routedNames.key}' -H 'Attempt-Id: try-1' -d '{}'`;
    }

    publishWorker(worker: RoutedWorker): void {
        this.store.putObject(ObjectKinds.servers, worker.id, worker.createEntry());
    }

    /** Publishes a newer manifest, with some of its parts replaced; returns its version. */
    publishManifest(parts: Readonly<Record<string, unknown>> = {}): number {
        this.version += 2;
        this.store.putObject(ObjectKinds.configuration, "main", { ...this.createManifest(), ...parts });
        return this.version;
    }

    /** Publishes the usual routes with one time limit for all calls, in milliseconds. */
    publishTimeLimit(limit: number): void {
        const routes = this.createManifest()["routes"] as Readonly<Record<string, unknown>>[];
        this.publishManifest({ routes: routes.map(route => ({ ...route, "timeout-ms": limit })) });
    }

    createManifest(): Readonly<Record<string, unknown>> {
        const common = { host: routedNames.host, priority: 1, public: false, sticky: false };
        return {
            version: this.version,
            routes: [
                {
                    ...common,
                    name: "lookup",
                    "path-prefix": "/lookup/",
                    kind: "safe",
                    "timeout-ms": 1_500,
                    "goal-ms": 300,
                    service: routedNames.calls,
                    attempts: 2,
                },
                {
                    ...common,
                    name: "voucher",
                    "path-prefix": "/voucher/",
                    kind: "unsafe",
                    "timeout-ms": 1_500,
                    "goal-ms": 300,
                    service: routedNames.calls,
                    attempts: 1,
                },
                {
                    ...common,
                    name: "notice",
                    "path-prefix": "/notice/",
                    kind: "stream",
                    "timeout-ms": 5_000,
                    "goal-ms": 1_000,
                    service: routedNames.engines,
                    attempts: 1,
                    resumable: false,
                },
                {
                    ...common,
                    name: "question",
                    "path-prefix": "/question/",
                    kind: "stream",
                    "timeout-ms": 3_000,
                    "goal-ms": 1_000,
                    service: routedNames.engines,
                    attempts: 2,
                    resumable: true,
                },
            ],
            services: [
                {
                    name: routedNames.engines,
                    "health-path": "/healthz",
                    "max-conns": 100,
                    engine: { slots: 64, "kv-capacity": 500_000 },
                    scaling: { min: 1, max: 4, "boot-s": 4, "spot-price": 0.2, "zone-prices": { xela: 1 } },
                },
                { name: routedNames.calls, "health-path": "/healthz", "max-conns": 100 },
            ],
            limits: { "max-header-bytes": 16_384, "max-body-bytes": 65_536, "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000 },
            tenants: [{
                name: routedNames.team,
                keys: [routedNames.key],
                unit: "token_count",
                "plain-tokens": 200,
                "rate-per-s": 0,
                burst: 0,
            }],
        };
    }
}
