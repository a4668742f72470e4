import got from "got";
import { Container } from "inversify";
import { Agent } from "node:http";
import { SystemClock } from "../common/clock.js";
import { hashSha256 } from "../common/hashing.js";
import { createSilentLogger } from "../common/logging.js";
import { SeededRandom } from "../common/random.js";
import { configurationPrefix } from "../config/objectNames.js";
import { formatAddress } from "../config/sectionReader.js";
import { Priority, ServiceDeclaration, ServiceKind, TeamConfiguration } from "../config/types.js";
import { NodeSettings } from "../config/types.js";
import { createNodeContainer } from "../node/composition.js";
import { CorianderNode } from "../node/corianderNode.js";
import { Keys, replaceBinding } from "../node/keys.js";
import { StandInEngine } from "../standins/engine.js";
import { CacheExchange, EngineOptions } from "../standins/engineTypes.js";
import { StandInPlainService } from "../standins/plainService.js";
import { StandInPlatform } from "../standins/platform.js";
import { CuttableModelClient, CuttablePeerLink, CuttablePlainClient, NetworkCuts } from "./networkCuts.js";

/** How a deployment of stand-ins and nodes is laid out. */
export interface DeploymentOptions {
    readonly domains: readonly string[];
    readonly nodesPerDomain: number;
    readonly enginesPerDomain: number;
    readonly plainPerDomain: number;
    readonly plainGroup: string;
    readonly regions: Readonly<Record<string, string>>;
    readonly prices: Readonly<Record<string, number>>;
    readonly engine: Partial<EngineOptions>;
    readonly teams: readonly TeamConfiguration[];
    readonly seed: number;
    readonly settings: Partial<Omit<NodeSettings, "timing">>;
    readonly timing: Partial<NodeSettings["timing"]>;
    /** Changes bindings of a node before it is created. */
    readonly customize?: (container: Container, settings: NodeSettings) => void;
}

/** Bearer token of the team with a name, in tests. */
export function createTestToken(team: string): string {
    return `token-of-${team}`;
}

/** Creates a service declaration with defaults that suit tests. */
export function createTestService(name: string, changes: Partial<ServiceDeclaration> = {}): ServiceDeclaration {
    const isModel = (changes.kind ?? ServiceKind.Model) === ServiceKind.Model;
    return {
        name,
        kind: ServiceKind.Model,
        group: isModel ? "engines" : "plain",
        version: "v1",
        versions: [{ name: "v1", model: "desk-1" }, { name: "v2", model: "desk-2" }],
        priority: Priority.Lookup,
        idempotent: true,
        acceptsAsync: false,
        timeLimit: 20_000,
        queueTimeLimit: 5_000,
        silenceLimit: 2_000,
        retentionSeconds: 3_600,
        maxTokens: 2_048,
        queueLimit: 1_000,
        requestsPerHour: 1_000,
        callers: [],
        weights: { latency: 1, cost: 1, prefix: 1 },
        ...changes,
    };
}

/** Creates a team with its services. */
export function createTestTeam(name: string, services: readonly ServiceDeclaration[], requestsPerSecond = 100_000): TeamConfiguration {
    return {
        team: { name, tokenHashes: [hashSha256(createTestToken(name))], requestsPerSecond, share: 1 },
        services: [...services],
        moves: [],
    };
}

/** The services that most tests use: lookups, drafts, idempotent calls and calls that may not be repeated. */
export function createDefaultTeams(): TeamConfiguration[] {
    return [
        createTestTeam("desk", [
            createTestService("lookup"),
            createTestService("draft", { priority: Priority.Draft, acceptsAsync: true, timeLimit: 60_000, silenceLimit: 5_000 }),
            createTestService("records", { kind: ServiceKind.Plain }),
            createTestService("voucher", { kind: ServiceKind.Plain, priority: Priority.Effect, idempotent: false, timeLimit: 5_000 }),
        ]),
    ];
}

const defaultOptions: DeploymentOptions = {
    domains: ["xela"],
    nodesPerDomain: 1,
    enginesPerDomain: 2,
    plainPerDomain: 1,
    plainGroup: "plain",
    regions: {},
    prices: {},
    engine: {},
    teams: createDefaultTeams(),
    seed: 1,
    settings: {},
    timing: {},
};

/** Longest time in which the nodes of a deployment become ready, in milliseconds; a machine under load takes seconds. */
const readyLimitMilliseconds = 60_000;

const anyPort = { host: "127.0.0.1", port: 0 };

