import { v4 } from "uuid";
import { RandomSource, SeededRandom } from "../common/random.js";
import { movePrefix } from "../config/objectNames.js";
import { ServiceDeclaration, TeamConfiguration } from "../config/types.js";
import { createMoveRecord } from "../control/moves/moveDuty.js";
import { MoveRecord, MoveState, parseMoveRecord } from "../control/moves/moveRecord.js";
import { Keys } from "../node/keys.js";
import { shadowAttemptsPerRequest } from "../requests/commands/shadowRequestRunner.js";
import { createTestService, createTestTeam } from "./deployment.js";
import { VirtualFleet, VirtualNode } from "./virtualFleet.js";

/** How a new version behaves. */
export enum VersionKind {
    Good = "good",
    FailsAlways = "fails-always",
    FailsSometimes = "fails-sometimes",
    FailsLater = "fails-later",
    Slow = "slow",
    SlowUnderLoad = "slow-under-load",
    FailsOnOneRoute = "fails-on-one-route",
    FailsForOneTeam = "fails-for-one-team",
    Incomplete = "incomplete",
}

/** A move that is played in virtual time. */
export interface MoveScenario {
    readonly kind: VersionKind;
    readonly seed: number;
    readonly requestsPerSecond: number;
    readonly deadlineSeconds: number;
    readonly domains: readonly string[];
    readonly nodesPerDomain: number;
    /** Whether the platform comes back after the deadline; it does unless this is false. */
    readonly healsPlatform?: boolean;
}

/** What a request of a scenario went through. */
export interface RequestOutcomeInMove {
    readonly at: number;
    readonly isNew: boolean;
    readonly isBad: boolean;
}

/** How a scenario ended. Times are virtual milliseconds. */
export interface MoveOutcome {
    readonly record: MoveRecord;
    readonly requests: readonly RequestOutcomeInMove[];
    /** Time from the first bad answer of the new version to share 0 on every node; undefined without one. */
    readonly takeBackDelay: number | undefined;
    readonly badAfterFirst: number;
    readonly endedAt: number | undefined;
    readonly deadline: number;
}

interface Drawn {
    readonly succeeded: boolean;
    readonly isComplete: boolean;
    readonly firstToken: number;
    readonly betweenTokens: number;
    readonly isBad: boolean;
}

const warmUpMilliseconds = 20_000;
const afterDeadlineMilliseconds = 8_000;
const teams = ["desk", "shops", "parents"];
const routes = ["completions", "chat"];
const baseFirstToken = 25;
const baseGap = 21;
const spread = 0.3;
const slowFactor = 2.5;
const failShareOfSometimes = 0.3;
const laterTrials = 20;
const soundFailShare = 0.002;
const stepMilliseconds = 50;

/** Draws what one attempt at the new version shows. */
export function pickAttempt(
    kind: VersionKind,
    random: RandomSource,
    load: number,
    team: string,
    route: string,
    trialsBefore: number,
): Drawn {
    const vary = () => 1 + spread * (random.pickFraction() - 0.5) * 2;
    const isSlow = kind === VersionKind.Slow || (kind === VersionKind.SlowUnderLoad && load > 0.5);
    const factor = isSlow ? slowFactor : 1;
    const fails = random.pickFraction() < getFailShare(kind, team, route, trialsBefore);
    const isComplete = kind !== VersionKind.Incomplete || random.pickFraction() > 0.5;
    return {
        succeeded: !fails,
        isComplete,
        firstToken: baseFirstToken * factor * vary() * (1 + load),
        betweenTokens: baseGap * factor * vary() * (1 + load / 2),
        isBad: (fails && kind !== VersionKind.Good) || isSlow || !isComplete,
    };
}

