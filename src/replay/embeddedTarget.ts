import { dirname, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Diagnostic } from "../common/diagnostics.js";
import { Err, Ok, Result } from "../common/results.js";
import { millisecondsPerHour, millisecondsPerSecond } from "../common/units.js";
import { configurationPrefix, movePrefix } from "../config/objectNames.js";
import { formatAddress } from "../config/sectionReader.js";
import { readServiceFiles } from "../config/serviceFiles.js";
import { ServiceKind, TeamConfiguration } from "../config/types.js";
import { MoveRecord, MoveState } from "../control/moves/moveRecord.js";
import { CorianderNode } from "../node/corianderNode.js";
import { Keys } from "../node/keys.js";
import { StandInEngine } from "../standins/engine.js";
import { CallFault } from "../standins/plainService.js";
import { Deployment } from "../testing/deployment.js";
import { BalancedNode } from "./balancer.js";
import { MoveTruth, StandInTruth } from "./report.js";
import { FaultKind, Trace, TraceFault, TraceHead, TraceMove } from "./types.js";

const defaultPlainGroup = "plain";
/** Time for which, and pause with which, a publish is tried again while the platform is away, in milliseconds. */
const publishLimitMilliseconds = 20_000;
const publishPauseMilliseconds = 300;
/** Time after a move's deadline at which its end is judged, in milliseconds. */
const settleMilliseconds = 1_000;
/** Time for which the host list still shows a host that died, in milliseconds. */
const hostListLagMilliseconds = 5_000;

/** What a trace runs against. */
export interface ReplayTarget {
    listNodes(): readonly BalancedNode[];
    injectFault(fault: TraceFault): Promise<void>;
    /** Publishes a team's configuration with a small change. */
    publishTeam(team: string): Promise<void>;
    /** Starts a version move. */
    startMove(move: TraceMove): Promise<void>;
    readTruth(): StandInTruth;
    stop(): Promise<void>;
}

/** Stand-ins and nodes in this process, laid out as the trace's first line says. */
export class EmbeddedTarget implements ReplayTarget {
    private readonly startedAt = Date.now();
    private readonly stoppedNodes = new Set<CorianderNode>();
    private readonly inForceAt = new Map<string, number[]>();
    private readonly badModels = new Set<string>();
    private readonly moves: { service: string; to: string; deadline: number; }[] = [];
    private publishCount = 0;

    private constructor(
        readonly deployment: Deployment,
        private readonly head: TraceHead,
        private readonly teams: readonly TeamConfiguration[],
    ) {}

    /** Starts everything; fails when the trace's service files have faults. */
    static async create(trace: Trace, seed: number): Promise<Result<EmbeddedTarget, Diagnostic[]>> {
        const directory = resolve(dirname(trace.file), trace.head.services);
        const files = readServiceFiles([directory], Date.now());
        if (files.err) {
            return files;
        }
        return Ok(await EmbeddedTarget.createDeployment(trace.head, files.val.teams, seed));
    }

    private static async createDeployment(head: TraceHead, teams: readonly TeamConfiguration[], seed: number): Promise<EmbeddedTarget> {
        const services = teams.flatMap(team => team.services);
        const models = [...new Set(services.flatMap(service => service.versions.map(version => version.model)))];
        const plainGroup = services.find(service => service.kind === ServiceKind.Plain)?.group ?? defaultPlainGroup;
        const deployment = await Deployment.create({
            domains: head.domains.map(domain => domain.name),
            regions: Object.fromEntries(head.domains.map(domain => [domain.name, domain.region])),
            prices: Object.fromEntries(head.domains.map(domain => [domain.name, domain.price_per_hour])),
            nodesPerDomain: head.domains[0]?.nodes ?? 1,
            enginesPerDomain: head.domains[0]?.engines ?? 1,
            plainPerDomain: head.domains[0]?.plain ?? 1,
            plainGroup,
            engine: {
                capacity: head.engine_capacity,
                stepTime: head.engine_step_milliseconds,
                prefillRate: head.engine_prefill_tokens_per_millisecond,
                models,
            },
            teams,
            seed,
        });
        const target = new EmbeddedTarget(deployment, head, teams);
        target.observeConfiguration();
        return target;
    }

    listNodes(): readonly BalancedNode[] {
        return this.deployment.nodes.map(node => {
            const addresses = node.getAddresses();
            return { callerUrl: `http://${formatAddress(addresses.callers)}`, operatorUrl: `http://${formatAddress(addresses.operators)}` };
        });
    }

