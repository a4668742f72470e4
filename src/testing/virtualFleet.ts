import { create } from "@bufbuild/protobuf";
import { Container } from "inversify";
import { Diagnostics } from "../common/diagnostics.js";
import { Failure } from "../common/failure.js";
import { createSilentLogger } from "../common/logging.js";
import { RandomSource, SeededRandom } from "../common/random.js";
import { Err, Ok } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { configurationPrefix } from "../config/objectNames.js";
import { formatAddress } from "../config/sectionReader.js";
import { NetworkAddress, NodeSettings, TeamConfiguration } from "../config/types.js";
import {
    ExplainRequestResponse,
    FetchSharedObjectsRequestSchema,
    FetchSharedObjectsResponseSchema,
    NodeDigestSchema,
} from "../generated/corianderward/v1/peer_pb.js";
import { createNodeContainer } from "../node/composition.js";
import { Keys, replaceBinding } from "../node/keys.js";
import {
    FetchSharedObjectsResponse,
    ForwardCallResponse,
    NodeDigest,
    NodeDigestInit,
    ObjectRevisionInit,
    PeerLink,
    PeerResult,
} from "../peers/types.js";
import { HostRole, HostState, ListedHost, PurchaseKind } from "../provider/types.js";
import { createTestSettings } from "./deployment.js";
import { MemoryObjects, MemoryObjectStore } from "./memoryObjectStore.js";
import { PausableClock, VirtualClock } from "./virtualClock.js";

const peerDelayMilliseconds = 8;
const cutDelayMilliseconds = 300;
const wallEpoch = 1_800_000_000_000;

/** How a virtual fleet is laid out. */
export interface VirtualFleetOptions {
    readonly domains: readonly string[];
    readonly nodesPerDomain: number;
    readonly teams: readonly TeamConfiguration[];
    readonly seed: number;
    readonly timing: Partial<NodeSettings["timing"]>;
}

/** One node of a virtual fleet. */
export interface VirtualNode {
    readonly name: string;
    readonly domain: string;
    readonly address: NetworkAddress;
    readonly container: Container;
    readonly store: MemoryObjectStore;
    readonly clock: PausableClock;
    isRunning: boolean;
}

/** The control parts of several nodes in virtual time: no listeners, an in-memory platform, peers called directly. */
export class VirtualFleet {
    readonly world = VirtualClock.create(wallEpoch);
    readonly objects = MemoryObjects.create(() => this.world.getMonotonicTime());
    readonly nodes: VirtualNode[] = [];
    readonly random: RandomSource;
    private readonly cuts = new Set<string>();
    private count = 0;

    private constructor(readonly options: VirtualFleetOptions) {
        this.random = SeededRandom.create(options.seed);
    }

    /** Creates a fleet, publishes its teams and starts its nodes; time stands at 0. */
    static create(options: VirtualFleetOptions): VirtualFleet {
        const fleet = new VirtualFleet(options);
        options.teams.forEach(team => fleet.publishTeam(team));
        for (const domain of options.domains) {
            for (let index = 0; index < options.nodesPerDomain; index += 1) {
                fleet.startNode(domain);
            }
        }
        return fleet;
    }

    /** Writes a team's configuration as a publish does; returns its revision. */
    publishTeam(team: TeamConfiguration): number {
        return this.objects.putObject(configurationPrefix + team.team.name, team);
    }

    /** Starts a node; with a name, as the replacement of an earlier one. */
    startNode(domain: string, name = `node-${this.count + 1}`, wallOffset = 0): VirtualNode {
        this.count += 1;
        const existing = this.nodes.find(node => node.name === name);
        const address = existing?.address ?? { host: "10.0.0.1", port: this.count };
        const clock = PausableClock.create(this.world, wallOffset);
        const store = MemoryObjectStore.create(this.objects, this.world, clock, SeededRandom.create(this.options.seed * 100 + this.count));
        const settings = createTestSettings(name, domain, "home", "http://127.0.0.1:9");
        const container = createNodeContainer({ ...settings, timing: { ...settings.timing, ...this.options.timing } });
        const node: VirtualNode = { name, domain, address, container, store, clock, isRunning: true };
        replaceBinding(container, Keys.Clock, clock);
        replaceBinding(container, Keys.ObjectStore, store);
        replaceBinding(container, Keys.Random, SeededRandom.create(this.options.seed * 1_000 + this.count));
        replaceBinding(container, Keys.Logger, createSilentLogger());
        replaceBinding(container, Keys.HostList, { listHosts: async () => Ok(this.listHosts()) });
        replaceBinding(container, Keys.PeerLink, this.createLink(node));
        container.get(Keys.Digests).setReplicator(container.get(Keys.SharedObjectReplicator));
        if (existing !== undefined) {
            this.nodes.splice(this.nodes.indexOf(existing), 1);
        }
        this.nodes.push(node);
        void container.get(Keys.HostListSynchronizer).runRounds();
        void container.get(Keys.SharedObjectReplicator).runWatch();
        void container.get(Keys.Exchange).runRounds();
        void container.get(Keys.FleetLease).runRounds();
        void container.get(Keys.DomainLease).runRounds();
        void container.get(Keys.MoveDuty).runRounds();
        return node;
    }

