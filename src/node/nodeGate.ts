import { AcceptanceGate } from "../callers/types.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { HostListKeeper } from "../control/commands/hostListKeeper.js";
import { ReadinessSource } from "../operators/types.js";

/** Says whether the node is ready for traffic and whether it still accepts requests. */
export class NodeGate implements AcceptanceGate, ReadinessSource {
    private isReadinessOff = false;
    private isClosed = false;

    private constructor(private readonly configuration: ConfigurationSet, private readonly hosts: HostListKeeper) {}

    static create(configuration: ConfigurationSet, hosts: HostListKeeper): NodeGate {
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
        if (this.isReadinessOff) {
            reasons.push("shutting down");
        }
        return reasons;
    }

    isAccepting(): boolean {
        return !this.isClosed;
    }

    /** Tells the balancer to send no more traffic; requests that still come are accepted. */
    endReadiness(): void {
        this.isReadinessOff = true;
    }

    /** Refuses requests from now on. */
    close(): void {
        this.isClosed = true;
    }
}
