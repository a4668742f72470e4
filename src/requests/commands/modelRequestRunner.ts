import { ServiceDeclaration } from "../../config/types.js";
import { RequestRecord } from "../requestRecord.js";
import { ModelRequestRunnerDependencies } from "./modelRequestDependencies.js";
import { RequestRun } from "./requestRun.js";

/** Runs each generation to its end with successive attempts, each of which continues after the tokens of the previous one. */
export class ModelRequestRunner {
    private constructor(private readonly dependencies: ModelRequestRunnerDependencies) {}

    static create(dependencies: ModelRequestRunnerDependencies): ModelRequestRunner {
        return new ModelRequestRunner(dependencies);
    }

    /** Runs a request until its record has ended. */
    async runRequest(record: RequestRecord, service: ServiceDeclaration): Promise<void> {
        this.dependencies.budget.recordRequest();
        const run = RequestRun.create(this.dependencies, record, service);
        void this.dependencies.shadowRunner.sendShadowRequests(record.request, service, run.version);
        try {
            await run.runAttempts();
        }
        finally {
            run.stop();
        }
    }
}