    /** Ends a node without notice. */
    killNode(node: VirtualNode): void {
        const { container } = node;
        node.isRunning = false;
        container.get(Keys.HostListSynchronizer).stop();
        container.get(Keys.SharedObjectReplicator).stop();
        container.get(Keys.Exchange).stop();
        container.get(Keys.FleetLease).stop();
        container.get(Keys.DomainLease).stop();
        container.get(Keys.MoveDuty).stop();
        container.get(Keys.Admission).stop();
    }

    /** Cuts two failure domains off from each other, or one direction only. */
    addCut(from: string, to: string): void {
        this.cuts.add(`${from}>${to}`);
    }

    removeCuts(): void {
        this.cuts.clear();
    }

    stop(): void {
        this.nodes.filter(node => node.isRunning).forEach(node => this.killNode(node));
    }

    private listHosts(): ListedHost[] {
        return this.nodes.map(node => ({
            name: node.name,
            role: HostRole.Entry,
            failure_domain: node.domain,
            region: "home",
            address: formatAddress(node.address),
            group: "",
            purchase: PurchaseKind.OnDemand,
            state: HostState.Live,
            price_per_hour: 0,
        }));
    }

    private isCut(from: string, to: string): boolean {
        return this.cuts.has(`${from}>${to}`);
    }

    /** Carries a call to another node and its answer back, with the delays and cuts of the moment. */
    private async carryCall<T>(
        from: VirtualNode,
        address: NetworkAddress,
        call: (target: VirtualNode) => Promise<T>,
    ): Promise<PeerResult<T>> {
        await from.clock.waitWhilePaused();
        const target = this.nodes.find(node => node.address.port === address.port);
        await this.world.sleep(this.random.pickFraction() * peerDelayMilliseconds);
        if (target === undefined || !target.isRunning || !from.isRunning || this.isCut(from.domain, target.domain)) {
            await this.world.sleep(cutDelayMilliseconds);
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Node_at_0_did_not_answer_1, formatAddress(address), "cut off"));
        }
        await target.clock.waitWhilePaused();
        const answer = await call(target);
        await this.world.sleep(this.random.pickFraction() * peerDelayMilliseconds);
        await from.clock.waitWhilePaused();
        if (this.isCut(target.domain, from.domain)) {
            await this.world.sleep(cutDelayMilliseconds);
            return Err(Failure.create(Verdict.MayHaveRun, Diagnostics.Node_at_0_did_not_answer_1, formatAddress(address), "answer lost"));
        }
        return Ok(answer);
    }

    private createLink(from: VirtualNode): PeerLink {
        const refuse = async () => Err(Failure.create(Verdict.NotRun, Diagnostics.Node_at_0_did_not_answer_1, "", "not in this fleet"));
        return {
            exchangeDigests: (address: NetworkAddress, digest: NodeDigestInit): Promise<PeerResult<NodeDigest>> =>
                this.carryCall(from, address, async target => {
                    const answer = await target.container.get(Keys.PeerHandler).handleExchange(create(NodeDigestSchema, digest));
                    return create(NodeDigestSchema, answer);
                }),
            fetchSharedObjects: (
                address: NetworkAddress,
                known: readonly ObjectRevisionInit[],
            ): Promise<PeerResult<FetchSharedObjectsResponse>> =>
                this.carryCall(from, address, async target => {
                    const request = create(FetchSharedObjectsRequestSchema, { known: [...known] });
                    return create(
                        FetchSharedObjectsResponseSchema,
                        target.container.get(Keys.PeerHandler).createSharedObjectsResponse(request.known),
                    );
                }),
            adoptRequest: refuse as () => Promise<PeerResult<boolean>>,
            followRequest: async function*() {},
            forwardCall: refuse as () => Promise<PeerResult<ForwardCallResponse>>,
            describeRequest: refuse as () => Promise<PeerResult<ExplainRequestResponse>>,
            stop: () => {},
        };
    }
}
