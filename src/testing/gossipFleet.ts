import { create } from "@bufbuild/protobuf";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { GatewayDigestSchema } from "../generated/corianderward/gateway/v1/gateway_pb.js";
import { encodeRateDemand, FleetSummaryAggregator } from "../gossip/fleetSummaryAggregator.js";
import { PeerLoadTracker } from "../gossip/peerLoadTracker.js";
import { PeerTable } from "../gossip/peerTable.js";
import { RelaySelector } from "../gossip/relaySelector.js";
import { StoreFollower } from "../gossip/storeFollower.js";
import { GatewayDigest, GatewayPeer } from "../gossip/types.js";
import { ServiceWorkTracker } from "../placement/serviceWorkTracker.js";
import { SharedRateLimiter, SharedRateLimiterOptions } from "../quotas/sharedRateLimiter.js";
import { createEndpointEntry } from "./gatewayParts.js";
import { VirtualClock } from "./virtualClock.js";

const intervalMilliseconds = 500;
const silenceMilliseconds = 2_000;
/** Time in which a change of the store must be in force on every node, in milliseconds. */
export const applyLimitMilliseconds = 3_000;

const noRevisions = { configuration: 0, directory: 0, evacuations: 0 };

/** Node that aggregates loads and quota demand; the test runs its exchanges. */
export class GossipTestNode {
    readonly table: PeerTable;
    readonly plan: RelaySelector;
    readonly follower: StoreFollower;
    readonly caps: SharedRateLimiter;
    readonly loads: PeerLoadTracker;
    readonly directory: EndpointDirectory;
    isUp = true;
    unreachableServices: string[] = [];
    /** Time of the last response to this node's own watches of the store. */
    confirmedAt = -Infinity;
    exchangeCount = 0;
    private readonly sums: FleetSummaryAggregator;

    constructor(
        readonly name: string,
        readonly failureDomain: string,
        private readonly clock: VirtualClock,
        incarnation: number,
        options: SharedRateLimiterOptions | undefined,
    ) {
        this.table = PeerTable.create({ name, failureDomain, address: `${name}:1`, incarnation }, clock, silenceMilliseconds);
        this.plan = RelaySelector.create(this.table);
        this.follower = StoreFollower.create(this.plan, clock, applyLimitMilliseconds);
        this.follower.setOwnSource(() => this.confirmedAt);
        this.caps = SharedRateLimiter.create(clock, options);
        this.directory = EndpointDirectory.create(clock);
        this.directory.applyEntry({ entry: createEndpointEntry({ id: "e" }), revision: 1 }, "test");
        this.loads = PeerLoadTracker.create(this.directory, clock);
        const work = ServiceWorkTracker.create(clock, { promptTokensPerMillisecond: 48, step: 1, stepPerRequest: 0 });
        this.sums = FleetSummaryAggregator.create({ clock, table: this.table, plan: this.plan, caps: this.caps, work, loads: this.loads });
        this.getEndpoint().running = 1;
    }

    getEndpoint() {
        return this.directory.findEndpoint("e") as NonNullable<ReturnType<EndpointDirectory["findEndpoint"]>>;
    }

    createDigest(receiver: string): GatewayDigest {
        this.caps.setNodeCount(this.table.countServingNodes(), this.table.countSilentNodes());
        const peer = this.table.findPeer(receiver) as GatewayPeer;
        const age = this.follower.getAge();
        const demands = this.caps.listDemands().map(encodeRateDemand);
        return create(GatewayDigestSchema, {
            member: { ...this.table.identity, incarnation: BigInt(this.table.identity.incarnation) },
            isStoreReachable: true,
            storeAgeMilliseconds: Number.isFinite(age) ? age : undefined,
            unreachableServices: this.unreachableServices,
            demands,
            loads: this.loads.listLocalLoads(),
            exchangeMilliseconds: Math.round(peer.exchangeTime),
            summary: this.sums.createSummary(peer),
        });
    }

