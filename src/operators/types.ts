import { Clock } from "../common/clock.js";
import { Metrics } from "../common/metrics.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { ClockMonitor } from "../control/moves/clockMonitor.js";
import { MoveController } from "../control/moves/moveController.js";
import { MoveOperations } from "../control/moves/moveOperations.js";
import { MemberDirectory } from "../peers/memberDirectory.js";
import { PeerLink } from "../peers/types.js";
import { ObjectStore } from "../provider/objectStore.js";
import { AdmissionQueue } from "../requests/commands/admissionQueue.js";
import { EndpointRegistry } from "../requests/endpointRegistry.js";
import { RequestTable } from "../requests/requestTable.js";

/** Readiness of the node to receive callers' traffic. */
export interface ReadinessSource {
    /** Returns the reasons why the node is not ready; empty when it is ready. */
    listUnreadyReasons(): string[];
}

/** Dependencies of the operator server. */
export interface OperatorDependencies {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly configuration: ConfigurationSet;
    readonly directory: MemberDirectory;
    readonly link: PeerLink;
    readonly store: ObjectStore;
    readonly registry: EndpointRegistry;
    readonly admission: AdmissionQueue;
    readonly table: RequestTable;
    readonly readiness: ReadinessSource;
    readonly moves: MoveController;
    readonly moveOperations: MoveOperations;
    readonly clocks: ClockMonitor;
    /** SHA-256 hash of the operators' bearer token; undefined disables authentication. */
    readonly operatorTokenHash: string | undefined;
}