function getFailShare(kind: VersionKind, team: string, route: string, trialsBefore: number): number {
    switch (kind) {
        case VersionKind.FailsAlways:
            return 1;
        case VersionKind.FailsSometimes:
            return failShareOfSometimes;
        case VersionKind.FailsLater:
            return trialsBefore >= laterTrials ? failShareOfSometimes * 2 : soundFailShare;
        case VersionKind.FailsOnOneRoute:
            return route === routes[1] ? 0.8 : soundFailShare;
        case VersionKind.FailsForOneTeam:
            return team === teams[2] ? 0.9 : soundFailShare;
        default:
            return soundFailShare;
    }
}

/** Creates the configuration of a scenario. */
export function createMoveTeam(requestsPerSecond: number): TeamConfiguration {
    const service = createTestService("lookup", { requestsPerHour: requestsPerSecond * 3_600 });
    return createTestTeam("desk", [service]);
}

/** Plays requests and one move on a virtual fleet. */
export class MoveWorld {
    readonly fleet: VirtualFleet;
    readonly requests: RequestOutcomeInMove[] = [];
    private readonly random: SeededRandom;
    private newTrials = 0;
    private firstBadAt: number | undefined;
    private zeroShareAt: number | undefined;
    private nextRequestAt = 0;

    private constructor(readonly scenario: MoveScenario) {
        this.random = SeededRandom.create(scenario.seed * 7 + 3);
        this.fleet = VirtualFleet.create({
            domains: scenario.domains,
            nodesPerDomain: scenario.nodesPerDomain,
            teams: [createMoveTeam(scenario.requestsPerSecond)],
            seed: scenario.seed,
            timing: { exchangeInterval: 500 },
        });
    }

    static create(scenario: MoveScenario): MoveWorld {
        return new MoveWorld(scenario);
    }

    /** Plays the whole scenario; the hook is called in every step, to inject faults. */
    async runScenario(inject: (world: MoveWorld) => void = () => {}): Promise<MoveOutcome> {
        const { fleet, scenario } = this;
        await this.runUntil(warmUpMilliseconds, () => {});
        const startedAt = fleet.world.getWallTime();
        const deadline = startedAt + scenario.deadlineSeconds * 1_000;
        fleet.objects.putObject(movePrefix + "lookup", createMoveRecord("lookup", "v1", "v2", deadline, startedAt));
        const deadlineAt = fleet.world.getMonotonicTime() + scenario.deadlineSeconds * 1_000;
        await this.runUntil(deadlineAt, () => inject(this));
        this.endFaults();
        await this.runUntil(deadlineAt + afterDeadlineMilliseconds, () => {});
        const stored = fleet.objects.objects.get(movePrefix + "lookup");
        const record = stored === undefined ? undefined : parseMoveRecord(stored);
        const terminal = this.findTerminalWrite();
        fleet.stop();
        return {
            record: record as MoveRecord,
            requests: this.requests,
            takeBackDelay: this.firstBadAt === undefined || this.zeroShareAt === undefined ? undefined : this.zeroShareAt - this.firstBadAt,
            badAfterFirst:
                this.requests.filter(request => request.isNew && request.isBad && request.at > (this.firstBadAt ?? Infinity)).length,
            endedAt: terminal,
            deadline: deadlineAt,
        };
    }

    /** Returns the service as a node has it in force. */
    getService(node: VirtualNode): ServiceDeclaration | undefined {
        return node.container.get(Keys.Configuration).findService("lookup");
    }

    /** Returns the virtual time of the write that ended the move. */
    findTerminalWrite(): number | undefined {
        const write = this.fleet.objects.history.find(object => {
            return object.name === `${movePrefix}lookup` && parseMoveRecord(object)?.state !== MoveState.Running;
        });
        return write === undefined ? undefined : this.fleet.objects.writtenAt.get(write.revision);
    }

    /** Heals everything but a platform that is away for all nodes: that one is a scenario's own wish. */
    private endFaults(): void {
        const { fleet } = this;
        fleet.removeCuts();
        fleet.nodes.forEach(node => (node.store.faults.lostAnswerShare = 0));
        if (this.scenario.healsPlatform !== false) {
            fleet.nodes.forEach(node => (node.store.faults.isDown = false));
        }
    }

