import { Container } from "inversify";
import { NetworkAddress, NodeSettings } from "../config/types.js";
import { MoveWebhook } from "../control/moves/moveWebhook.js";
import { PeerService } from "../generated/corianderward/v1/peer_pb.js";
import { createNodeContainer } from "./composition.js";
import { Keys } from "./keys.js";

/** Interval at which the shutdown polls whether all active requests have ended. */
const drainPollMilliseconds = 25;
/** Part of the drain limit that is reserved for handing the remaining requests over to peers. */
const handoverReserveMilliseconds = 3_000;
/** Time for callers to receive the final events of their streams, or the failures of their requests, before the node ends. */
const finalEventsMilliseconds = 500;

/** Bound listener addresses of a node. */
export interface NodeAddresses {
    readonly callers: NetworkAddress;
    readonly peers: NetworkAddress;
    readonly operators: NetworkAddress;
}

/** Starts and stops the listeners and background tasks of a node. One process can run several nodes. */
export class CorianderNode {
    private addresses: NodeAddresses | undefined;
    private isStopped = false;

    private constructor(readonly settings: NodeSettings, readonly container: Container) {}

    /** Creates a node from its settings; `container` replaces the default bindings. */
    static create(settings: NodeSettings, container = createNodeContainer(settings)): CorianderNode {
        return new CorianderNode(settings, container);
    }

    /** Starts the listeners and background tasks, and returns the bound addresses. */
    async start(): Promise<NodeAddresses> {
        const { container, settings } = this;
        const registry = container.get(Keys.Registry);
        registry.addListener(container.get(Keys.StreamMover));
        if (settings.webhookUrl !== undefined) {
            container.get(Keys.MoveController).addListener(
                MoveWebhook.create(settings.webhookUrl, settings.name, container.get(Keys.Logger)),
            );
        }
        container.get(Keys.Digests).setReplicator(container.get(Keys.SharedObjectReplicator));
        this.addresses = {
            callers: await container.get(Keys.CallerServer).start(settings.callers),
            peers: await container.get(Keys.PeerServer).start(settings.peersListen),
            operators: await container.get(Keys.OperatorServer).start(settings.operators),
        };
        this.startTasks();
        container.get(Keys.Logger).info("node started", { ...this.addresses });
        return this.addresses;
    }

    /** Returns the bound addresses; throws before the node has started. */
    getAddresses(): NodeAddresses {
        if (this.addresses === undefined) {
            throw new Error("The node has no addresses before start() has completed.");
        }
        return this.addresses;
    }

    /** Shuts down without interrupting requests: ends readiness, drains, hands the remaining requests over to peers, then stops. */
    async stop(): Promise<void> {
        const { container, settings } = this;
        const clock = container.get(Keys.Clock);
        const startedAt = clock.getMonotonicTime();
        container.get(Keys.Logger).info("node is shutting down", { active: this.countActiveRequests() });
        container.get(Keys.Gate).endReadiness();
        container.get(Keys.Digests).markLeaving();
        void container.get(Keys.Exchange).sendUrgentDigest();
        await clock.sleep(settings.timing.readinessGrace);
        container.get(Keys.Gate).close();
        void container.get(Keys.DomainLease).release();
        void container.get(Keys.FleetLease).release();
        await container.get(Keys.CallerServer).stopAccepting();
        await this.waitForRequests(startedAt + settings.timing.drainLimit - handoverReserveMilliseconds);
        if (container.get(Keys.Table).countActive() > 0) {
            await container.get(Keys.RequestHandover).drainRequests();
            await clock.sleep(finalEventsMilliseconds);
        }
        await this.waitForRequests(startedAt + settings.timing.drainLimit - finalEventsMilliseconds);
        container.get(Keys.Service).endRequests();
        container.get(Keys.PlainCalls).endCalls();
        const drainedBy = startedAt + settings.timing.drainLimit;
        await this.waitForRequests(drainedBy);
        const timeLeft = Math.max(0, Math.min(finalEventsMilliseconds, drainedBy - clock.getMonotonicTime()));
        await Promise.race([container.get(Keys.PeerServer).finishSessions(), clock.sleep(timeLeft)]);
        await this.kill();
        container.get(Keys.Logger).info("node stopped");
    }

    /** Stops without draining and cancels the active requests, as if the process had been killed. */
    async kill(): Promise<void> {
        if (this.isStopped) {
            return;
        }
        this.isStopped = true;
        const { container } = this;
        container.get(Keys.CallerServer).closeConnections();
        void container.get(Keys.CallerServer).stopAccepting();
        for (const record of container.get(Keys.Table).listActive()) {
            record.cancellation.abort();
        }
        container.get(Keys.Service).stop();
        container.get(Keys.Exchange).stop();
        container.get(Keys.HostListSynchronizer).stop();
        container.get(Keys.SharedObjectReplicator).stop();
        container.get(Keys.LoadObserver).stop();
        container.get(Keys.QuarantineReplicator).stop();
        container.get(Keys.Claims).stop();
        container.get(Keys.DomainDuty).stop();
        container.get(Keys.MoveDuty).stop();
        container.get(Keys.DomainLease).stop();
        container.get(Keys.FleetLease).stop();
        container.get(Keys.Admission).stop();
        container.get(Keys.Tls)?.stop();
        await container.get(Keys.PeerServer).stop();
        container.get(Keys.PeerLink).stop();
        await container.get(Keys.OperatorServer).stop();
        await container.get(Keys.Tracing).stop();
    }

    private startTasks(): void {
        const { container } = this;
        void container.get(Keys.HostListSynchronizer).runRounds();
        void container.get(Keys.SharedObjectReplicator).runWatch();
        void container.get(Keys.Exchange).runRounds();
        void container.get(Keys.LoadObserver).runRounds();
        void container.get(Keys.QuarantineReplicator).runRounds();
        void container.get(Keys.DomainLease).runRounds();
        void container.get(Keys.FleetLease).runRounds();
        void container.get(Keys.DomainDuty).runRounds();
        void container.get(Keys.MoveDuty).runRounds();
        void this.runNodeCountUpdates();
    }

    /** Updates the node count, by which the team limits are divided, from the member directory until the node stops. */
    private async runNodeCountUpdates(): Promise<void> {
        const clock = this.container.get(Keys.Clock);
        const directory = this.container.get(Keys.Directory);
        while (!this.isStopped) {
            const activeMembers = directory.listMembers().filter(member => directory.isReachable(member) && !member.isLeaving);
            this.container.get(Keys.Limiter).setNodeCount(activeMembers.length + 1);
            await clock.sleep(this.settings.timing.exchangeInterval);
        }
    }

    /** Returns the number of running generations and of responses, to calls as well, that are not sent yet. */
    private countActiveRequests(): number {
        const table = this.container.get(Keys.Table);
        return table.countActive() + table.countOpenResponses();
    }

    /** Waits for this node's own requests, and the calls that peers forwarded to it, until a monotonic time. */
    private async waitForRequests(until: number): Promise<void> {
        const clock = this.container.get(Keys.Clock);
        const server = this.container.get(Keys.PeerServer);
        const countOpen = () => this.countActiveRequests() + server.countOpenCalls(PeerService.method.forwardCall);
        while (countOpen() > 0 && clock.getMonotonicTime() < until) {
            await clock.sleep(drainPollMilliseconds);
        }
    }
}
