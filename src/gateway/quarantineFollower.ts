import { Clock } from "../common/clock.js";
import { EventLog } from "../common/eventLog.js";
import { nameSchema } from "../common/json.js";
import { LogEvents } from "../common/logEvents.js";
import { ObjectChangeHandler } from "../provider/objectWatcher.js";
import { ObjectList, StoredObject } from "../provider/types.js";
import { QuarantineLedger } from "../requests/quarantineLedger.js";
import { PoisonRequestDetector } from "./poisonRequestDetector.js";
import { QuarantineTrials } from "./quarantineTrials.js";
import { parseStoredQuarantine, quarantinePrefix, StoredQuarantines } from "./storedQuarantines.js";

/** Applies the quarantines in the store, for nodes that have restarted or that peers cannot reach. */
export class QuarantineFollower implements ObjectChangeHandler {
    private constructor(
        private readonly detector: PoisonRequestDetector,
        private readonly ledger: QuarantineLedger,
        private readonly stored: StoredQuarantines,
        private readonly trials: QuarantineTrials,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(
        detector: PoisonRequestDetector,
        ledger: QuarantineLedger,
        stored: StoredQuarantines,
        trials: QuarantineTrials,
        clock: Clock,
        log: EventLog,
    ): QuarantineFollower {
        return new QuarantineFollower(detector, ledger, stored, trials, clock, log);
    }

    handleListing(list: ObjectList): void {
        list.objects.forEach(object => this.handleChange(object));
    }

    handleChange(object: StoredObject): void {
        const fingerprint = object.name.slice(quarantinePrefix.length);
        const quarantine = parseStoredQuarantine(object.value);
        if (quarantine === undefined || !nameSchema.safeParse(fingerprint).success) {
            this.log.log(LogEvents.QuarantineFaulty, { fingerprint, revision: object.revision });
            return;
        }
        const { endpoints, until } = quarantine;
        if (until <= this.clock.getWallTime()) {
            void this.stored.removeQuarantine(fingerprint, object.revision);
            return;
        }
        this.detector.mergeRecord({ fingerprint, endpoints, until }, "store");
        if (this.stored.isTakenByOther(quarantine)) {
            this.trials.recordOtherHolder({ fingerprint, endpoints, until });
        }
    }

    /** Clears a request whose stored quarantine was removed: it was served under its trial. */
    handleRemoval(name: string): void {
        const fingerprint = name.slice(quarantinePrefix.length);
        this.ledger.removeCrashes(fingerprint, this.ledger.listCrashedEndpoints(fingerprint));
    }
}
