import { Clock } from "../../common/clock.js";
import { Diagnostics } from "../../common/diagnostics.js";
import { Failure } from "../../common/failure.js";
import { Err, Ok, Result } from "../../common/results.js";
import { Verdict } from "../../common/verdict.js";
import { ConfigurationSet } from "../../config/configurationSet.js";
import { movePrefix } from "../../config/objectNames.js";
import { ObjectStore, writeObject } from "../../provider/objectStore.js";
import { StoredObject, WriteFailure, WriteOutcome } from "../../provider/types.js";
import { SharedObjects } from "../sharedObjects.js";
import { createMoveRecord } from "./moveDuty.js";
import { createEndedRecord, MoveReason, MoveRecord, MoveState, parseMoveRecord } from "./moveRecord.js";

/** Starts and aborts moves for operators. Writes are conditional: of concurrent operators one succeeds, the others get an error. */
export class MoveOperations {
    private constructor(
        private readonly store: ObjectStore,
        private readonly objects: SharedObjects,
        private readonly configuration: ConfigurationSet,
        private readonly clock: Clock,
        private readonly margin: number,
    ) {}

    /** The margin is the time before the deadline, in milliseconds, from which a move is rolled back; a start requires twice that. */
    static create(
        store: ObjectStore,
        objects: SharedObjects,
        configuration: ConfigurationSet,
        clock: Clock,
        margin: number,
    ): MoveOperations {
        return new MoveOperations(store, objects, configuration, clock, margin);
    }

    /** Starts a move; the deadline is in Unix milliseconds. With replacesRunning, the same write replaces the record of a running move. */
    async startMove(serviceName: string, to: string, deadline: number, replacesRunning: boolean): Promise<Result<MoveRecord, Failure>> {
        const service = this.configuration.findService(serviceName);
        if (service === undefined) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Service_0_is_not_declared, serviceName));
        }
        const reason = this.findStartObstacle(service.version, service.versions.map(version => version.name), to, deadline);
        if (reason !== undefined) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Move_cannot_start_0, reason));
        }
        const name = movePrefix + serviceName;
        const current = await this.store.getObject(name);
        if (current.err) {
            return current;
        }
        const running = current.val === undefined ? undefined : parseMoveRecord(current.val);
        if (running?.state === MoveState.Running && !replacesRunning) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Move_of_service_0_runs_already, serviceName));
        }
        const record = createMoveRecord(serviceName, service.version, to, deadline, this.clock.getWallTime());
        return this.writeRecord(current.val, record);
    }

    /** Rolls back the running move of a service. */
    async abortMove(serviceName: string): Promise<Result<MoveRecord, Failure>> {
        const current = await this.store.getObject(movePrefix + serviceName);
        if (current.err) {
            return current;
        }
        const record = current.val === undefined ? undefined : parseMoveRecord(current.val);
        if (current.val === undefined || record === undefined || record.state !== MoveState.Running) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Move_of_service_0_is_not_known, serviceName));
        }
        const last = record.steps.at(-1);
        const ended = createEndedRecord(
            record,
            MoveState.TakenBack,
            MoveReason.Aborted,
            "by an operator",
            this.clock.getWallTime(),
            last?.trials ?? 0,
            last?.failures ?? 0,
        );
        return this.writeRecord(current.val, ended);
    }

    private findStartObstacle(from: string, versions: readonly string[], to: string, deadline: number): string | undefined {
        if (!versions.includes(to)) {
            return `version '${to}' is not declared`;
        }
        if (from === to) {
            return `version '${to}' is in use`;
        }
        if (deadline - this.clock.getWallTime() < this.margin * 2) {
            return "the deadline is too near";
        }
        return undefined;
    }

    private async writeRecord(current: StoredObject | undefined, record: MoveRecord): Promise<Result<MoveRecord, Failure>> {
        const name = movePrefix + record.service;
        const written = await writeObject(this.store, name, record, current);
        if (written.ok) {
            this.objects.applyObject({ name, revision: written.val, value: record });
            return Ok(record);
        }
        return this.handleWriteFailure(written.val, record);
    }

    private async handleWriteFailure(failure: WriteFailure, record: MoveRecord): Promise<Result<MoveRecord, Failure>> {
        if (failure.outcome !== WriteOutcome.Unknown) {
            return Err(failure.failure);
        }
        const found = await this.store.getObject(movePrefix + record.service);
        const stored = found.ok && found.val !== undefined ? parseMoveRecord(found.val) : undefined;
        if (stored !== undefined && stored.id === record.id && (record.state === MoveState.Running || stored.state === record.state)) {
            return Ok(stored);
        }
        return Err(failure.failure);
    }
}
