import { Agent, request as sendHttpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { HeaderNames } from "../../../platform/wire.js";
import { RandomSource } from "../../common/random.js";
import { routedNames } from "../../standins/routed/routedPlatform.js";

/** What a caller asks for. */
export enum CallKind {
    Lookup = "lookup",
    Voucher = "voucher",
    Notice = "notice",
    Question = "question",
}

/** How one attempt of a caller ended; status 0 when no head of an answer came. */
export interface CallResult {
    readonly id: string;
    readonly kind: CallKind;
    readonly node: string;
    /** Milliseconds since the start. */
    readonly sentAt: number;
    status: number;
    body: string;
    isWhole: boolean;
    signature: string | undefined;
}

/** A node as callers reach it. */
export interface CallTarget {
    readonly name: string;
    getPort(): number;
    /** Whether the balancer sends new connections there. */
    isInRotation(): boolean;
}

/** Time that callers wait, in milliseconds. */
const callerPatienceMilliseconds = 3_000;
/** Pause between two calls of one caller, in milliseconds. */
const pauseMilliseconds = 40;
/** Share of calls that go to any node on a kept connection, whatever the balancer thinks of the node. */
const keptConnectionShare = 0.3;

/** Callers that keep connections open and use them until the process behind them is gone. */
export class SoakCallers {
    readonly results: CallResult[] = [];
    private readonly agents = new Map<string, Agent>();
    private isStopped = false;
    private sequence = 0;

    private constructor(
        private readonly targets: readonly CallTarget[],
        private readonly random: RandomSource,
        private readonly prefix: string,
    ) {}

    static create(targets: readonly CallTarget[], random: RandomSource, prefix: string): SoakCallers {
        return new SoakCallers(targets, random, prefix);
    }

    /** Runs callers until they are stopped; resolves when their last calls have ended. */
    async run(count: number): Promise<void> {
        const startedAt = performance.now();
        await Promise.all(Array.from({ length: count }, (_value, index) => this.runCaller(index, startedAt)));
        this.agents.forEach(agent => agent.destroy());
    }

    stop(): void {
        this.isStopped = true;
    }

    private async runCaller(index: number, startedAt: number): Promise<void> {
        const kinds = Object.values(CallKind);
        while (!this.isStopped) {
            const target = this.pickTarget();
            if (target !== undefined) {
                const kind = kinds[this.random.pickIndex(kinds.length)] as CallKind;
                this.sequence += 1;
                const id = `${this.prefix}-${index}-${this.sequence}`;
                const sentAt = performance.now() - startedAt;
                const result: CallResult = {
                    id,
                    kind,
                    node: target.name,
                    sentAt,
                    status: 0,
                    body: "",
                    isWhole: false,
                    signature: undefined,
                };
                this.results.push(result);
                await this.sendCall(result, target, this.openAgent(`${index}/${target.name}`));
            }
            await sleep(pauseMilliseconds);
        }
    }

    private pickTarget(): CallTarget | undefined {
        const inRotation = this.targets.filter(target => target.isInRotation());
        const usesKept = inRotation.length === 0 || this.random.pickFraction() < keptConnectionShare;
        const candidates = usesKept ? this.targets : inRotation;
        return candidates[this.random.pickIndex(candidates.length)];
    }

    private openAgent(key: string): Agent {
        const agent = this.agents.get(key) ?? new Agent({ keepAlive: true, maxSockets: 1 });
        this.agents.set(key, agent);
        return agent;
    }

    private sendCall(result: CallResult, target: CallTarget, agent: Agent): Promise<void> {
        return new Promise(resolve => {
            const request = sendHttpRequest({
                host: "127.0.0.1",
                port: target.getPort(),
                path: `/${result.kind}/1`,
                method: result.kind === CallKind.Lookup ? "GET" : "POST",
                headers: {
                    host: routedNames.host,
                    authorization: `Bearer ${routedNames.key}`,
                    [HeaderNames.attemptId]: result.id,
                    [HeaderNames.deadline]: String(callerPatienceMilliseconds),
                },
                agent,
                signal: AbortSignal.timeout(callerPatienceMilliseconds),
            });
            request.once("error", () => resolve());
            request.once("response", answer => {
                result.status = answer.statusCode ?? 0;
                result.signature = answer.headers[HeaderNames.seal] as string | undefined;
                answer.on("data", (chunk: Buffer) => (result.body += chunk.toString()));
                answer.once("error", () => resolve());
                answer.once("close", () => {
                    result.isWhole = answer.complete;
                    resolve();
                });
            });
            request.end(result.kind === CallKind.Lookup ? undefined : "{}");
        });
    }
}
