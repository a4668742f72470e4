import { Clock } from "../../common/clock.js";
import { listByRendezvousRank } from "../../common/hashing.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { PrefixIndex } from "../prefixIndex.js";

/** Nodes of a failure domain that poll the load of each of its endpoints. */
const observersPerEndpoint = 2;
/** Load polls of an endpoint per poll of its cache events. */
const roundsPerCacheEventPoll = 4;

/** Polls the load and the cache events of the endpoints assigned to this node, for the registry and the prefix index. */
export class LoadObserver {
    private readonly stopping = new AbortController();
    private readonly cacheEventSequenceByEndpoint = new Map<string, number>();
    private round = 0;

    private constructor(
        private readonly client: ModelEndpointClient,
        private readonly registry: EndpointRegistry,
        private readonly prefixIndex: PrefixIndex,
        private readonly directory: MemberDirectory,
        private readonly clock: Clock,
        private readonly intervalMilliseconds: number,
    ) {}

    /** The interval between two polls of an endpoint's load is in milliseconds. */
    static create(
        client: ModelEndpointClient,
        registry: EndpointRegistry,
        prefixIndex: PrefixIndex,
        directory: MemberDirectory,
        clock: Clock,
        intervalMilliseconds: number,
    ): LoadObserver {
        return new LoadObserver(client, registry, prefixIndex, directory, clock, intervalMilliseconds);
    }

    /** Polls once per interval until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            this.registry.setObserverCount(this.directory.listReachableDomainMembers().length + 1);
            for (const entry of this.listObserved()) {
                // Not awaited: an endpoint that does not respond must not delay the polls of the others.
                void this.pollEndpoint(entry);
            }
            this.round += 1;
            await this.clock.sleep(this.intervalMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Returns the endpoints of this failure domain that rendezvous hashing assigns to this node. */
    listObserved(): EndpointEntry[] {
        const { identity } = this.directory;
        const observers = [identity.name, ...this.directory.listReachableDomainMembers().map(member => member.name)];
        return this.registry.listEntries().filter(entry => {
            if (entry.description.failureDomain !== identity.failureDomain) {
                return false;
            }
            const chosen = listByRendezvousRank(entry.name, observers, name => name).slice(0, observersPerEndpoint);
            return chosen.includes(identity.name);
        });
    }

    private async pollEndpoint(entry: EndpointEntry): Promise<void> {
        const load = await this.client.fetchLoad(entry.description.address, this.intervalMilliseconds);
        if (load.ok) {
            this.registry.recordLoad(entry.name, load.val, 0);
        }
        if (load.ok && load.val.models.length > 0 && this.round % roundsPerCacheEventPoll === 0) {
            await this.pollCacheEvents(entry);
        }
    }

    private async pollCacheEvents(entry: EndpointEntry): Promise<void> {
        const events = await this.client.fetchCacheEvents(
            entry.description.address,
            this.cacheEventSequenceByEndpoint.get(entry.name) ?? 0,
            this.intervalMilliseconds,
        );
        if (events.err) {
            return;
        }
        this.cacheEventSequenceByEndpoint.set(entry.name, events.val.sequence);
        events.val.stored.forEach(key => this.prefixIndex.addPrefix(key, entry.name));
        events.val.evicted.forEach(key => this.prefixIndex.removePrefix(key, entry.name));
    }
}
