import { AcceptanceGate } from "../callers/types.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { HostListSynchronizer } from "../control/commands/hostListSynchronizer.js";
import { ReadinessSource } from "../operators/types.js";

/** Decides whether the node reports itself as ready and whether it accepts requests. Readiness ends before acceptance during a shutdown. */
export class NodeGate implements AcceptanceGate, ReadinessSource {
    private isReadinessEnded = false;
    private isClosed = false;

    private constructor(private readonly configuration: ConfigurationSet, private readonly hosts: HostListSynchronizer) {}

    static create(configuration: ConfigurationSet, hosts: HostListSynchronizer): NodeGate {
        return new NodeGate(configuration, hosts);
    }

    listUnreadyReasons(): string[] {
        const reasons: string[] = [];
        if (!this.configuration.hasConfiguration()) {
            reasons.push("no configuration");
        }
        if (!this.hosts.hasHosts()) {
            reasons.push("no host list");
        }
        if (this.isReadinessEnded) {
            reasons.push("shutting down");
        }
        return reasons;
    }

    isAccepting(): boolean {
        return !this.isClosed;
    }

    /** Reports the node as not ready, so that the load balancer stops routing to it. Requests that still arrive are accepted. */
    endReadiness(): void {
        this.isReadinessEnded = true;
    }

    /** Refuses all later requests. */
    close(): void {
        this.isClosed = true;
    }
}
