import { Clock } from "../../common/clock.js";
import { Failure } from "../../common/failure.js";
import { listByRendezvousRank } from "../../common/hashing.js";
import { Result } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { EndpointEvidence, EndpointState, LoadReport } from "../../endpoints/types.js";
import { UrgentNotifier } from "../../peers/types.js";
import { ActiveAttempt, EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { QuarantineLedger } from "../quarantineLedger.js";
import { probationTokenCount } from "../suspectLocks.js";

/** Time limit of a probe. */
const probeTimeLimitMilliseconds = 400;
/** Number of probes whose connections may be lost before the result stands: a process that is ending still accepts connections. */
const maximumProbes = 4;
/** Pause before a probe is repeated, in milliseconds: the kernel closes the sockets of an ended process within that time. */
const probePauseMilliseconds = 20;

/** Number of other endpoints of which one must answer before a refused connection counts as a crash. */
const comparedEndpoints = 3;

/** Result of a probe over a new connection. */
export enum ProbeResult {
    /** The endpoint responded: only the earlier connection was lost. */
    Reachable = "alive",
    /** The endpoint refused the connection: its process has ended. */
    Crashed = "dead",
    /** The endpoint did not respond within the time limit. */
    Unreachable = "unreachable",
}

/** Checks after a lost connection whether the endpoint crashed, and records the requests that may have caused the crash. */
export class EndpointProbe {
    private readonly probesByEndpoint = new Map<string, Promise<ProbeResult>>();

    private constructor(
        private readonly client: ModelEndpointClient,
        private readonly registry: EndpointRegistry,
        private readonly ledger: QuarantineLedger,
        private readonly notifier: UrgentNotifier,
        private readonly clock: Clock,
    ) {}

    static create(
        client: ModelEndpointClient,
        registry: EndpointRegistry,
        ledger: QuarantineLedger,
        notifier: UrgentNotifier,
        clock: Clock,
    ): EndpointProbe {
        return new EndpointProbe(client, registry, ledger, notifier, clock);
    }

    /** Probes an endpoint. Concurrent calls for the same endpoint share one probe. */
    async checkEndpoint(entry: EndpointEntry): Promise<ProbeResult> {
        const existing = this.probesByEndpoint.get(entry.name);
        if (existing !== undefined) {
            return existing;
        }
        const probe = this.runProbe(entry).finally(() => this.probesByEndpoint.delete(entry.name));
        this.probesByEndpoint.set(entry.name, probe);
        return probe;
    }

    private async runProbe(entry: EndpointEntry): Promise<ProbeResult> {
        const attempts = [...entry.attempts];
        const load = await this.fetchLoad(entry);
        if (load.ok) {
            this.registry.recordLoad(entry.name, load.val, 0);
            return ProbeResult.Reachable;
        }
        const hasCrashed = load.val.verdict === Verdict.NotRun && await this.isOtherEndpointReachable(entry);
        this.registry.recordFailure(entry, hasCrashed ? EndpointEvidence.Crash : EndpointEvidence.ConnectionFailure);
        if (!hasCrashed) {
            return ProbeResult.Unreachable;
        }
        if (entry.state !== EndpointState.Leaving) {
            await this.recordCrash(entry, attempts);
        }
        return ProbeResult.Crashed;
    }

    /**
     * Returns whether some other endpoint answers. A node that is cut off is refused everywhere, and its own network paths must not
     * count against endpoints or their requests.
     */
    private async isOtherEndpointReachable(entry: EndpointEntry): Promise<boolean> {
        const others = this.registry.listEntries().filter(other => other !== entry && other.state !== EndpointState.Removed);
        const compared = listByRendezvousRank(entry.name, others, other => other.name).slice(0, comparedEndpoints);
        const loads = await Promise.all(
            compared.map(other => this.client.fetchLoad(other.description.address, probeTimeLimitMilliseconds)),
        );
        return loads.some(load => load.ok);
    }

    /** Fetches the endpoint's load, again where the connection was lost before the time limit. */
    private async fetchLoad(entry: EndpointEntry): Promise<Result<LoadReport, Failure>> {
        const { address } = entry.description;
        const endsAt = this.clock.getMonotonicTime() + probeTimeLimitMilliseconds;
        let load = await this.client.fetchLoad(address, probeTimeLimitMilliseconds);
        for (let probes = 1; probes < maximumProbes && load.err && load.val.verdict !== Verdict.NotRun; probes += 1) {
            if (this.clock.getMonotonicTime() + probePauseMilliseconds >= endsAt) {
                break;
            }
            await this.clock.sleep(probePauseMilliseconds);
            load = await this.client.fetchLoad(address, Math.max(1, endsAt - this.clock.getMonotonicTime()));
        }
        return load;
    }

    /** Counts the crash against the requests that may have caused it, and sends the counts to peers at once. */
    private async recordCrash(entry: EndpointEntry, attempts: readonly ActiveAttempt[]): Promise<void> {
        // A suspect request that has passed its probation got past the point of the earlier crash and is not the cause of this one.
        const possibleCauses = attempts.filter(attempt =>
            attempt.countEmittedTokens() < probationTokenCount || !this.ledger.isSuspect(attempt.fingerprint)
        );
        // A request that holds the suspect lock explains the crash, so the requests beside it are not counted.
        const lockHolders = possibleCauses.filter(attempt => attempt.holdsSuspectLock);
        const assumedCauses = lockHolders.length > 0 ? lockHolders : possibleCauses;
        for (const attempt of assumedCauses) {
            this.ledger.recordCrash(attempt.fingerprint, entry.name);
        }
        if (assumedCauses.length > 0) {
            await this.notifier.sendUrgentDigest();
        }
    }
}
