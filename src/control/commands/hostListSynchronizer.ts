import { z } from "zod";
import { Clock } from "../../common/clock.js";
import { parseJson } from "../../common/json.js";
import { Logger } from "../../common/logging.js";
import { parseAddress } from "../../config/sectionReader.js";
import { PeerSettings } from "../../config/types.js";
import { EndpointDescription, EndpointEvidence } from "../../endpoints/types.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { CloudClient } from "../../provider/cloudClient.js";
import { HostListClient } from "../../provider/hostListClient.js";
import { HostRole, ListedHost, parseHosts } from "../../provider/types.js";
import { EndpointRegistry } from "../../requests/endpointRegistry.js";

const hostsSchema = z.array(z.unknown());

/** Keeps the node's endpoints and peers up to date with the platform's host list and the cloud's reclaim notices. */
export class HostListSynchronizer {
    private readonly stopping = new AbortController();
    private hosts: ListedHost[] | undefined;
    private hasPlatformList = false;

    private constructor(
        private readonly hostList: HostListClient,
        private readonly cloud: CloudClient | undefined,
        private readonly registry: EndpointRegistry,
        private readonly directory: MemberDirectory,
        private readonly settingsPeers: readonly PeerSettings[],
        private readonly clock: Clock,
        private readonly logger: Logger,
        private readonly interval: number,
    ) {
        this.updateMembers([]);
    }

    /** The interval is in milliseconds. */
    static create(
        hostList: HostListClient,
        cloud: CloudClient | undefined,
        registry: EndpointRegistry,
        directory: MemberDirectory,
        settingsPeers: readonly PeerSettings[],
        clock: Clock,
        logger: Logger,
        interval: number,
    ): HostListSynchronizer {
        return new HostListSynchronizer(hostList, cloud, registry, directory, settingsPeers, clock, logger, interval);
    }

    /** Runs until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await Promise.all([this.updateHosts(), this.updateNotices()]);
            await this.clock.sleep(this.interval, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    hasHosts(): boolean {
        return this.hosts !== undefined;
    }

    /** Returns the current host list as JSON for a peer that cannot reach the platform; empty while there is none. */
    exportHosts(): string {
        return this.hosts === undefined ? "" : JSON.stringify(this.hosts);
    }

    /** Applies a peer's host list; ignored once the platform has returned its own list. */
    importHosts(hostsJson: string): void {
        if (this.hasPlatformList || hostsJson === "") {
            return;
        }
        const parsed = hostsSchema.safeParse(parseJson(hostsJson));
        if (!parsed.success) {
            this.logger.warn("the host list of a peer cannot be read", { cause: parsed.error.message });
            return;
        }
        const hosts = parseHosts(parsed.data, fault => this.logger.warn("host entry of a peer is faulty", { fault }));
        this.logger.info("applied the host list of a peer", { hosts: hosts.length });
        this.applyHosts(hosts);
    }

    private async updateHosts(): Promise<void> {
        const listed = await this.hostList.listHosts();
        if (listed.err) {
            return;
        }
        this.hasPlatformList = true;
        this.applyHosts(listed.val);
    }

    private async updateNotices(): Promise<void> {
        const notices = await this.cloud?.listNotices();
        if (notices === undefined || notices.err) {
            return;
        }
        for (const notice of notices.val) {
            this.registry.markLeaving(notice.host, EndpointEvidence.Notice, notice.leaves_at);
        }
    }

    private applyHosts(hosts: ListedHost[]): void {
        this.hosts = hosts;
        const endpoints = hosts.filter(host => host.role === HostRole.Endpoint).map(createDescription);
        this.registry.applyDescriptions(endpoints.filter(endpoint => endpoint !== undefined));
        this.updateMembers(hosts.filter(host => host.role === HostRole.Entry));
    }

    private updateMembers(entryHosts: readonly ListedHost[]): void {
        const { directory } = this;
        for (const peer of this.settingsPeers) {
            directory.addMember({ ...peer, region: directory.identity.region });
        }
        for (const host of entryHosts) {
            const address = parseAddress(host.address);
            if (address !== undefined) {
                directory.addMember({ name: host.name, failureDomain: host.failure_domain, region: host.region, address });
            }
        }
        const listedNames = new Set([...this.settingsPeers.map(peer => peer.name), ...entryHosts.map(host => host.name)]);
        for (const member of directory.listMembers()) {
            // The host list lags behind: a node that is still reachable stays a member.
            if (!listedNames.has(member.name) && !directory.isReachable(member)) {
                directory.removeMember(member.name);
            }
        }
    }
}

function createDescription(host: ListedHost): EndpointDescription | undefined {
    const address = parseAddress(host.address);
    if (address === undefined) {
        return undefined;
    }
    return {
        name: host.name,
        address,
        failureDomain: host.failure_domain,
        region: host.region,
        group: host.group,
        purchase: host.purchase,
        pricePerHour: host.price_per_hour,
        state: host.state,
        leavesAt: host.leaves_at,
    };
}