    async injectFault(fault: TraceFault): Promise<void> {
        const { deployment } = this;
        const { platform } = deployment;
        const duration = fault.seconds * millisecondsPerSecond;
        switch (fault.fault) {
            case FaultKind.ReclaimEndpoint:
                return this.reclaimEngines(this.listEngines(fault).slice(fault.index, fault.index + 1), fault);
            case FaultKind.ReclaimDomain:
                return this.reclaimEngines(this.listEngines(fault), fault);
            case FaultKind.KillEndpoint:
                return this.killEngine(this.listEngines(fault)[fault.index]);
            case FaultKind.StopNode:
                return this.stopNode(this.listNodesOf(fault)[fault.index]);
            case FaultKind.KillNode:
                return this.killNode(this.listNodesOf(fault)[fault.index]);
            case FaultKind.SilenceEndpoint:
                this.listEngines(fault)[fault.index]?.silenceConnections();
                return;
            case FaultKind.SilencePlatform:
                platform.silenceConnections();
                return;
            case FaultKind.Partition:
                deployment.cuts.addMutualCut(fault.domain ?? "", fault.other_domain ?? "");
                await sleep(duration);
                deployment.cuts.removeCuts();
                return;
            case FaultKind.CutFromPlatform:
                return this.cutFromPlatform(fault, duration);
            case FaultKind.PlatformOutage:
                platform.faults.isDown = true;
                platform.closeWatches();
                await sleep(duration);
                platform.faults.isDown = false;
                return;
            case FaultKind.SlowPlatform:
                platform.faults.delayMilliseconds = duration;
                await sleep(duration);
                platform.faults.delayMilliseconds = 0;
                return;
            case FaultKind.LostAnswers:
                platform.faults.lostAnswerShare = fault.share;
                await sleep(duration);
                platform.faults.lostAnswerShare = 0;
                return;
            case FaultKind.BadVersion:
                this.makeVersionBad(fault);
                return;
            case FaultKind.EffectFault:
                this.addEffectFault(fault);
        }
    }

    async startMove(move: TraceMove): Promise<void> {
        const deadline = Date.now() + move.deadline_seconds * millisecondsPerSecond;
        this.moves.push({ service: move.service, to: move.to, deadline });
        const node = this.deployment.nodes[0] as CorianderNode;
        await node.container.get(Keys.MoveOperations).startMove(move.service, move.to, deadline, false);
        // The run lasts until the move's deadline, so that its end can be judged.
        await sleep(move.deadline_seconds * millisecondsPerSecond + settleMilliseconds);
    }

    async publishTeam(name: string): Promise<void> {
        const team = this.teams.find(candidate => candidate.team.name === name);
        if (team === undefined) {
            return;
        }
        this.publishCount += 1;
        const services = team.services.map(service => ({ ...service, requestsPerHour: service.requestsPerHour + this.publishCount }));
        const until = Date.now() + publishLimitMilliseconds;
        while (Date.now() < until) {
            try {
                await this.deployment.publishTeams([{ ...team, services }]);
                return;
            }
            catch {
                // The platform is away; an operator would try again, too.
                await sleep(publishPauseMilliseconds);
            }
        }
    }

    readTruth(): StandInTruth {
        const { deployment } = this;
        const effects = deployment.plainServices.flatMap(service => service.effects);
        const attempts = deployment.engines.flatMap(engine => engine.attempts);
        const effectsByKey = new Map<string, number>();
        for (const effect of effects) {
            effectsByKey.set(effect.key, (effectsByKey.get(effect.key) ?? 0) + 1);
        }
        return {
            effectsByKey,
            seenRequestIds: new Set([...effects.map(effect => effect.requestId), ...attempts.map(attempt => attempt.requestId)]),
            tokensRecomputed: deployment.engines.reduce((sum, engine) => sum + engine.tokensRecomputed, 0),
            tokensGenerated: attempts.reduce((sum, attempt) => sum + attempt.emitted, 0),
            endpointsKilledByRequests: deployment.engines.filter(engine => engine.diedOfRequest).length,
            longestWorkAfterLeavingSeconds: this.computeWorkAfterLeaving(),
            hostCost: this.computeHostCost(),
            moves: this.listMoveTruths(),
            badVersionRequests: attempts.filter(attempt => this.badModels.has(attempt.model)).length,
            configurationSeconds: this.computeConfigurationSeconds(),
        };
    }

    async stop(): Promise<void> {
        await this.deployment.stop();
    }

    private listEngines(fault: TraceFault): StandInEngine[] {
        const prefix = `engine-${fault.domain ?? ""}-`;
        return this.deployment.engines.filter(engine => engine.options.name.startsWith(prefix));
    }

    private listNodesOf(fault: TraceFault): CorianderNode[] {
        return this.deployment.nodes.filter(node => node.settings.failureDomain === fault.domain && !this.stoppedNodes.has(node));
    }

    private async reclaimEngines(engines: readonly StandInEngine[], fault: TraceFault): Promise<void> {
        const notice = fault.notice_seconds * millisecondsPerSecond;
        await Promise.all(engines.map(engine => this.deployment.removeEngine(engine, notice, fault.endpoint_refuses)));
    }

