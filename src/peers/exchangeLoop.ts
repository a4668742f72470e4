import { Clock } from "../common/clock.js";
import { RandomSource } from "../common/random.js";
import { MemberDirectory } from "./memberDirectory.js";
import { DigestExchange, Member, PeerLink, UrgentNotifier } from "./types.js";

/** Members of its own failure domain with which a node exchanges digests in each round. */
const domainPartnersPerRound = 1;
/** Nodes of a failure domain that exchange digests with other domains. */
export const bridgesPerDomain = 2;
/** Width of the random variation of the interval, as a fraction of it, so that nodes don't synchronize their rounds. */
const jitterFraction = 0.4;
/** Upper limit of members of the failure domain that get an urgent digest directly. */
const urgentPartnerLimit = 12;
/** Longest time that a sender of an urgent digest waits for the peers' responses. */
const urgentWaitMilliseconds = 300;

/** Gossip loop: exchanges digests with a few random peers in every round, and at once with many peers after an urgent change. */
export class ExchangeLoop implements UrgentNotifier {
    private readonly stopping = new AbortController();

    private constructor(
        private readonly directory: MemberDirectory,
        private readonly link: PeerLink,
        private readonly digests: DigestExchange,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly interval: number,
    ) {}

    /** The interval is in milliseconds. */
    static create(
        directory: MemberDirectory,
        link: PeerLink,
        digests: DigestExchange,
        clock: Clock,
        random: RandomSource,
        interval: number,
    ): ExchangeLoop {
        return new ExchangeLoop(directory, link, digests, clock, random, interval);
    }

    /** Runs until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            const partners = [...this.pickDomainPartners(), ...this.pickBridgePartners()];
            for (const partner of partners) {
                // Not awaited: an unresponsive peer must not delay the others.
                void this.exchangeWith(partner);
            }
            const variation = 1 + jitterFraction * (this.random.pickFraction() - 0.5);
            await this.clock.sleep(this.interval * variation, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    async sendUrgentDigest(): Promise<void> {
        const domainPeers = this.directory.listReachableDomainMembers().slice(0, urgentPartnerLimit);
        const otherDomainPeers = this.directory.listOtherDomains().flatMap(name => this.listReachableMembers(name).slice(0, 1));
        const exchanges = Promise.allSettled([...domainPeers, ...otherDomainPeers].map(member => this.exchangeWith(member)));
        await Promise.race([exchanges, this.clock.sleep(urgentWaitMilliseconds, this.stopping.signal)]);
    }

    /** Exchanges digests with one member and sends on an urgent change; returns false when the exchange failed or the loop was stopped. */
    async exchangeWith(member: Member): Promise<boolean> {
        const response = await this.link.exchangeDigests(member.address, this.digests.createDigest());
        if (response.err || this.stopping.signal.aborted) {
            return false;
        }
        if (this.digests.applyDigest(response.val)) {
            void this.sendUrgentDigest();
        }
        return true;
    }

    private listReachableMembers(failureDomain: string): Member[] {
        return this.directory.listMembers().filter(member => member.failureDomain === failureDomain && this.directory.isReachable(member));
    }

    private pickDomainPartners(): Member[] {
        const members = this.directory.listDomainMembers();
        const partners: Member[] = [];
        for (let count = 0; count < Math.min(domainPartnersPerRound, members.length); count += 1) {
            partners.push(members[this.random.pickIndex(members.length)] as Member);
        }
        return partners;
    }

    private pickBridgePartners(): Member[] {
        if (!this.isBridge()) {
            return [];
        }
        const domains = this.directory.listOtherDomains();
        if (domains.length === 0) {
            return [];
        }
        const domain = domains[this.random.pickIndex(domains.length)] as string;
        const members = this.directory.listMembers().filter(member => member.failureDomain === domain);
        return [members[this.random.pickIndex(members.length)] as Member];
    }

    /** Returns whether this node exchanges digests with other domains: the reachable nodes with the lowest names do. */
    private isBridge(): boolean {
        const names = this.directory.listReachableDomainMembers().map(member => member.name);
        const lowerNames = names.filter(name => name < this.directory.identity.name);
        return lowerNames.length < bridgesPerDomain;
    }
}
