import { Clock } from "../../common/clock.js";
import { Logger } from "../../common/logging.js";
import { Metrics } from "../../common/metrics.js";
import { Tracing } from "../../common/tracing.js";
import { ConfigurationSet } from "../../config/configurationSet.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { EndpointRegistry } from "../endpointRegistry.js";
import { PrefixIndex } from "../prefixIndex.js";
import { QuarantineLedger } from "../quarantineLedger.js";
import { RetryBudget } from "../retryBudget.js";
import { SuspectLocks } from "../suspectLocks.js";
import { VersionObserver, VersionPolicy } from "../types.js";
import { AdmissionQueue } from "./admissionQueue.js";
import { EndpointProbe } from "./endpointProbe.js";
import { ShadowRequestRunner } from "./shadowRequestRunner.js";

/** Time limit for exporting the KV cache of one attempt. */
export const exportTimeLimitMilliseconds = 500;
/** Prompt characters that are estimated as one token. */
export const charactersPerToken = 4;

/** Dependencies of the model request runner and of the attempts that it runs. */
export interface ModelRequestRunnerDependencies {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly logger: Logger;
    readonly tracing: Tracing;
    readonly configuration: ConfigurationSet;
    readonly registry: EndpointRegistry;
    readonly admission: AdmissionQueue;
    readonly client: ModelEndpointClient;
    readonly probe: EndpointProbe;
    readonly ledger: QuarantineLedger;
    readonly suspectLocks: SuspectLocks;
    readonly budget: RetryBudget;
    readonly prefixIndex: PrefixIndex;
    readonly versions: VersionPolicy;
    readonly observer: VersionObserver;
    readonly shadowRunner: ShadowRequestRunner;
    readonly connectTimeout: number;
}
