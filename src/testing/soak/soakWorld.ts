import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { HeaderNames, ObjectKinds } from "../../../platform/wire.js";
import { routedNames, RoutedPlatform } from "../../standins/routed/routedPlatform.js";
import { StoreMood } from "../../standins/routed/routedStore.js";
import { RoutedWorker, RunRecord, WorkerFault } from "../../standins/routed/routedWorker.js";
import { createChunk, createMembers, Crowd } from "../crowds/crowd.js";
import { GatewayProcess } from "../gatewayProcess.js";
import { FaultProxy, LinkMood } from "./faultProxy.js";
import { FaultKind, PlannedFault } from "./soakPlan.js";

const failureDomains = ["xela", "peten", "coban"];
const endpointsEach = 3;
/** Time in which a stopped process must have ended, in milliseconds: the drain limit and a second. */
const stopLimitMilliseconds = 9_000;
/** Time until a process that ended is started again, in milliseconds. */
const restartMilliseconds = 300;
/** Interval at which the balancer asks nodes whether they are ready, in milliseconds. */
const readinessMilliseconds = 250;
/** Time for which a leaving endpoint still serves, in milliseconds. */
const endpointDrainMilliseconds = 2_000;
/** Failed answers in a row of an endpoint that goes bad. */
const errorsInRow = 20;
/** Time within which nothing reaches an evacuated failure domain any more, in milliseconds. */
export const evacuationLimitMilliseconds = 5_000;
/** Callers whose bodies come in small chunks, stop before their end and stay open. */
const crowd = createMembers(20, {
    head: [
        "POST /lookup/1 HTTP/1.1",
        `host: ${routedNames.host}`,
        `authorization: Bearer ${routedNames.key}`,
        `${HeaderNames.attemptId}: crowd`,
        "transfer-encoding: chunked",
        "",
        "",
    ].join("\r\n"),
    bytes: Buffer.from(createChunk(8).repeat(500)),
    repeats: 8,
});
const linkMoods = [LinkMood.Delayed, LinkMood.Resetting, LinkMood.RequestsLost, LinkMood.AnswersLost, LinkMood.OpenOnesSilent];

/** A gateway with the links that lead to it and from it. */
export class SoakNode {
    isReady = false;
    /** Whether it is about to be started again, or was stopped on purpose. */
    isRestarting = false;

    private constructor(readonly process: GatewayProcess, readonly callerLink: FaultProxy, readonly storeLink: FaultProxy) {}

    static async create(index: number, directory: string, platform: RoutedPlatform): Promise<SoakNode> {
        const storeLink = await FaultProxy.start(platform.storeAddress);
        const process = await GatewayProcess.create({
            name: `node-${index + 1}`,
            failureDomain: failureDomains[index % failureDomains.length] as string,
            directory,
            storeAddress: storeLink.getAddress(),
            cloudAddress: platform.cloudAddress,
            seeds: "",
            fields: { "bounds.evacuate-ms": String(evacuationLimitMilliseconds) },
            lines: ["[hedging]", "extra-share = 0.1"],
        });
        return new SoakNode(process, await FaultProxy.start(`127.0.0.1:${process.callers}`), storeLink);
    }

    get name(): string {
        return this.process.name;
    }

    getPort(): number {
        return this.callerLink.getPort();
    }

    isInRotation(): boolean {
        return this.isReady;
    }
}

/** Real gateways before stand-ins of the platform, with faults from outside. */
export class SoakWorld {
    readonly nodes: SoakNode[] = [];
    readonly platform = RoutedPlatform.create();
    private readonly endpointLinks = new Map<RoutedWorker, FaultProxy>();
    private readonly endedWorkers: RoutedWorker[] = [];
    private sequence = 0;
    private isStopped = false;

    private constructor(private readonly directory: string) {}

