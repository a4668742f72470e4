import { SeededRandom } from "../common/random.js";
import { EndpointDirectory } from "../fleet/endpointDirectory.js";
import { PlacementExplainer } from "../gateway/placementExplainer.js";
import { CallPlacementPolicy } from "../placement/callPlacementPolicy.js";
import { CombinedAdmission } from "../placement/combinedAdmission.js";
import { EndpointChooser } from "../placement/endpointChooser.js";
import { EvacuationAdmission } from "../placement/evacuationAdmission.js";
import { ConfigurationHolder } from "../routes/configurationHolder.js";
import { VirtualClock } from "./virtualClock.js";

/** A node's configuration and endpoints, both empty, and the explainer of where it would send requests. */
export interface ExplainedWorld {
    readonly configuration: ConfigurationHolder;
    readonly directory: EndpointDirectory;
    readonly explainer: PlacementExplainer;
}

/** Creates a node's view of plain services, without the node. */
export function createExplainedWorld(evacuatedDomains: readonly string[] = []): ExplainedWorld {
    const clock = VirtualClock.create();
    const directory = EndpointDirectory.create(clock);
    const policy = CallPlacementPolicy.create({ initialCallTime: 20, domainPenalty: 10 }, "a", () => clock.getMonotonicTime());
    const evacuation = EvacuationAdmission.create({ isEvacuated: domain => evacuatedDomains.includes(domain) });
    const admission = CombinedAdmission.create([evacuation]);
    const chooser = EndpointChooser.create(directory, clock, SeededRandom.create(1), () => policy, () => 100, undefined, admission);
    const configuration = ConfigurationHolder.create();
    return { configuration, directory, explainer: PlacementExplainer.create("node-1", configuration, chooser, clock) };
}
