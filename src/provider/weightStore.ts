import got, { Got } from "got";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";

/** Client of the store from which engines load model weights. The store limits how many loads run in parallel. */
export interface WeightStore {
    /** Returns the number of parallel loads that the store serves to one failure domain. */
    fetchParallelLoads(): Promise<Result<number, Failure>>;
}

const rateSchema = z.object({ parallel_loads: z.number().int().min(0) });

/** Calls the weight store with JSON over HTTP, without retries. */
export class HttpWeightStore implements WeightStore {
    private constructor(private readonly client: Got) {}

    /** Creates a client for a base URL; the timeout is that of a whole request, in milliseconds. */
    static create(url: string, timeout: number): HttpWeightStore {
        return new HttpWeightStore(got.extend({ prefixUrl: url, retry: { limit: 0 }, timeout: { request: timeout } }));
    }

    async fetchParallelLoads(): Promise<Result<number, Failure>> {
        try {
            return Ok(rateSchema.parse(await this.client.get("rate").json()).parallel_loads);
        }
        catch (error) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, describeError(error)));
        }
    }
}
