import got, { Got } from "got";
import { z } from "zod";
import { createDiagnostic, Diagnostic, Diagnostics } from "../common/diagnostics.js";
import { describeError } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { ExplainedRequest, PlacementExplanation, placementExplanationSchema } from "../gateway/placementExplainer.js";
import { NodeStatus, nodeStatusSchema } from "../operators/queries/nodeStatus.js";
import { RequestExplanation } from "../requests/requestRecord.js";

const timeoutMilliseconds = 5_000;
const problemSchema = z.object({ title: z.string() });

/** Why a call on a node gave no result. */
export interface OperatorFailure {
    readonly diagnostic: Diagnostic;
    /** Whether the node answered at all. */
    readonly wasAnswered: boolean;
}

/** Calls a node's operator listener. */
export class OperatorClient {
    private constructor(private readonly client: Got, readonly url: string) {}

    static create(url: string, token: string | undefined): OperatorClient {
        const headers = token === undefined ? {} : { authorization: `Bearer ${token}` };
        const client = got.extend({
            prefixUrl: url,
            headers,
            throwHttpErrors: false,
            retry: { limit: 0 },
            timeout: { request: timeoutMilliseconds },
        });
        return new OperatorClient(client, url);
    }

    async fetchStatus(): Promise<Result<NodeStatus, OperatorFailure>> {
        const answer = await this.send("GET", "v1/status");
        return answer.map(value => nodeStatusSchema.parse(value));
    }

    async explainRequest(requestId: string): Promise<Result<RequestExplanation, OperatorFailure>> {
        const answer = await this.send("GET", `v1/requests/${encodeURIComponent(requestId)}`);
        return answer.map(value => value as RequestExplanation);
    }

    /** Asks a gateway where it would send a request now. */
    async fetchPlacement(request: ExplainedRequest): Promise<Result<PlacementExplanation, OperatorFailure>> {
        const parameters = new URLSearchParams();
        Object.entries(request).forEach(([name, value]) => value !== undefined && parameters.set(name, String(value)));
        const answer = await this.send("GET", `placement?${parameters.toString()}`);
        return answer.map(value => placementExplanationSchema.parse(value));
    }

    async drainEndpoint(name: string): Promise<Result<void, OperatorFailure>> {
        const answer = await this.send("POST", `v1/endpoints/${encodeURIComponent(name)}/drain`);
        return answer.map(() => undefined);
    }

    /** Sends a call and returns the parsed JSON answer. */
    async send(method: "GET" | "POST", path: string, body?: unknown): Promise<Result<unknown, OperatorFailure>> {
        try {
            const answer = await this.client(path, { method, ...(body === undefined ? {} : { json: body }) });
            const value = JSON.parse(answer.body) as unknown;
            if (answer.statusCode >= 300) {
                const problem = problemSchema.safeParse(value);
                const text = problem.success ? problem.data.title : `status ${answer.statusCode}`;
                return Err({ diagnostic: createDiagnostic(Diagnostics.Node_at_0_refused_1, this.url, text), wasAnswered: true });
            }
            return Ok(value);
        }
        catch (error) {
            return Err({
                diagnostic: createDiagnostic(Diagnostics.Node_at_0_did_not_answer_1, this.url, describeError(error)),
                wasAnswered: false,
            });
        }
    }
}
