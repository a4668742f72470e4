import { Clock } from "../common/clock.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";

/** Running requests and waiting prompt tokens at one endpoint. */
export interface EndpointLoad {
    readonly endpoint: string;
    readonly running: number;
    readonly promptTokens: number;
}

/** Age after which a load report no longer counts, in milliseconds: most requests in it have ended by then. */
const loadReportTimeoutMilliseconds = 4_000;

interface LoadReport {
    readonly loads: readonly EndpointLoad[];
    readonly receivedAt: number;
}

/** Adds up the load that other nodes, or groups of them, report for each endpoint, for the choice of the least loaded one. */
export class PeerLoadTracker {
    private readonly reportsBySource = new Map<string, LoadReport>();

    private constructor(private readonly directory: EndpointDirectory, private readonly clock: Clock) {}

    static create(directory: EndpointDirectory, clock: Clock): PeerLoadTracker {
        return new PeerLoadTracker(directory, clock);
    }

    /** Replaces the load report of a source. */
    recordLoads(source: string, loads: readonly EndpointLoad[]): void {
        this.reportsBySource.set(source, { loads, receivedAt: this.clock.getMonotonicTime() });
        this.updateEndpoints();
    }

    /** Removes the sources for which `isKept` returns false, because the report of another source contains them. */
    removeSourcesExcept(isKept: (source: string) => boolean): void {
        [...this.reportsBySource.keys()].filter(source => !isKept(source)).forEach(source => this.reportsBySource.delete(source));
    }

    /** Returns the load of this node's own requests. */
    listLocalLoads(): EndpointLoad[] {
        return this.directory.listAll().filter(endpoint => endpoint.running > 0).map(endpoint => ({
            endpoint: endpoint.entry.id,
            running: endpoint.running,
            promptTokens: Math.max(0, Math.round(endpoint.promptTokens)),
        }));
    }

    /** Returns the total load of this node and of the sources for which `isCounted` returns true. */
    listSums(isCounted: (source: string) => boolean): EndpointLoad[] {
        return [...this.computeSums(this.listLocalLoads(), isCounted).values()];
    }

    private updateEndpoints(): void {
        const sums = this.computeSums([], () => true);
        for (const endpoint of this.directory.listAll()) {
            endpoint.peerLoad = sums.get(endpoint.entry.id) ?? { running: 0, promptTokens: 0 };
        }
    }

    private computeSums(localLoads: readonly EndpointLoad[], isCounted: (source: string) => boolean): Map<string, EndpointLoad> {
        const oldestReceivedAt = this.clock.getMonotonicTime() - loadReportTimeoutMilliseconds;
        const countedLoads = [...this.reportsBySource].filter(([source, report]) =>
            isCounted(source) && report.receivedAt >= oldestReceivedAt
        ).map(([, report]) => report.loads);
        const sums = new Map<string, EndpointLoad>();
        for (const load of [localLoads, ...countedLoads].flat()) {
            const sum = sums.get(load.endpoint);
            sums.set(load.endpoint, {
                endpoint: load.endpoint,
                running: load.running + (sum?.running ?? 0),
                promptTokens: load.promptTokens + (sum?.promptTokens ?? 0),
            });
        }
        return sums;
    }
}
