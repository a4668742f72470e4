import { Agent, request as sendHttpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { HeaderNames, ObjectKinds } from "../../../platform/wire.js";
import { SeededRandom } from "../../common/random.js";
import { routedNames, RoutedPlatform } from "../../standins/routed/routedPlatform.js";
import { RoutedWorker } from "../../standins/routed/routedWorker.js";

/** Services that take turns with the stand-in's own. */
const secondServices: Readonly<Record<string, string>> = { [routedNames.engines]: "redactor-2", [routedNames.calls]: "mostrador-2" };
const endpointsEach = 3;
/** Time in which gateways learn of new endpoints, in milliseconds. */
const registrationMilliseconds = 1_000;
const callerCount = 60;
const changeIntervalMilliseconds = 200;
const replacementIntervalMilliseconds = 400;
const silenceIntervalMilliseconds = 700;
/** Silence of a sound endpoint, in milliseconds. */
const silenceMilliseconds = 1_000;
/** Share of the silences that concern all endpoints at once. */
const sharedSilenceShare = 0.2;
/** Time for which a leaving endpoint still serves; longer than any request runs. */
const drainMilliseconds = 6_000;
/** Time for which it still accepts connections, in milliseconds. */
const listeningMilliseconds = 2_000;
const deadlineMilliseconds = 9_000;
/** Shortest time limit of a route, in milliseconds; longer than a stream that several silences interrupt. */
const shortestTimeoutMilliseconds = 5_000;
const idleLimitMilliseconds = 2_000;
/** Longest idle pause of a caller, as a share of the idle limit. */
const longestIdleShare = 0.8;
/** Share of the requests after which a caller pauses for long. */
const longPauseShare = 0.15;
/** Routes that some configurations have in addition. */
const addedRoutes = 500;
const paths = ["/lookup/1", "/voucher/1", "/notice/1", "/question/1"];

/** How one request of a series ended; status 0 when no response came. */
export interface SeriesResult {
    readonly id: string;
    readonly path: string;
    readonly status: number;
    readonly isWhole: boolean;
    readonly body: string;
    readonly milliseconds: number;
}

/** Options of a series. */
export interface SeriesOptions {
    readonly seed: number;
    /** How long configurations change, in milliseconds. */
    readonly duration: number;
    /** Ports of the gateways for callers. */
    readonly ports: readonly number[];
}

/** Changes the configuration, replaces endpoints and silences them again and again while callers use connections that stay open. */
export class ConfigurationSeries {
    private readonly results: SeriesResult[] = [];
    private readonly random: SeededRandom;
    private endsAt = -Infinity;
    private readonly ending: Promise<void>[] = [];
    private sequence = 0;

    private constructor(private readonly platform: RoutedPlatform, private readonly options: SeriesOptions) {
        this.random = SeededRandom.create(options.seed);
    }

    /** Runs a series before a platform without further endpoints; returns how each request ended. */
    static async run(platform: RoutedPlatform, options: SeriesOptions): Promise<SeriesResult[]> {
        const series = new ConfigurationSeries(platform, options);
        await series.startSecondServices();
        series.endsAt = performance.now() + options.duration;
        await Promise.all([
            series.changeConfigurations(),
            series.replaceEndpoints(),
            series.silenceEndpoints(),
            ...Array.from(
                { length: callerCount },
                (_value, index) => series.runCaller(options.ports[index % options.ports.length] as number),
            ),
        ]);
        await Promise.all(series.ending);
        return series.results;
    }

    private isRunning(): boolean {
        return performance.now() < this.endsAt;
    }

    private async startSecondServices(): Promise<void> {
        for (const worker of this.platform.listWorkers()) {
            setWork(worker);
        }
        for (const service of Object.keys(secondServices)) {
            for (let index = 0; index < endpointsEach; index += 1) {
                await this.addEndpoint(secondServices[service] as string, service === routedNames.engines);
            }
        }
        await sleep(registrationMilliseconds);
    }

    private async addEndpoint(service: string, isEngine: boolean): Promise<void> {
        this.sequence += 1;
        const worker = RoutedWorker.create(`i-series-${this.sequence}`, service, "xela", isEngine);
        setWork(worker);
        await worker.start();
        (isEngine ? this.platform.engines : this.platform.callWorkers).push(worker);
        this.platform.publishWorker(worker);
    }

    private async changeConfigurations(): Promise<void> {
        while (this.isRunning()) {
            this.platform.publishManifest(this.createParts());
            await sleep(changeIntervalMilliseconds);
        }
        this.platform.publishManifest();
    }

    private createParts(): Readonly<Record<string, unknown>> {
        const { random } = this;
        const manifest = this.platform.createManifest() as {
            routes: Readonly<Record<string, unknown>>[];
            services: Readonly<Record<string, unknown>>[];
            tenants: Readonly<Record<string, unknown>>[];
            limits: Readonly<Record<string, unknown>>;
        };
        const routes = manifest.routes.map(route => this.changeRoute(route));
        const added = random.pickIndex(3) === 0
            ? Array.from(
                { length: addedRoutes },
                (_value, index) => ({ ...routes[0], name: `added-${index}`, "path-prefix": `/added-${index}/` }),
            )
            : [];
        const services = manifest.services.flatMap(service => [service, { ...service, name: secondServices[String(service["name"])] }]);
        const used = new Set(routes.flatMap(route => route.split.map(share => share.service)));
        return {
            routes: [...routes, ...added],
            services: services.filter(service => used.has(String(service.name))),
            tenants: [
                { ...manifest.tenants[0], priority: random.pickIndex(3), "rate-per-s": random.pickIndex(2) * 1e6, burst: 1e6 },
                { ...manifest.tenants[0], name: `guests-${random.pickIndex(5)}`, keys: [`key-of-guests-${random.pickIndex(5)}`] },
            ],
            limits: {
                ...manifest.limits,
                "idle-timeout-ms": idleLimitMilliseconds * (1 + random.pickIndex(3)),
                "header-timeout-ms": 1_000 + random.pickIndex(3_000),
                "max-body-bytes": 1_000 + random.pickIndex(100_000),
            },
        };
    }

    private changeRoute(route: Readonly<Record<string, unknown>>) {
        const { random } = this;
        const { service, ...rest } = route;
        const first = { service: String(service), weight: random.pickIndex(4) };
        const second = { service: secondServices[String(service)] as string, weight: random.pickIndex(4) + 1 };
        const split = [[first, second], [{ ...first, weight: 1 }], [second]][random.pickIndex(3)] as { service: string; weight: number; }[];
        return {
            ...rest,
            split,
            attempts: 1 + random.pickIndex(4),
            resumable: route["kind"] === "stream" && random.pickIndex(2) === 0,
            priority: random.pickIndex(3),
            "timeout-ms": shortestTimeoutMilliseconds + random.pickIndex(4_000),
        };
    }

    private async replaceEndpoints(): Promise<void> {
        while (this.isRunning()) {
            const { engines, callWorkers } = this.platform;
            const group = this.random.pickIndex(2) === 0 ? engines : callWorkers;
            const [worker] = group.splice(this.random.pickIndex(group.length), 1) as [RoutedWorker];
            await this.addEndpoint(worker.service, worker.isEngine);
            this.ending.push(this.endEndpoint(worker, this.random.pickIndex(3) > 0));
            await sleep(replacementIntervalMilliseconds);
        }
    }

    private async silenceEndpoints(): Promise<void> {
        while (this.isRunning()) {
            const workers = this.platform.listWorkers();
            const isShared = this.random.pickFraction() < sharedSilenceShare;
            const silenced = isShared ? workers : [workers[this.random.pickIndex(workers.length)] as RoutedWorker];
            silenced.forEach(worker => worker.silenceFor(silenceMilliseconds));
            await sleep(silenceIntervalMilliseconds);
        }
    }

    /** Lets an endpoint leave, which says so in its entry or has its entry removed, and stops it some time later. */
    private async endEndpoint(worker: RoutedWorker, hasNotice: boolean): Promise<void> {
        worker.isDraining = true;
        if (hasNotice) {
            this.platform.publishWorker(worker);
        }
        else {
            this.platform.store.removeObject(ObjectKinds.servers, worker.id);
        }
        await sleep(listeningMilliseconds);
        worker.stopListening();
        await sleep(drainMilliseconds - listeningMilliseconds);
        this.platform.store.removeObject(ObjectKinds.servers, worker.id);
        await worker.stop();
    }

    private async runCaller(port: number): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        while (this.isRunning()) {
            await this.sendRequest(agent, port);
            const isLong = this.random.pickFraction() < longPauseShare;
            await sleep(this.random.pickFraction() * (isLong ? idleLimitMilliseconds * longestIdleShare : 20));
        }
        agent.destroy();
    }

    private sendRequest(agent: Agent, port: number): Promise<void> {
        const path = paths[this.random.pickIndex(paths.length)] as string;
        this.sequence += 1;
        const id = `series-${this.options.seed}-${this.sequence}`;
        const sentAt = performance.now();
        let body = "";
        return new Promise(resolve => {
            const finish = (status: number, isWhole: boolean) => {
                this.results.push({ id, path, status, isWhole, body, milliseconds: performance.now() - sentAt });
                resolve();
            };
            const request = sendHttpRequest({
                host: "127.0.0.1",
                port,
                path,
                method: "POST",
                agent,
                headers: {
                    host: routedNames.host,
                    authorization: `Bearer ${routedNames.key}`,
                    [HeaderNames.attemptId]: id,
                    [HeaderNames.deadline]: String(deadlineMilliseconds),
                },
            });
            request.once("error", () => finish(0, false));
            request.once("response", response => {
                request.removeAllListeners("error").on("error", () => {});
                response.on("error", () => {});
                response.on("data", (chunk: Buffer) => (body += chunk.toString()));
                response.once("close", () => finish(response.statusCode ?? 0, response.complete));
            });
            request.end("{}");
        });
    }
}

function setWork(worker: RoutedWorker): void {
    worker.workMilliseconds = worker.isEngine ? 20 : 60;
    worker.eventCount = 12;
    worker.eventMilliseconds = 60;
}
