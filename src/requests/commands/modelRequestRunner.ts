import { ServiceDeclaration } from "../../config/types.js";
import { RequestRecord } from "../requestRecord.js";
import { ModelRequestRunnerParts } from "./modelRequestParts.js";
import { RequestRun } from "./requestRun.js";

/** Runs generations to their ends: one attempt after another, each going on where the one before it stopped. */
export class ModelRequestRunner {
    private constructor(private readonly parts: ModelRequestRunnerParts) {}

    static create(parts: ModelRequestRunnerParts): ModelRequestRunner {
        return new ModelRequestRunner(parts);
    }

    /** Runs a request until its record has an end. */
    async runRequest(record: RequestRecord, service: ServiceDeclaration): Promise<void> {
        this.parts.budget.recordRequest();
        const run = RequestRun.create(this.parts, record, service);
        void this.parts.shadows.runShadows(record.request, service, run.version);
        try {
            await run.runAttempts();
        }
        finally {
            run.stop();
        }
    }
}