    /** Starts the platform and the gateways; settings and logs go to the directory. */
    static async start(nodeCount: number, directory: string): Promise<SoakWorld> {
        const world = new SoakWorld(directory);
        mkdirSync(directory, { recursive: true });
        await world.platform.start(endpointsEach, failureDomains);
        for (const worker of world.platform.listWorkers()) {
            await world.publishThroughLink(worker);
        }
        for (let index = 0; index < nodeCount; index += 1) {
            const node = await SoakNode.create(index, directory, world.platform);
            node.process.startProcess();
            world.nodes.push(node);
        }
        // Whoever stops the soak must not leave its gateways behind.
        for (const signal of ["SIGINT", "SIGTERM"] as const) {
            process.once(signal, () => {
                world.killGateways();
                process.exit(1);
            });
        }
        await Promise.all(world.nodes.map(node => node.process.waitUntilReady()));
        void world.watchReadiness();
        return world;
    }

    async stop(): Promise<void> {
        this.isStopped = true;
        this.killGateways();
        await Promise.all(this.nodes.map(async node => {
            await node.callerLink.stop();
            await node.storeLink.stop();
        }));
        await Promise.all([...this.endpointLinks.values()].map(link => link.stop()));
        await this.platform.stop();
    }

    listRuns(): RunRecord[] {
        return [...this.platform.listWorkers(), ...this.endedWorkers].flatMap(worker => worker.runs);
    }

    /** Orders the evacuation of a failure domain that a number picks; returns the domain. */
    orderEvacuation(choice: number): string {
        const domain = failureDomains[choice % failureDomains.length] as string;
        this.platform.store.putObject(ObjectKinds.evacuations, domain, {});
        return domain;
    }

    /** Returns how many requests the endpoints of a failure domain have run. */
    countRunsIn(domain: string): number {
        return this.platform.listWorkers().filter(({ zone }) => zone === domain).reduce((sum, { runs }) => sum + runs.length, 0);
    }

    /** Returns gateways that ended on their own. */
    listUnexpectedEnds(): string[] {
        return this.nodes.filter(node => !node.process.isRunning() && !node.isRestarting).map(node => `${node.name} ended on its own`);
    }

    getLogFile(node: SoakNode): string {
        return join(this.directory, `${node.name}.log`);
    }

    /** Strikes, and resolves when what was struck is well again. */
    async runFault(fault: PlannedFault): Promise<void> {
        const node = this.nodes[fault.choice % this.nodes.length] as SoakNode;
        switch (fault.kind) {
            case FaultKind.NodeKill:
                return this.restartNode(node, "SIGKILL");
            case FaultKind.NodeStop:
                return this.restartNode(node, "SIGTERM");
            case FaultKind.NodeFreeze:
                return this.freezeNode(node, fault.duration);
            case FaultKind.NodeReload:
                node.process.sendSignal("SIGHUP");
                return;
            case FaultKind.AllNodesKill:
                await Promise.all(this.nodes.map(each => this.restartNode(each, "SIGKILL")));
                return;
            case FaultKind.StoreRefusing:
                return this.injectStoreFault(StoreMood.Refusing, fault.duration);
            case FaultKind.StoreSilent:
                return this.injectStoreFault(StoreMood.Silent, fault.duration);
            case FaultKind.StoreLosingAnswers:
                return this.injectStoreFault(StoreMood.LosingAnswers, fault.duration);
            case FaultKind.HistoryLost:
                this.platform.store.applyUnseen(() => this.platform.publishManifest());
                return;
            case FaultKind.Configuration:
                this.platform.publishManifest();
                return;
            case FaultKind.StoreLink:
                return injectLinkFault(node.storeLink, fault);
            case FaultKind.CallerLink:
                return injectLinkFault(node.callerLink, fault);
            case FaultKind.EndpointLink:
                return injectLinkFault(this.endpointLinks.get(this.pickWorker(fault)) as FaultProxy, fault);
            case FaultKind.EndpointCrash:
                return this.replaceWorker(this.pickWorker(fault), false);
            case FaultKind.EndpointDrain:
                return this.replaceWorker(this.pickWorker(fault), true);
            case FaultKind.EndpointErrors:
                this.pickWorker(fault).faults.push(...Array.from({ length: errorsInRow }, () => pickWorkerFault(fault)));
                return;
            case FaultKind.CallerCrowd:
                return injectCrowd(node, fault.duration);
        }
    }