    applyDigest(digest: GatewayDigest, age: number): void {
        this.table.recordDigest(digest);
        const confirmedAt = this.clock.getMonotonicTime() - (digest.storeAgeMilliseconds ?? Infinity);
        this.follower.recordConfirmation({ confirmedAt, revisions: noRevisions });
        const peer = this.table.findPeer(digest.member?.name ?? "");
        if (peer !== undefined) {
            this.sums.applyDigest(peer, digest, age);
        }
    }
}

/** Fleet of nodes whose exchanges run in virtual time, with the product's own choice of relays. */
export class GossipTestFleet {
    readonly nodes: GossipTestNode[] = [];
    /** Failure domain whose nodes and the others do not reach one another; undefined for none. */
    cutOffDomain: string | undefined;
    /** Time that a digest waits until it is handled, in milliseconds, as on hosts that are short of processor time. */
    digestDelay = 0;

    constructor(
        readonly clock: VirtualClock,
        count: number,
        domains: readonly string[],
        private readonly options?: SharedRateLimiterOptions,
    ) {
        for (let index = 0; index < count; index += 1) {
            this.nodes.push(new GossipTestNode(`n-${100 + index}`, domains[index % domains.length] as string, clock, 1, options));
        }
        this.nodes.forEach(node => this.introduce(node));
    }

    listUp(): GossipTestNode[] {
        return this.nodes.filter(node => node.isUp);
    }

    /** Replaces a node by a new incarnation of it, which knows the names of the others only. */
    replaceNode(index: number): void {
        const { name, failureDomain, table } = this.nodes[index] as GossipTestNode;
        const node = new GossipTestNode(name, failureDomain, this.clock, table.identity.incarnation + 1, this.options);
        this.nodes[index] = node;
        this.introduce(node);
    }

    async runRounds(rounds: number): Promise<void> {
        for (let round = 0; round < rounds; round += 1) {
            this.listUp().forEach(node => this.runExchanges(node));
            await this.clock.runUntil(this.clock.getMonotonicTime() + intervalMilliseconds);
        }
    }

    /** Runs the exchanges of the nodes whose turn lies in the given milliseconds before the clock's time. */
    runDueExchanges(milliseconds: number): void {
        const phase = this.clock.getMonotonicTime() % intervalMilliseconds;
        this.nodes.forEach((node, index) => {
            const turn = (index * 37) % intervalMilliseconds;
            if (node.isUp && turn >= phase && turn < phase + milliseconds) {
                this.runExchanges(node);
            }
        });
    }

    private introduce(node: GossipTestNode): void {
        this.nodes.forEach(other => node.table.addPeer(other.table.identity));
        node.caps.setNodeCount(node.table.countServingNodes());
    }

    private runExchanges(node: GossipTestNode): void {
        node.plan.listCallees("").forEach(peer => this.exchange(node, peer));
    }

    private exchange(caller: GossipTestNode, peer: GatewayPeer): void {
        const callee = this.listUp().find(node => node.name === peer.name);
        caller.exchangeCount += 1;
        if (callee === undefined || (caller.failureDomain === this.cutOffDomain) !== (callee.failureDomain === this.cutOffDomain)) {
            caller.table.recordFailure(peer);
            return;
        }
        if (this.digestDelay === 0) {
            callee.applyDigest(caller.createDigest(callee.name), 0);
            caller.applyDigest(callee.createDigest(caller.name), 0);
            return;
        }
        const request = caller.createDigest(callee.name);
        void this.clock.sleep(this.digestDelay).then(async () => {
            callee.applyDigest(request, request.exchangeMilliseconds);
            const response = callee.createDigest(caller.name);
            await this.clock.sleep(this.digestDelay);
            peer.exchangeTime = 2 * this.digestDelay;
            caller.applyDigest(response, peer.exchangeTime);
        });
    }
}
