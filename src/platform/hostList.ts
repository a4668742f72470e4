import got, { Got } from "got";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { hostSchema, ListedHost } from "./types.js";

/** The platform's list of live and leaving hosts. It lags. */
export interface HostList {
    /** Returns every host that the list shows now. */
    listHosts(): Promise<Result<ListedHost[], Failure>>;
}

const hostsSchema = z.object({ hosts: z.array(hostSchema) });

/** Reads the host list over HTTP and JSON. */
export class HttpHostList implements HostList {
    private constructor(private readonly client: Got) {}

    /** The timeout is in milliseconds. */
    static create(url: string, timeout: number): HttpHostList {
        return new HttpHostList(got.extend({ prefixUrl: url, retry: { limit: 0 }, timeout: { request: timeout } }));
    }

    async listHosts(): Promise<Result<ListedHost[], Failure>> {
        try {
            const answer = hostsSchema.parse(await this.client.get("hosts").json());
            return Ok(answer.hosts);
        }
        catch (error) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, describeError(error)));
        }
    }
}
