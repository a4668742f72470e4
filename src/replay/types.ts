import { z } from "zod";

const seconds = z.number().min(0);

/** Where endpoints of an embedded deployment stand, and how many. */
const domainSchema = z.strictObject({
    name: z.string().min(1),
    region: z.string().default("home"),
    nodes: z.number().int().min(1).max(20),
    engines: z.number().int().min(0).max(50),
    plain: z.number().int().min(0).max(20),
    price_per_hour: z.number().min(0).default(1),
});

/** The first line of a trace: what it needs to run. */
export const traceHeadSchema = z.strictObject({
    kind: z.literal("trace"),
    format: z.literal(1),
    name: z.string().min(1),
    /** Directory with the service files, relative to the trace. */
    services: z.string().min(1),
    /** Bearer tokens of the teams. */
    tokens: z.record(z.string(), z.string()),
    domains: z.array(domainSchema).min(1),
    engine_capacity: z.number().int().min(1).default(16),
    engine_step_milliseconds: z.number().min(1).default(20),
    engine_prefill_tokens_per_millisecond: z.number().positive().default(10),
});

/** A generation in a trace. */
const generationSchema = z.strictObject({
    at: seconds,
    kind: z.literal("generation"),
    team: z.string(),
    service: z.string(),
    prompt: z.string(),
    /** The prompt is lengthened to this many words. */
    prompt_tokens: z.number().int().min(1).optional(),
    /** Name of a text that several prompts begin with, and its words. */
    context: z.string().optional(),
    context_tokens: z.number().int().min(1).optional(),
    output_tokens: z.number().int().min(1),
    stream: z.boolean().default(true),
    async: z.boolean().default(false),
    /** Whether the request ends each endpoint that runs it. */
    kills_endpoints: z.boolean().default(false),
    resends: z.number().int().min(0).max(100).default(0),
});

/** A call of a plain service in a trace. */
const callSchema = z.strictObject({
    at: seconds,
    kind: z.literal("call"),
    team: z.string(),
    service: z.string(),
    path: z.string(),
    key: z.string().optional(),
    body: z.unknown().optional(),
    /** Whether the caller sends the same call a second time, shortly after. */
    sends_twice: z.boolean().default(false),
});

/** What can go wrong in a trace. */
export enum FaultKind {
    ReclaimEndpoint = "reclaim-endpoint",
    ReclaimDomain = "reclaim-domain",
    KillEndpoint = "kill-endpoint",
    StopNode = "stop-node",
    KillNode = "kill-node",
    SilenceEndpoint = "silence-endpoint",
    SilencePlatform = "silence-platform",
    Partition = "partition",
    CutFromPlatform = "cut-from-platform",
    PlatformOutage = "platform-outage",
    SlowPlatform = "slow-platform",
    LostAnswers = "lost-answers",
    BadVersion = "bad-version",
    EffectFault = "effect-fault",
}

/** A fault in a trace. */
const faultSchema = z.strictObject({
    at: seconds,
    kind: z.literal("fault"),
    fault: z.enum(FaultKind),
    domain: z.string().optional(),
    other_domain: z.string().optional(),
    /** Position of the endpoint or node within its domain, from 0. */
    index: z.number().int().min(0).default(0),
    notice_seconds: seconds.default(2),
    seconds: seconds.default(3),
    /** Whether a leaving endpoint also refuses new work itself. */
    endpoint_refuses: z.boolean().default(true),
    share: z.number().min(0).max(1).default(1),
    model: z.string().optional(),
    slow_factor: z.number().min(1).default(1),
    fail_share: z.number().min(0).max(1).default(0),
    effect_fault: z.string().optional(),
});

/** A version move in a trace. */
const moveSchema = z.strictObject({
    at: seconds,
    kind: z.literal("move"),
    service: z.string(),
    to: z.string(),
    deadline_seconds: seconds,
});

/** A publish of a team's configuration with a small change. */
const publishSchema = z.strictObject({
    at: seconds,
    kind: z.literal("publish"),
    team: z.string(),
});

/** Every kind of line after the first. */
export const traceLineSchema = z.discriminatedUnion("kind", [generationSchema, callSchema, faultSchema, moveSchema, publishSchema]);

export type TraceHead = z.infer<typeof traceHeadSchema>;
export type TraceGeneration = z.infer<typeof generationSchema>;
export type TraceCall = z.infer<typeof callSchema>;
export type TraceFault = z.infer<typeof faultSchema>;
export type TraceMove = z.infer<typeof moveSchema>;
export type TracePublish = z.infer<typeof publishSchema>;
export type TraceLine = z.infer<typeof traceLineSchema>;

/** A whole trace. */
export interface Trace {
    readonly file: string;
    readonly head: TraceHead;
    readonly lines: readonly TraceLine[];
}

/** How a request ended, as its caller saw it. */
export enum CallerOutcome {
    /** The whole answer came. */
    Finished = "finished",
    /** The last answer said that the request was not run. */
    RefusedNotRun = "refused-not-run",
    /** The last answer said that the request may have run. */
    ToldMayHaveRun = "told-may-have-run",
    /** An accepted generation ended with a failure. */
    Failed = "failed",
    /** No answer came, or it broke off, and no node could say more. */
    Lost = "lost",
}

/** What the caller of one request saw. Times are in milliseconds. */
export interface CallerRecord {
    readonly service: string;
    readonly team: string;
    readonly key: string | undefined;
    readonly at: number;
    readonly expectedText: string | undefined;
    readonly kills: boolean;
    /** Ids of the answers that said the request was not run. */
    readonly notRunIds: string[];
    /** Answers that refused for now and named a time to come back. */
    refusals: number;
    attempts: number;
    outcome: CallerOutcome;
    text: string;
    status: number;
    wasAccepted: boolean;
    firstToken: number | undefined;
    readonly gaps: number[];
    detail: string;
}
