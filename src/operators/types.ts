import { Clock } from "../common/clock.js";
import { Metrics } from "../common/metrics.js";
import { ConfigurationSet } from "../config/configurationSet.js";
import { ClockMonitor } from "../control/moves/clockMonitor.js";
import { MoveKeeper } from "../control/moves/moveKeeper.js";
import { MoveOperations } from "../control/moves/moveOperations.js";
import { MemberDirectory } from "../peers/memberDirectory.js";
import { PeerLink } from "../peers/types.js";
import { ObjectStore } from "../provider/objectStore.js";
import { AdmissionQueue } from "../requests/commands/admissionQueue.js";
import { EndpointRegistry } from "../requests/endpointRegistry.js";
import { RequestTable } from "../requests/requestTable.js";

/** Whether the node may get callers' traffic, and why not. */
export interface ReadinessSource {
    /** Returns the reasons for which the node is not ready; none when it is. */
    listUnreadyReasons(): string[];
}

/** The parts of a node that serving operators needs. */
export interface OperatorParts {
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
    readonly moves: MoveKeeper;
    readonly moveOperations: MoveOperations;
    readonly clocks: ClockMonitor;
    readonly operatorTokenHash: string | undefined;
}
