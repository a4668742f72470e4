import { Verdict } from "../../common/verdict.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { EndpointEvidence, EndpointState } from "../../endpoints/types.js";
import { UrgentNotifier } from "../../peers/types.js";
import { ActiveAttempt, EndpointEntry, EndpointRegistry } from "../endpointRegistry.js";
import { QuarantineLedger } from "../quarantineLedger.js";

/** Time limit of a probe, in milliseconds. */
const probeTimeLimitMilliseconds = 400;

/** What a probe on a new connection showed. */
export enum ProbeResult {
    /** The endpoint answers: only the connection was lost. */
    Alive = "alive",
    /** The endpoint refuses connections. */
    Dead = "dead",
    /** Nothing came back in time. */
    Unreachable = "unreachable",
}

/** Finds out, after a lost connection, whether the endpoint died, and records who may have caused it. */
export class EndpointProbe {
    private readonly pending = new Map<string, Promise<ProbeResult>>();

    private constructor(
        private readonly client: ModelEndpointClient,
        private readonly registry: EndpointRegistry,
        private readonly ledger: QuarantineLedger,
        private readonly notifier: UrgentNotifier,
    ) {}

    static create(
        client: ModelEndpointClient,
        registry: EndpointRegistry,
        ledger: QuarantineLedger,
        notifier: UrgentNotifier,
    ): EndpointProbe {
        return new EndpointProbe(client, registry, ledger, notifier);
    }

    /** Probes an endpoint; concurrent losses of one endpoint share one probe. */
    async checkEndpoint(entry: EndpointEntry): Promise<ProbeResult> {
        const existing = this.pending.get(entry.name);
        if (existing !== undefined) {
            return existing;
        }
        const probe = this.runProbe(entry).finally(() => this.pending.delete(entry.name));
        this.pending.set(entry.name, probe);
        return probe;
    }

    private async runProbe(entry: EndpointEntry): Promise<ProbeResult> {
        const attempts = [...entry.attempts];
        const load = await this.client.fetchLoad(entry.description.address, probeTimeLimitMilliseconds);
        if (load.ok) {
            this.registry.recordLoad(entry.name, load.val, 0);
            return ProbeResult.Alive;
        }
        const isDead = load.val.verdict === Verdict.NotRun;
        this.registry.recordFailure(entry, isDead ? EndpointEvidence.Death : EndpointEvidence.ConnectionFailure);
        if (!isDead) {
            return ProbeResult.Unreachable;
        }
        if (entry.state !== EndpointState.Leaving) {
            await this.recordDeath(entry, attempts);
        }
        return ProbeResult.Dead;
    }

    private async recordDeath(entry: EndpointEntry, attempts: readonly ActiveAttempt[]): Promise<void> {
        // A suspect that got past the point of the earlier death does not cause this one.
        const present = attempts.filter(attempt => attempt.countEmitted() === 0 || !this.ledger.isSuspect(attempt.fingerprint));
        // A request that ran alone under suspicion explains the death; those beside it are not counted.
        const proven = present.filter(attempt => attempt.holdsSuspectLane);
        const counted = proven.length > 0 ? proven : present;
        for (const attempt of counted) {
            this.ledger.recordDeath(attempt.fingerprint, entry.name);
        }
        if (counted.length > 0) {
            await this.notifier.sendUrgentDigest();
        }
    }
}