/** Stand-ins and nodes in one process. */
export class Deployment {
    readonly engines: StandInEngine[] = [];
    readonly plainServices: StandInPlainService[] = [];
    readonly nodes: CorianderNode[] = [];
    readonly cacheExchange = CacheExchange.create();
    readonly cuts = NetworkCuts.create(SystemClock.create());
    /** Unix milliseconds at which the reclaim of an endpoint was announced, by its name. */
    readonly announcedAt = new Map<string, number>();
    private nodeCount = 0;

    private constructor(readonly options: DeploymentOptions, readonly platform: StandInPlatform) {}

    /** Creates and starts a deployment, publishes the configuration, and waits until every node is ready. */
    static async create(changes: Partial<DeploymentOptions> = {}): Promise<Deployment> {
        const options = { ...defaultOptions, ...changes };
        const deployment = new Deployment(options, StandInPlatform.create(options.seed));
        await deployment.platform.start();
        try {
            await deployment.startParts();
        }
        catch (error) {
            // Left running, its parts would keep the process of the tests from exiting.
            await deployment.stop();
            throw error;
        }
        return deployment;
    }

    /** Writes teams' configuration into the stand-in platform, as publish does. */
    async publishTeams(teams: readonly TeamConfiguration[]): Promise<void> {
        for (const team of teams) {
            const url = `${this.platform.getUrl("publisher")}/objects/${encodeURIComponent(configurationPrefix + team.team.name)}`;
            // Each publish comes from another process in life: no connection of an earlier one is used.
            await got(url, { method: "PUT", json: { value: team }, retry: { limit: 0 }, agent: { http: new Agent({ keepAlive: false }) } });
        }
    }

    /** Starts an engine and shows it in the host list. */
    async addEngine(domain: string, changes: Partial<EngineOptions> = {}): Promise<StandInEngine> {
        const name = changes.name ?? `engine-${domain}-${this.engines.length + 1}`;
        const engine = StandInEngine.create(
            { ...this.options.engine, seed: this.options.seed + this.engines.length, ...changes, name },
            this.cacheExchange,
        );
        await engine.start();
        this.engines.push(engine);
        this.cuts.addAddress(engine.getAddress(), domain);
        this.addHost(name, domain, "engines", formatAddress(engine.getAddress()));
        return engine;
    }

    /** Starts a plain service and shows it in the host list. */
    async addPlainService(domain: string): Promise<StandInPlainService> {
        const name = `plain-${domain}-${this.plainServices.length + 1}`;
        const service = StandInPlainService.create(name);
        await service.start();
        this.plainServices.push(service);
        this.cuts.addAddress(service.getAddress(), domain);
        this.addHost(name, domain, this.options.plainGroup, formatAddress(service.getAddress()));
        return service;
    }

    /** Starts a node and shows it in the host list. */
    async addNode(domain: string): Promise<CorianderNode> {
        const region = this.options.regions[domain] ?? "home";
        this.nodeCount += 1;
        const settings = this.createSettings(`node-${domain}-${this.nodeCount}`, domain, region);
        const container = createNodeContainer(settings);
        replaceBinding(container, Keys.Logger, createSilentLogger());
        replaceBinding(container, Keys.Random, SeededRandom.create(this.options.seed * 1_000 + this.nodeCount));
        addCuts(container, domain, this.cuts);
        this.options.customize?.(container, settings);
        const node = CorianderNode.create(settings, container);
        const addresses = await node.start();
        this.nodes.push(node);
        this.cuts.addAddress(addresses.peers, domain);
        this.platform.hosts.push({
            name: settings.name,
            role: "entry",
            failure_domain: domain,
            region,
            address: formatAddress(addresses.peers),
            state: "live",
        });
        this.platform.publishHosts();
        return node;
    }

    /** Announces the reclaim of an endpoint and kills it when the notice runs out. */
    async removeEngine(engine: StandInEngine, noticeMilliseconds: number, refusesWork = true): Promise<void> {
        this.announcedAt.set(engine.options.name, Date.now());
        this.markHostLeaving(engine.options.name, Date.now() + noticeMilliseconds);
        engine.isLeaving = refusesWork;
        await new Promise(resolve => setTimeout(resolve, noticeMilliseconds));
        await engine.kill();
        this.removeHost(engine.options.name);
    }

    markHostLeaving(name: string, leavesAt: number): void {
        for (const host of this.platform.hosts.filter(candidate => candidate.name === name)) {
            host.state = "leaving";
            host.leaves_at = leavesAt;
        }
        this.platform.publishHosts();
    }

    removeHost(name: string): void {
        this.platform.hosts = this.platform.hosts.filter(host => host.name !== name);
        this.platform.publishHosts();
    }

