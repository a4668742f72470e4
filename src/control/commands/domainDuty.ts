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
import { MoveKeeper } from "../moves/moveKeeper.js";
import { listDesiredModels } from "../queries/placement.js";
import { LeaseKeeper } from "./leaseKeeper.js";
import { OrderSender } from "./orderSender.js";

const roundMilliseconds = 1_000;
/** Rounds between two removals of old claims. */
const claimRounds = 60;
/** Claims removed in one round; bounds the writes. */
const claimLimit = 100;
/** Endpoints of the domain that may load weights at once when the weight store says nothing. */
const defaultParallelLoads = 2;
const readTimeLimitMilliseconds = 500;

/** The parts of a node that the domain's duties need. */
export interface DomainDutyParts {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly lease: LeaseKeeper;
    readonly orders: OrderSender;
    readonly client: ModelEndpointClient;
    readonly store: ObjectStore;
    readonly weightStore: WeightStore | undefined;
    readonly configuration: ConfigurationSet;
    readonly moves: MoveKeeper;
    readonly registry: EndpointRegistry;
    readonly directory: MemberDirectory;
    readonly drafts: DraftStore;
    readonly service: RequestService;
}

/** What the holder of a failure domain's lease does: orders to endpoints, orphaned drafts, old claims. */
export class DomainDuty {
    private readonly stopping = new AbortController();
    private round = 0;

    private constructor(private readonly parts: DomainDutyParts) {}

    static create(parts: DomainDutyParts): DomainDuty {
        return new DomainDuty(parts);
    }

    /** Runs until stop is called. */
    async runRounds(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            if (this.parts.lease.getGrant() !== undefined) {
                this.round += 1;
                await this.applyPlacement();
                await this.adoptOrphans();
                await this.removeOldClaims();
            }
            await this.parts.clock.sleep(roundMilliseconds, this.stopping.signal);
        }
    }

    stop(): void {
        this.stopping.abort();
    }

    /** Brings the models of the domain's engines to what the configuration and the moves ask for, a few at a time. */
    async applyPlacement(): Promise<void> {
        const { registry, directory, configuration, moves } = this.parts;
        const engines = registry.listEntries().filter(entry => {
            const isOwn = entry.description.failureDomain === directory.identity.failureDomain;
            return isOwn && registry.isEligible(entry) && (entry.load?.models.length ?? 0) > 0;
        });
        let loads = await this.getParallelLoads();
        for (const engine of engines) {
            const desired = listDesiredModels(configuration, moves.listRecords(), engine.description.group);
            if (desired.length === 0 || !this.parts.orders.isSendAllowed(engine.description.group)) {
                continue;
            }
            loads -= await this.applyPlacementAt(engine, desired, loads);
        }
    }

    /** Returns how many loads the engine is busy with or was ordered to begin. */
    private async applyPlacementAt(engine: EndpointEntry, desired: readonly string[], loadsLeft: number): Promise<number> {
        const { client, orders, logger } = this.parts;
        const found = await client.fetchModels(engine.description.address, readTimeLimitMilliseconds);
        if (found.err) {
            return 0;
        }
        const present = [...found.val.loaded, ...found.val.loading];
        const missing = desired.filter(model => !present.includes(model));
        const surplus = present.filter(model => !desired.includes(model));
        if (missing.length === 0 && surplus.length === 0) {
            return found.val.loading.length;
        }
        // Without a load left, the engine keeps what it has until its turn comes.
        if (missing.length > loadsLeft) {
            return found.val.loading.length;
        }
        const ordered = await orders.sendModels(engine.description, desired);
        logger.info("models ordered", { endpoint: engine.name, models: desired, accepted: ordered.ok });
        return found.val.loading.length + missing.length;
    }

    private async getParallelLoads(): Promise<number> {
        const rate = await this.parts.weightStore?.fetchParallelLoads();
        return rate !== undefined && rate.ok ? rate.val : defaultParallelLoads;
    }

    /** Takes over stored requests whose owner is gone. */
    private async adoptOrphans(): Promise<void> {
        const pending = await this.parts.drafts.listPending();
        if (pending.err) {
            return;
        }
        for (const draft of pending.val) {
            if (!this.isOwnerAlive(draft)) {
                await this.parts.service.adoptDraft(draft);
            }
        }
    }

    private isOwnerAlive(draft: Draft): boolean {
        const { identity } = this.parts.directory;
        if (draft.owner === identity.name) {
            return draft.incarnation === identity.incarnation;
        }
        const member = this.parts.directory.findMember(draft.owner);
        return member !== undefined && this.parts.directory.isAlive(member) && member.incarnation === draft.incarnation;
    }

    /** Removes claims whose retention is over. Keys that show an older time are refused, so none can run again. */
    private async removeOldClaims(): Promise<void> {
        if (this.round % claimRounds !== 0) {
            return;
        }
        const listed = await this.parts.store.listObjects("claims/");
        if (listed.err) {
            return;
        }
        const now = this.parts.clock.getWallTime();
        const old = listed.val.objects.filter(object => (readClaimExpiry(object) ?? Infinity) < now);
        for (const object of old.slice(0, claimLimit)) {
            await this.parts.store.removeObject(object.name, object.revision);
        }
    }
}