    private async runUntil(time: number, inject: () => void): Promise<void> {
        const { world } = this.fleet;
        while (world.getMonotonicTime() < time) {
            const now = world.getMonotonicTime();
            while (this.nextRequestAt <= now) {
                this.sendRequest();
                this.nextRequestAt += -Math.log(1 - this.random.pickFraction()) * 1_000 / this.scenario.requestsPerSecond;
            }
            inject();
            await world.runUntil(now + stepMilliseconds);
            this.observeShares();
        }
    }

    private sendRequest(): void {
        const running = this.fleet.nodes.filter(node => node.isRunning);
        const node = running[this.random.pickIndex(running.length)] as VirtualNode;
        const service = this.getService(node);
        if (service === undefined) {
            return;
        }
        const keeper = node.container.get(Keys.MoveController);
        const bytes = Uint8Array.from({ length: 16 }, () => this.random.pickIndex(256));
        const version = keeper.selectVersion(service, v4({ random: bytes }));
        const isNew = version === "v2";
        const load = this.random.pickFraction() * 0.9;
        const team = teams[this.random.pickIndex(teams.length)] as string;
        const route = routes[this.random.pickIndex(routes.length)] as string;
        const drawn = pickAttempt(isNew ? this.scenario.kind : VersionKind.Good, this.random, load, team, route, this.newTrials);
        this.newTrials += isNew ? 1 : 0;
        const shadow = isNew ? undefined : keeper.findShadowVersion(service);
        for (let count = 0; shadow !== undefined && count < shadowAttemptsPerRequest; count += 1) {
            const tried = pickAttempt(this.scenario.kind, this.random, load, team, route, this.newTrials);
            this.newTrials += 1;
            const shadowTook = tried.succeeded ? tried.firstToken + tried.betweenTokens * 16 : tried.firstToken;
            void this.finishRequest(node, shadow, undefined, tried, { team, route, load, took: shadowTook });
        }
        const took = drawn.succeeded ? drawn.firstToken + drawn.betweenTokens * 16 : drawn.firstToken;
        void this.finishRequest(node, version, isNew, drawn, { team, route, load, took });
    }

    private async finishRequest(
        node: VirtualNode,
        version: string,
        isNew: boolean | undefined,
        drawn: Drawn,
        context: { readonly team: string; readonly route: string; readonly load: number; readonly took: number; },
    ): Promise<void> {
        const { world } = this.fleet;
        await world.sleep(context.took);
        // A shadow attempt has no caller and harms nobody.
        if (isNew !== undefined) {
            this.requests.push({ at: world.getMonotonicTime(), isNew, isBad: drawn.isBad });
        }
        if (isNew !== false && drawn.isBad) {
            this.firstBadAt ??= world.getMonotonicTime();
        }
        if (!node.isRunning) {
            return;
        }
        node.container.get(Keys.MoveController).recordObservation({
            service: "lookup",
            version,
            team: context.team,
            route: context.route,
            endpoint: "engine",
            succeeded: drawn.succeeded,
            isComplete: drawn.isComplete,
            firstToken: drawn.succeeded ? drawn.firstToken : undefined,
            betweenTokens: drawn.succeeded ? drawn.betweenTokens : undefined,
            load: context.load,
        });
    }

    private observeShares(): void {
        if (this.firstBadAt === undefined || this.zeroShareAt !== undefined) {
            return;
        }
        const shares = this.fleet.nodes.filter(node => node.isRunning).map(node =>
            node.container.get(Keys.MoveController).getCurrentShare("lookup")
        );
        const isTakenBack = this.fleet.nodes.some(node => node.container.get(Keys.MoveController).findRollback("lookup") !== undefined);
        if (isTakenBack && shares.every(share => share === 0)) {
            this.zeroShareAt = this.fleet.world.getMonotonicTime();
        }
    }
}
