import { Clock } from "../../common/clock.js";
import { selectByRendezvous } from "../../common/hashing.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { PrefixIndex } from "../prefixIndex.js";

/** Nodes of a failure domain that ask each of its endpoints for its load. */
const observersPerEndpoint = 2;
/** Rounds between two questions for cache events. */
const cacheEventRounds = 4;

/** Asks the endpoints that this node observes for their load and their cache events. */
export class LoadObserver {
    private readonly stopping = new AbortController();
    private readonly sequences = new Map<string, number>();
    private round = 0;

    private constructor(
        private readonly client: ModelEndpointClient,
        private readonly registry: EndpointRegistry,
        private readonly prefixIndex: PrefixIndex,
        private readonly directory: MemberDirectory,
        private readonly clock: Clock,
        private readonly interval: number,
    ) {}

    /** The interval is in milliseconds. */
    static create(
        client: ModelEndpointClient,
        registry: EndpointRegistry,
        prefixIndex: PrefixIndex,
        directory: MemberDirectory,
        clock: Clock,
        interval: number,
    ): LoadObserver {
        return new LoadObserver(client, registry, prefixIndex, directory, clock, interval);
    }

    /** Runs until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            this.registry.setObserverCount(this.directory.listLiveDomainMembers().length + 1);
            for (const entry of this.listObserved()) {
                // A silent endpoint must not hold up the others.
                void this.observeEndpoint(entry);
            }
            this.round += 1;
            await this.clock.sleep(this.interval, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Returns the endpoints of this failure domain that this node observes. */
    listObserved(): EndpointEntry[] {
        const { identity } = this.directory;
        const observers = [identity.name, ...this.directory.listLiveDomainMembers().map(member => member.name)];
        return this.registry.listEntries().filter(entry => {
            if (entry.description.failureDomain !== identity.failureDomain) {
                return false;
            }
            const chosen = selectByRendezvous(entry.name, observers, name => name).slice(0, observersPerEndpoint);
            return chosen.includes(identity.name);
        });
    }

    private async observeEndpoint(entry: EndpointEntry): Promise<void> {
        const load = await this.client.fetchLoad(entry.description.address, this.interval);
        if (load.ok) {
            this.registry.recordLoad(entry.name, load.val, 0);
        }
        if (load.ok && load.val.models.length > 0 && this.round % cacheEventRounds === 0) {
            await this.observeCache(entry);
        }
    }

    private async observeCache(entry: EndpointEntry): Promise<void> {
        const events = await this.client.fetchCacheEvents(entry.description.address, this.sequences.get(entry.name) ?? 0, this.interval);
        if (events.err) {
            return;
        }
        this.sequences.set(entry.name, events.val.sequence);
        events.val.stored.forEach(key => this.prefixIndex.addPrefix(key, entry.name));
        events.val.evicted.forEach(key => this.prefixIndex.removePrefix(key, entry.name));
    }
}
