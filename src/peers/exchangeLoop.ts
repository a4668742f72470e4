import { Clock } from "../common/clock.js";
import { RandomSource } from "../common/random.js";
import { MemberDirectory } from "./memberDirectory.js";
import { DigestExchange, Member, PeerLink, UrgentNotifier } from "./types.js";

/** Members of the own failure domain that a node talks to in turn. */
const domainPartnersPerRound = 1;
/** Nodes of a failure domain that exchange with other domains. */
export const bridgesPerDomain = 2;
/** Share by which the time between two rounds varies, so that nodes do not fall into step. */
const jitterShare = 0.4;
/** Members told at once of an urgent change. */
const urgentPartnerLimit = 12;
/** Longest wait for an urgent change to be known, in milliseconds. */
const urgentWaitMilliseconds = 300;

/** Exchanges digests with a few peers in every round, and with all nearby ones when something is urgent. */
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
                // A silent partner must not hold up the others.
                void this.exchangeWith(partner);
            }
            const variation = 1 + jitterShare * (this.random.pickFraction() - 0.5);
            await this.clock.sleep(this.interval * variation, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    async sendUrgentDigest(): Promise<void> {
        const domain = this.directory.listLiveDomainMembers().slice(0, urgentPartnerLimit);
        const others = this.directory.listOtherDomains().flatMap(name => this.listLiveMembers(name).slice(0, 1));
        const sent = Promise.allSettled([...domain, ...others].map(member => this.exchangeWith(member)));
        await Promise.race([sent, this.clock.sleep(urgentWaitMilliseconds, this.stopping.signal)]);
    }

    /** Exchanges digests with one member. */
    async exchangeWith(member: Member): Promise<boolean> {
        const answer = await this.link.exchangeDigests(member.address, this.digests.createDigest());
        if (answer.err || this.stopping.signal.aborted) {
            return false;
        }
        if (this.digests.applyDigest(answer.val)) {
            void this.sendUrgentDigest();
        }
        return true;
    }

    private listLiveMembers(failureDomain: string): Member[] {
        return this.directory.listMembers().filter(member => member.failureDomain === failureDomain && this.directory.isAlive(member));
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

    /** The live nodes of a domain with the lowest names speak for it. */
    private isBridge(): boolean {
        const names = this.directory.listLiveDomainMembers().map(member => member.name);
        const before = names.filter(name => name < this.directory.identity.name);
        return before.length < bridgesPerDomain;
    }
}