    private killGateways(): void {
        this.nodes.forEach(node => node.process.sendSignal("SIGKILL"));
    }

    private pickWorker(fault: PlannedFault): RoutedWorker {
        const workers = this.platform.listWorkers();
        return workers[fault.choice % workers.length] as RoutedWorker;
    }

    private async restartNode(node: SoakNode, signal: "SIGKILL" | "SIGTERM"): Promise<void> {
        if (node.isRestarting || !node.process.isRunning()) {
            return;
        }
        node.isRestarting = true;
        const ended = node.process.waitForEnd();
        // A frozen process takes no SIGTERM.
        node.process.sendSignal("SIGCONT");
        node.process.sendSignal(signal);
        const killer = setTimeout(() => node.process.sendSignal("SIGKILL"), stopLimitMilliseconds);
        await ended;
        clearTimeout(killer);
        await sleep(restartMilliseconds);
        if (!this.isStopped) {
            node.process.startProcess();
        }
        node.isRestarting = false;
    }

    private async freezeNode(node: SoakNode, duration: number): Promise<void> {
        node.process.sendSignal("SIGSTOP");
        await sleep(duration);
        node.process.sendSignal("SIGCONT");
    }

    private async injectStoreFault(mood: StoreMood, duration: number): Promise<void> {
        this.platform.store.mood = mood;
        await sleep(duration);
        this.platform.store.mood = StoreMood.Well;
    }

    /** Takes an endpoint away, with notice or without, and brings another one. */
    private async replaceWorker(worker: RoutedWorker, hasNotice: boolean): Promise<void> {
        const group = this.platform.engines.includes(worker) ? this.platform.engines : this.platform.callWorkers;
        if (!group.includes(worker)) {
            return;
        }
        group.splice(group.indexOf(worker), 1);
        this.endedWorkers.push(worker);
        this.sequence += 1;
        const next = RoutedWorker.create(`i-next-${this.sequence}`, worker.service, worker.zone, worker.isEngine);
        next.eventCount = worker.eventCount;
        await next.start();
        group.push(next);
        await this.publishThroughLink(next);
        if (hasNotice) {
            worker.isDraining = true;
            await this.publishThroughLink(worker);
            await sleep(endpointDrainMilliseconds);
        }
        const link = this.endpointLinks.get(worker);
        link?.setMood(LinkMood.Resetting);
        this.platform.store.removeObject(ObjectKinds.servers, worker.id);
        await worker.stop();
    }

    private async publishThroughLink(worker: RoutedWorker): Promise<void> {
        const link = this.endpointLinks.get(worker) ?? await FaultProxy.start(worker.getAddress());
        this.endpointLinks.set(worker, link);
        this.platform.store.putObject(ObjectKinds.servers, worker.id, { ...worker.createEntry(), addr: link.getAddress() });
    }

    private async watchReadiness(): Promise<void> {
        while (!this.isStopped) {
            await Promise.all(this.nodes.map(async node => (node.isReady = await node.process.isReady())));
            await sleep(readinessMilliseconds);
        }
    }
}

async function injectLinkFault(link: FaultProxy, fault: PlannedFault): Promise<void> {
    link.setMood(linkMoods[fault.variant % linkMoods.length] as LinkMood);
    await sleep(fault.duration);
    link.setMood(LinkMood.Well);
}

async function injectCrowd(node: SoakNode, duration: number): Promise<void> {
    const callers = Crowd.start(node.process.callers, crowd);
    await sleep(duration);
    await callers.close();
}

function pickWorkerFault(fault: PlannedFault): WorkerFault {
    const faults = Object.values(WorkerFault).filter(candidate => candidate !== WorkerFault.None);
    return faults[fault.variant % faults.length] as WorkerFault;
}
