import { setTimeout as sleep } from "node:timers/promises";
import { ModelEndpointClient } from "../endpoints/modelEndpoint.js";
import { Keys, replaceBinding } from "../node/keys.js";
import { pickQuantile } from "../replay/report.js";
import { generateAnswer } from "../standins/generation.js";
import { sendCompletion } from "../testing/callers.js";
import { Deployment } from "../testing/deployment.js";
import { Bench, BenchResult } from "./types.js";

const streams = 48;
const tokens = 150;
const runs = 4;
const noticeMilliseconds = 800;
const startMilliseconds = 1_200;

/** How streams are continued in a run. */
enum Continuation {
    CacheExport = "cache_export",
    PromptOnly = "prompt_only",
    Restart = "restart",
}

interface RunResult {
    readonly recomputed: number;
    readonly resumeMilliseconds: readonly number[];
    readonly whole: number;
}

/** What a reclaim costs, by the way in which streams go on. */
export const reclaimBench: Bench = {
    name: "reclaim",
    description: `Reclaims one of three engines under ${streams} streams, ${runs} times for each way of going on.`,
    run: runReclaimBench,
};

async function runReclaimBench(): Promise<BenchResult> {
    const results = new Map<Continuation, RunResult>();
    for (const way of Object.values(Continuation)) {
        results.set(way, await runWay(way));
    }
    const read = (way: Continuation) => results.get(way) as RunResult;
    const restart = Math.max(1, read(Continuation.Restart).recomputed);
    const resume = read(Continuation.CacheExport).resumeMilliseconds;
    return {
        fields: {
            streams: streams * runs,
            whole_answers_share: (read(Continuation.CacheExport).whole + read(Continuation.PromptOnly).whole) / (2 * streams * runs),
            recomputed_tokens_cache_export: read(Continuation.CacheExport).recomputed,
            recomputed_tokens_prompt_only: read(Continuation.PromptOnly).recomputed,
            recomputed_tokens_restart: restart,
            cache_export_to_restart_ratio: read(Continuation.CacheExport).recomputed / restart,
            prompt_only_to_restart_ratio: read(Continuation.PromptOnly).recomputed / restart,
            resumed_token_p50_milliseconds: pickQuantile(resume, 0.5) ?? Infinity,
            resumed_token_p95_milliseconds: pickQuantile(resume, 0.95) ?? Infinity,
        },
        atMost: { cache_export_to_restart_ratio: 0.3, resumed_token_p95_milliseconds: 1_100 },
        atLeast: { whole_answers_share: 1 },
    };
}

async function runWay(way: Continuation): Promise<RunResult> {
    let recomputed = 0;
    let whole = 0;
    const resumeMilliseconds: number[] = [];
    for (let run = 0; run < runs; run += 1) {
        const deployment = await Deployment.create({
            enginesPerDomain: 3,
            plainPerDomain: 0,
            engine: { capacity: 64, stepTime: 15 },
            seed: run + 1,
            customize: container => {
                if (way === Continuation.Restart) {
                    replaceBinding(container, Keys.ModelClient, createRestartingClient(container.get(Keys.ModelClient)));
                }
            },
        });
        deployment.engines.forEach(engine => (engine.canExport = way === Continuation.CacheExport));
        const node = deployment.nodes[0];
        const prompts = Array.from({ length: streams }, (_value, index) => `Lote ${run}-${index} ${"historia ".repeat(60)}`);
        const running = prompts.map(prompt => sendCompletion([deployment.getCallerUrl()], "lookup", prompt, tokens));
        await sleep(startMilliseconds);
        await deployment.removeEngine(deployment.engines[0] as never, noticeMilliseconds);
        const answers = await Promise.all(running);
        whole += answers.filter((answer, index) => answer.text === generateAnswer(prompts[index] as string, tokens)).length;
        // Computed again: what engines read in again after a resume, and what they generated beyond the answers.
        const readAgain = deployment.engines.reduce((sum, engine) => sum + engine.tokensRecomputed, 0);
        const generated = deployment.engines.flatMap(engine => engine.attempts).reduce((sum, attempt) => sum + attempt.emitted, 0);
        recomputed += readAgain + generated - streams * tokens;
        for (const answer of answers) {
            const attempts = node?.container.get(Keys.Table).findExplanation(answer.requestId)?.attempts ?? [];
            const [first, second] = [attempts[0], attempts[1]];
            if (first?.endedAt !== undefined && second !== undefined) {
                const record = deployment.engines.flatMap(engine => engine.attempts).find(attempt =>
                    attempt.attemptId === second.attemptId
                );
                resumeMilliseconds.push((record?.firstTokenAt ?? 0) - first.endedAt);
            }
        }
        await deployment.stop();
    }
    return { recomputed, resumeMilliseconds, whole };
}

/** A client that does what systems without continuation do: begins anew, and drops the tokens already sent. */
function createRestartingClient(inner: ModelEndpointClient): ModelEndpointClient {
    const runGeneration: ModelEndpointClient["runGeneration"] = async (address, attempt, sink, signal) => {
        let skipped = attempt.emittedTokens.length;
        const skippingSink = {
            appendToken: (text: string) => {
                skipped -= 1;
                if (skipped < 0) {
                    sink.appendToken(text);
                }
            },
        };
        const result = await inner.runGeneration(address, { ...attempt, emittedTokens: [], cacheHandle: undefined }, skippingSink, signal);
        return result;
    };
    return Object.assign(Object.create(inner) as ModelEndpointClient, { runGeneration });
}