    /** Kills an engine without notice; the host list shows it for a while longer. */
    private async killEngine(engine: StandInEngine | undefined): Promise<void> {
        if (engine === undefined) {
            return;
        }
        await engine.kill();
        await sleep(hostListLagMilliseconds);
        this.deployment.removeHost(engine.options.name);
    }

    private async stopNode(node: CorianderNode | undefined): Promise<void> {
        if (node === undefined) {
            return;
        }
        this.stoppedNodes.add(node);
        await node.stop();
        this.removeNode(node);
    }

    private async killNode(node: CorianderNode | undefined): Promise<void> {
        if (node === undefined) {
            return;
        }
        this.stoppedNodes.add(node);
        await node.kill();
        this.removeNode(node);
    }

    private removeNode(node: CorianderNode): void {
        this.deployment.removeHost(node.settings.name);
        this.deployment.nodes.splice(this.deployment.nodes.indexOf(node), 1);
    }

    private async cutFromPlatform(fault: TraceFault, duration: number): Promise<void> {
        const { cutViewers } = this.deployment.platform;
        const names = this.deployment.nodes.filter(node => node.settings.failureDomain === fault.domain).map(node => node.settings.name);
        names.forEach(name => cutViewers.add(name));
        await sleep(duration);
        names.forEach(name => cutViewers.delete(name));
    }

    private makeVersionBad(fault: TraceFault): void {
        const model = fault.model ?? "";
        this.badModels.add(model);
        for (const engine of this.deployment.engines) {
            engine.behaviours.set(model, {
                failShare: fault.fail_share,
                slowFactor: fault.slow_factor,
                truncateShare: 0,
                afterRequests: 0,
                aboveBatchSize: 0,
                onlyForText: "",
            });
        }
    }

    private addEffectFault(fault: TraceFault): void {
        const kind = Object.values(CallFault).find(name => name === fault.effect_fault) ?? CallFault.ResetAfterEffect;
        for (const service of this.deployment.plainServices) {
            service.faults.push(kind);
        }
    }

    /** Judges how each move ended by the platform's write log and by the models that engines served. */
    private listMoveTruths(): MoveTruth[] {
        return this.moves.map(move => {
            const name = movePrefix + move.service;
            const records = this.deployment.platform.writeLog.filter(write => write.name === name);
            const ended = records.find(write => (write.value as MoveRecord).state !== MoveState.Running);
            const state = (ended?.value as MoveRecord | undefined)?.state ?? MoveState.Running;
            const shares = this.deployment.nodes.map(node => node.container.get(Keys.MoveController).getCurrentShare(move.service));
            const expectedShare = state === MoveState.Completed ? 1 : 0;
            return {
                service: move.service,
                to: move.to,
                state,
                isSettledInTime: ended !== undefined && ended.at <= move.deadline,
                isAccountTrue: shares.every(share => share === expectedShare),
            };
        });
    }

    private observeConfiguration(): void {
        for (const node of this.deployment.nodes) {
            node.container.get(Keys.ConfigurationConsumer).addListener({
                handleConfiguration: (team, revision) => {
                    const key = `${configurationPrefix}${team}@${revision}`;
                    this.inForceAt.set(key, [...this.inForceAt.get(key) ?? [], Date.now()]);
                },
            });
        }
    }

    private computeConfigurationSeconds(): number[] {
        const result: number[] = [];
        for (const write of this.deployment.platform.writeLog) {
            const times = this.inForceAt.get(`${write.name}@${write.revision}`) ?? [];
            times.forEach(time => result.push((time - write.at) / millisecondsPerSecond));
        }
        return result;
    }

    private computeWorkAfterLeaving(): number {
        let longest = 0;
        for (const engine of this.deployment.engines) {
            const announcedAt = this.deployment.announcedAt.get(engine.options.name);
            if (announcedAt !== undefined) {
                longest = Math.max(longest, (engine.lastArrivalAt - announcedAt) / millisecondsPerSecond);
            }
        }
        return longest;
    }

    private computeHostCost(): number {
        const hours = (Date.now() - this.startedAt) / millisecondsPerHour;
        const prices = new Map(this.head.domains.map(domain => [domain.name, domain.price_per_hour]));
        let cost = 0;
        for (const host of this.deployment.platform.hosts) {
            cost += host.role === "endpoint" ? hours * (prices.get(host.failure_domain) ?? 0) : 0;
        }
        return cost;
    }
}

/** Returns an error when a trace asks for what the embedded deployment does not have. */
export function checkFaults(trace: Trace): Result<void, string> {
    const domains = new Set(trace.head.domains.map(domain => domain.name));
    for (const line of trace.lines) {
        if (line.kind === "fault" && line.domain !== undefined && !domains.has(line.domain)) {
            return Err(`fault at ${line.at} s names failure domain '${line.domain}', which the trace does not have`);
        }
    }
    return Ok(undefined);
}
