import got, { Got } from "got";
import { z } from "zod";
import { Diagnostics } from "../common/diagnostics.js";
import { describeError, Failure } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Verdict } from "../common/verdict.js";
import { ListedHost, parseHosts } from "./types.js";

/** Client of the platform's list of live and leaving hosts. The list may lag behind the actual state. */
export interface HostListClient {
    /** Returns every host that is in the list now. */
    listHosts(): Promise<Result<ListedHost[], Failure>>;
}

const hostsSchema = z.object({ hosts: z.array(z.unknown()) });

const statusNotModified = 304;

/** Reads the host list with JSON over HTTP. Sends the last entity tag, so that an unchanged list is not transferred again. */
export class HttpHostListClient implements HostListClient {
    private hosts: ListedHost[] = [];
    private entityTag: string | undefined;

    private constructor(private readonly client: Got, private readonly reportFault: (fault: string) => void) {}

    /** Creates a client for a base URL; the timeout is that of a whole request, in milliseconds. `reportFault` is told of malformed entries. */
    static create(url: string, timeout: number, reportFault: (fault: string) => void): HttpHostListClient {
        return new HttpHostListClient(
            got.extend({
                prefixUrl: url,
                decompress: false,
                headers: { "user-agent": undefined },
                retry: { limit: 0 },
                timeout: { request: timeout },
            }),
            reportFault,
        );
    }

    async listHosts(): Promise<Result<ListedHost[], Failure>> {
        try {
            const headers = this.entityTag === undefined ? {} : { "if-none-match": this.entityTag };
            const response = await this.client.get("hosts", { headers });
            if (response.statusCode !== statusNotModified) {
                this.hosts = parseHosts(hostsSchema.parse(JSON.parse(response.body)).hosts, this.reportFault);
                this.entityTag = response.headers.etag;
            }
            return Ok(this.hosts);
        }
        catch (error) {
            return Err(Failure.create(Verdict.NotRun, Diagnostics.Platform_did_not_answer_0, describeError(error)));
        }
    }
}
