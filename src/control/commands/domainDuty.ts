import { Clock } from "../../common/clock.js";
import { Logger } from "../../common/logging.js";
import { ConfigurationSet } from "../../config/configurationSet.js";
import { ModelEndpointClient } from "../../endpoints/modelEndpoint.js";
import { MemberDirectory } from "../../peers/memberDirectory.js";
import { ObjectStore } from "../../provider/objectStore.js";
import { WeightStore } from "../../provider/weightStore.js";
import { readClaimExpiry } from "../../requests/commands/claimStore.js";
import { Draft, DraftStore } from "../../requests/commands/draftStore.js";
import { EndpointEntry, EndpointRegistry } from "../../requests/endpointRegistry.js";
import { RequestService } from "../../requests/requestService.js";
import { MoveController } from "../moves/moveController.js";
import { listDesiredModels } from "../queries/placement.js";
import { LeaseManager } from "./leaseManager.js";
import { OrderSender } from "./orderSender.js";

const roundIntervalMilliseconds = 1_000;
/** Rounds between two removals of expired claims. */
const roundsPerClaimCleanup = 60;
/** Upper limit of removals in one round; bounds the writes to the store. */
const claimRemovalsPerRound = 100;
/** Models that the domain's endpoints may load in parallel when there is no weight store or it gives no limit. */
const defaultParallelLoads = 2;
const modelReadTimeoutMilliseconds = 500;

/** Dependencies of the domain duty. */
export interface DomainDutyDependencies {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly lease: LeaseManager;
    readonly orders: OrderSender;
    readonly client: ModelEndpointClient;
    readonly store: ObjectStore;
    readonly weightStore: WeightStore | undefined;
    readonly configuration: ConfigurationSet;
    readonly moves: MoveController;
    readonly registry: EndpointRegistry;
    readonly directory: MemberDirectory;
    readonly drafts: DraftStore;
    readonly service: RequestService;
}

/**
 * The periodic work of the holder of a failure domain's lease: orders the engines' models, adopts drafts without a running owner
 * and removes expired claims.
 */
export class DomainDuty {
    private readonly stopping = new AbortController();
    private round = 0;

    private constructor(private readonly dependencies: DomainDutyDependencies) {}

    static create(dependencies: DomainDutyDependencies): DomainDuty {
        return new DomainDuty(dependencies);
    }

    /** Runs until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            if (this.dependencies.lease.getGrant() !== undefined) {
                this.round += 1;
                await this.applyPlacement();
                await this.adoptOrphans();
                await this.removeExpiredClaims();
            }
            await this.dependencies.clock.sleep(roundIntervalMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Orders the domain's engines to serve the models that the configuration and the moves require, within the limit of parallel loads. */
    async applyPlacement(): Promise<void> {
        const { registry, directory, configuration, moves } = this.dependencies;
        const engines = registry.listEntries().filter(entry => {
            const isInDomain = entry.description.failureDomain === directory.identity.failureDomain;
            return isInDomain && registry.isEligible(entry) && (entry.load?.models.length ?? 0) > 0;
        });
        let loads = await this.getParallelLoads();
        for (const engine of engines) {
            const desired = listDesiredModels(configuration, moves.listRecords(), engine.description.group);
            if (desired.length === 0 || !this.dependencies.orders.isSendAllowed(engine.description.group)) {
                continue;
            }
            loads -= await this.applyPlacementAt(engine, desired, loads);
        }
    }

    /** Returns the number of loads that the engine is running or was ordered to start. */
    private async applyPlacementAt(engine: EndpointEntry, desired: readonly string[], availableLoads: number): Promise<number> {
        const { client, orders, logger } = this.dependencies;
        const found = await client.fetchModels(engine.description.address, modelReadTimeoutMilliseconds);
        if (found.err) {
            return 0;
        }
        const present = [...found.val.loaded, ...found.val.loading];
        const missing = desired.filter(model => !present.includes(model));
        const surplus = present.filter(model => !desired.includes(model));
        if (missing.length === 0 && surplus.length === 0) {
            return found.val.loading.length;
        }
        // Over the limit of parallel loads, the engine keeps its models until a later round.
        if (missing.length > availableLoads) {
            return found.val.loading.length;
        }
        const ordered = await orders.sendModels(engine.description, desired);
        logger.info("models ordered", { endpoint: engine.name, models: desired, accepted: ordered.ok });
        return found.val.loading.length + missing.length;
    }

    private async getParallelLoads(): Promise<number> {
        const limit = await this.dependencies.weightStore?.fetchParallelLoads();
        return limit !== undefined && limit.ok ? limit.val : defaultParallelLoads;
    }

    /** Adopts stored drafts whose owner has stopped, restarted or become unreachable. */
    private async adoptOrphans(): Promise<void> {
        const pending = await this.dependencies.drafts.listPending();
        if (pending.err) {
            return;
        }
        for (const draft of pending.val) {
            if (!this.isOwnerRunning(draft)) {
                await this.dependencies.service.adoptDraft(draft);
            }
        }
    }

    private isOwnerRunning(draft: Draft): boolean {
        const { identity } = this.dependencies.directory;
        if (draft.owner === identity.name) {
            return draft.incarnation === identity.incarnation;
        }
        const member = this.dependencies.directory.findMember(draft.owner);
        return member !== undefined && this.dependencies.directory.isReachable(member) && member.incarnation === draft.incarnation;
    }

    /** Removes expired claims. Keys with a time older than the retention are refused, so a removed key can't run again. */
    private async removeExpiredClaims(): Promise<void> {
        if (this.round % roundsPerClaimCleanup !== 0) {
            return;
        }
        const listed = await this.dependencies.store.listObjects("claims/");
        if (listed.err) {
            return;
        }
        const now = this.dependencies.clock.getWallTime();
        const expired = listed.val.objects.filter(object => (readClaimExpiry(object) ?? Infinity) < now);
        for (const object of expired.slice(0, claimRemovalsPerRound)) {
            await this.dependencies.store.removeObject(object.name, object.revision);
        }
    }
}
