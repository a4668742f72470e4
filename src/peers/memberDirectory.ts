import { Clock } from "../common/clock.js";
import { Logger } from "../common/logging.js";
import { NetworkAddress } from "../config/types.js";
import { Member } from "./types.js";

/** Identity of this node; the incarnation distinguishes it from its process before a restart. */
export interface NodeIdentity {
    readonly name: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Start time of the process in Unix milliseconds. */
    readonly incarnation: number;
}

/** Entry of a node in the settings or the host list. */
export interface MemberSource {
    readonly name: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly address: NetworkAddress;
}

/** Time without a heartbeat after which a member is considered unreachable, in multiples of the silence limit. */
const reachabilityTimeoutFactor = 3;

/** Table of the other nodes: their addresses, incarnations and the times of their last heartbeats. Determines which are reachable. */
export class MemberDirectory {
    private readonly members = new Map<string, Member>();

    private constructor(
        readonly identity: NodeIdentity,
        private readonly clock: Clock,
        private readonly silenceLimit: number,
        private readonly logger: Logger,
    ) {}

    /** The silence limit is in milliseconds. */
    static create(identity: NodeIdentity, clock: Clock, silenceLimit: number, logger: Logger): MemberDirectory {
        return new MemberDirectory(identity, clock, silenceLimit, logger);
    }

    /** Adds a node or changes its address. */
    addMember(source: MemberSource): void {
        if (source.name === this.identity.name) {
            return;
        }
        const existing = this.members.get(source.name);
        if (existing !== undefined && existing.address.host === source.address.host && existing.address.port === source.address.port) {
            return;
        }
        this.members.set(source.name, {
            ...source,
            incarnation: 0,
            lastSeenAt: -Infinity,
            isLeaving: false,
            isPlatformReachable: false,
            revisions: new Map(),
            lastDigestAt: -Infinity,
        });
    }

    /** Removes a node that is listed neither in the settings nor in the host list. */
    removeMember(name: string): void {
        this.members.delete(name);
    }

    /**
     * Records a heartbeat of a member, received directly or relayed; the age is in milliseconds. Returns false and records nothing when
     * the member is unknown or the heartbeat is of an earlier incarnation.
     */
    recordHeartbeat(name: string, incarnation: number, age: number, isLeaving: boolean): boolean {
        const member = this.members.get(name);
        if (member === undefined || incarnation < member.incarnation) {
            return false;
        }
        if (incarnation > member.incarnation) {
            if (member.incarnation !== 0) {
                this.logger.info("peer was restarted", { peer: name, incarnation });
            }
            member.incarnation = incarnation;
            member.isLeaving = isLeaving;
        }
        member.isLeaving = member.isLeaving || isLeaving;
        member.lastSeenAt = Math.max(member.lastSeenAt, this.clock.getMonotonicTime() - age);
        return true;
    }

    findMember(name: string): Member | undefined {
        return this.members.get(name);
    }

    listMembers(): Member[] {
        return [...this.members.values()];
    }

    /** Returns the other nodes of this node's failure domain. */
    listDomainMembers(): Member[] {
        return this.listMembers().filter(member => member.failureDomain === this.identity.failureDomain);
    }

    /** Returns whether a heartbeat of a member was received recently enough to consider it reachable. */
    isReachable(member: Member): boolean {
        return this.clock.getMonotonicTime() - member.lastSeenAt < this.silenceLimit * reachabilityTimeoutFactor;
    }

    /** Returns the reachable members of this node's failure domain that are not leaving. */
    listReachableDomainMembers(): Member[] {
        return this.listDomainMembers().filter(member => this.isReachable(member) && !member.isLeaving);
    }

    /** Returns the failure domains of the other nodes. */
    listOtherDomains(): string[] {
        const domains = new Set(this.listMembers().map(member => member.failureDomain));
        domains.delete(this.identity.failureDomain);
        return [...domains];
    }
}