    /** Returns the base URL for callers of a node. */
    getCallerUrl(index = 0): string {
        return `http://${formatAddress((this.nodes[index] as CorianderNode).getAddresses().callers)}`;
    }

    getOperatorUrl(index = 0): string {
        return `http://${formatAddress((this.nodes[index] as CorianderNode).getAddresses().operators)}`;
    }

    /** Waits until every node is ready; throws after a time with the reasons of one that is not. */
    async waitUntilReady(): Promise<void> {
        const until = performance.now() + readyLimitMilliseconds;
        for (const node of this.nodes) {
            while (node.container.get(Keys.Gate).listUnreadyReasons().length > 0) {
                if (performance.now() > until) {
                    const reasons = node.container.get(Keys.Gate).listUnreadyReasons().join("; ");
                    throw new Error(`node ${node.settings.name} did not become ready: ${reasons}`);
                }
                await new Promise(resolve => setTimeout(resolve, 10));
            }
        }
    }

    /** Stops everything at once. */
    async stop(): Promise<void> {
        await Promise.all(this.nodes.map(node => node.kill()));
        await Promise.all(this.engines.map(engine => engine.kill()));
        await Promise.all(this.plainServices.map(service => service.kill()));
        await this.platform.stop();
    }

    private async startParts(): Promise<void> {
        await this.startEndpoints();
        await this.publishTeams(this.options.teams);
        for (const domain of this.options.domains) {
            for (let index = 0; index < this.options.nodesPerDomain; index += 1) {
                await this.addNode(domain);
            }
        }
        await this.waitUntilReady();
    }

    private async startEndpoints(): Promise<void> {
        for (const domain of this.options.domains) {
            for (let index = 0; index < this.options.enginesPerDomain; index += 1) {
                await this.addEngine(domain);
            }
            for (let index = 0; index < this.options.plainPerDomain; index += 1) {
                await this.addPlainService(domain);
            }
        }
    }

    private addHost(name: string, domain: string, group: string, address: string): void {
        this.platform.hosts.push({
            name,
            role: "endpoint",
            failure_domain: domain,
            region: this.options.regions[domain] ?? "home",
            address,
            group,
            state: "live",
            price_per_hour: this.options.prices[domain] ?? 1,
        });
        this.platform.publishHosts();
    }

    private createSettings(name: string, failureDomain: string, region: string): NodeSettings {
        const settings = createTestSettings(name, failureDomain, region, this.platform.getUrl(name));
        return { ...settings, ...this.options.settings, timing: { ...settings.timing, ...this.options.timing } };
    }
}

/** Creates a node's settings with free ports and short times, as tests want them. */
export function createTestSettings(name: string, failureDomain: string, region: string, platformUrl: string): NodeSettings {
    return {
        name,
        failureDomain,
        region,
        callers: anyPort,
        peersListen: anyPort,
        operators: anyPort,
        peers: [],
        objectsUrl: platformUrl,
        hostListUrl: platformUrl,
        cloudUrl: undefined,
        weightStoreUrl: undefined,
        platformToken: undefined,
        operatorTokenHash: undefined,
        tls: undefined,
        groups: [],
        limits: {
            bodyBytes: 1_048_576,
            answerBytes: 8_388_608,
            headerBytes: 16_384,
            openRequests: 10_000,
            endpointConcurrency: 64,
            memoryBytes: 1_073_741_824,
            callerConnections: 10_000,
        },
        logLevel: "error",
        collectorUrl: undefined,
        traceSampleRatio: 0,
        webhookUrl: undefined,
        timing: {
            readinessGrace: 100,
            drainLimit: 10_000,
            exchangeInterval: 150,
            peerSilence: 1_000,
            platformTimeout: 1_000,
            watchSilence: 2_000,
            hostListInterval: 200,
            loadInterval: 200,
            leaseTerm: 3_000,
            quarantineTerm: 60_000,
            connectTimeout: 1_000,
        },
    };
}

/** Wraps a node's clients so that they respect cuts between failure domains. */
function addCuts(container: Container, domain: string, cuts: NetworkCuts): void {
    replaceBinding(container, Keys.PeerLink, CuttablePeerLink.create(container.get(Keys.PeerLink), domain, cuts));
    replaceBinding(container, Keys.ModelClient, CuttableModelClient.create(container.get(Keys.ModelClient), domain, cuts));
    replaceBinding(container, Keys.PlainClient, CuttablePlainClient.create(container.get(Keys.PlainClient), domain, cuts));
}
