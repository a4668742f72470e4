import got, { Got } from "got";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";

/** The store of model weights. It is rate-limited. */
export interface WeightStore {
    /** Returns how many loads the store serves a failure domain at once. */
    fetchParallelLoads(): Promise<Result<number, Failure>>;
}

const rateSchema = z.object({ parallel_loads: z.number().int().min(0) });

/** Speaks to the weight store over HTTP and JSON. */
export class HttpWeightStore implements WeightStore {
    private constructor(private readonly client: Got) {}

    /** The timeout is in milliseconds. */
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
