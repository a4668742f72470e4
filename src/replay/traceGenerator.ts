import { v7 } from "uuid";
import { RandomSource, SeededRandom } from "../common/random.js";
import { TraceCall, TraceFault, TraceGeneration, TraceHead, TracePublish } from "./types.js";

type GeneratedLine = Partial<TraceGeneration> | Partial<TraceCall> | Partial<TraceFault> | TracePublish;

/** A kind of request that a site's callers send, and how often. */
interface RequestMix {
    readonly weight: number;
    createLine(at: number, random: RandomSource, index: number): GeneratedLine;
}

/** What a trace is generated from. */
export interface TraceRecipe {
    readonly head: TraceHead;
    readonly seconds: number;
    readonly requestsPerSecond: number;
    readonly mixes: readonly RequestMix[];
    readonly faults: readonly GeneratedLine[];
}

const lookupQuestions = [
    "¿Está mi casco en la lista? Lote",
    "Compré un casco en el mercado de Xela, la cáscara está rajada. ¿Es del lote retirado? Serie",
    "¿La kʼo ri wanima pa ri cholaj? Utzij ri casco, lote",
    "Jas ub'i' ri lote re ri casco ri xnuloq'o? Número",
    "Casco rojo talla M comprado en Petén, ¿está retirado? Código",
];

const noticeRequests = [
    "Redacte un aviso de retiro en español y en k'iche' para las tiendas, con estos lotes:",
    "Chatz'ib'aj jun aviso re ri casco ri man utz taj, pa español xuquje' pa k'iche':",
];

const nameChecks = [
    "O nome 'Estrela do Mar' está livre no registro? Porto",
    "Consulta de nome para embarcação de pesca 'São Pedro', porto de",
    "O barco 'Flor de Itaparica' já está registrado? Inscrição",
];

const surveyRequests = [
    "Resuma o laudo de vistoria do casco para o inspetor, com as pendências e os prazos:",
    "Prepare o resumo da vistoria anual da embarcação, incluindo a medição da espessura do casco:",
];

const demoTokens = (teams: readonly string[]) => Object.fromEntries(teams.map(team => [team, `demo-${team}-token`]));

function createDomains(names: readonly string[], nodes: number, engines: number): TraceHead["domains"] {
    return names.map((name, index) => ({ name, region: "home", nodes, engines, plain: 1, price_per_hour: 1 + index * 0.25 }));
}

function createGenerationMix(
    weight: number,
    service: string,
    team: string,
    texts: readonly string[],
    context: string,
    contextTokens: number,
    promptTokens: readonly [number, number],
    outputTokens: readonly [number, number],
    asyncShare: number,
): RequestMix {
    return {
        weight,
        createLine: (at, random, index) => ({
            at,
            kind: "generation",
            team,
            service,
            prompt: `${texts[random.pickIndex(texts.length)] as string} ${index}`,
            prompt_tokens: promptTokens[0] + random.pickIndex(promptTokens[1] - promptTokens[0] + 1),
            context,
            context_tokens: contextTokens,
            output_tokens: outputTokens[0] + random.pickIndex(outputTokens[1] - outputTokens[0] + 1),
            async: random.pickFraction() < asyncShare,
        }),
    };
}

function createCallMix(weight: number, service: string, team: string, path: string, hasKey: boolean, twiceShare: number): RequestMix {
    return {
        weight,
        createLine: (at, random, index) => ({
            at,
            kind: "call",
            team,
            service,
            path: hasKey ? path : `${path}/${index}`,
            ...(hasKey ? { key: createKey(random), body: { number: index, amount: 100 + random.pickIndex(900) } } : {}),
            ...(random.pickFraction() < twiceShare ? { sends_twice: true } : {}),
        }),
    };
}

/** Creates an idempotency key from the seed. Its random part alone varies, since replay judges keys by equality. */
function createKey(random: RandomSource): string {
    const bytes = Uint8Array.from({ length: 16 }, () => random.pickIndex(256));
    return `key-${v7({ random: bytes, msecs: 0, seq: 0 })}`;
}

/** The recall desk: parents' lookups, notices for shops, vouchers; latency weighs most. */
export function createRecallDeskRecipe(seconds: number, services: string): TraceRecipe {
    return {
        head: {
            kind: "trace",
            format: 1,
            name: "recall-desk",
            services,
            tokens: demoTokens(["desk", "shops"]),
            domains: createDomains(["xela", "peten", "coban"], 3, 3),
            engine_capacity: 16,
            engine_step_milliseconds: 20,
            engine_prefill_tokens_per_millisecond: 10,
        },
        seconds,
        requestsPerSecond: 12,
        mixes: [
            createGenerationMix(60, "lookup", "desk", lookupQuestions, "recall-list", 120, [12, 40], [8, 32], 0),
            createGenerationMix(12, "notice", "desk", noticeRequests, "notice-rules", 300, [120, 500], [60, 160], 0.4),
            createCallMix(12, "list", "desk", "lots", false, 0),
            createCallMix(10, "voucher", "desk", "issue", true, 0.2),
            createCallMix(6, "voucher", "shops", "issue", true, 0.2),
        ],
        faults: createFaults(["xela", "peten", "coban"], "desk", seconds),
    };
}

/** The boat register: name checks, transfers, survey summaries; cost weighs most. */
export function createRegisterRecipe(seconds: number, services: string): TraceRecipe {
    return {
        head: {
            kind: "trace",
            format: 1,
            name: "register",
            services,
            tokens: demoTokens(["register", "ports"]),
            domains: createDomains(["recife", "natal", "salvador"], 3, 4),
            engine_capacity: 16,
            engine_step_milliseconds: 20,
            engine_prefill_tokens_per_millisecond: 10,
        },
        seconds,
        requestsPerSecond: 10,
        mixes: [
            createGenerationMix(45, "name-check", "ports", nameChecks, "register-rules", 120, [10, 30], [6, 20], 0),
            createGenerationMix(18, "survey", "register", surveyRequests, "survey-form", 400, [200, 700], [100, 240], 0.5),
            createCallMix(15, "records", "ports", "hulls", false, 0),
            createCallMix(22, "transfer", "register", "owners", true, 0.2),
        ],
        faults: createFaults(["recife", "natal", "salvador"], "register", seconds),
    };
}

/** One of each kind of fault, spread over the trace; some overlap. */
function createFaults(domains: readonly string[], team: string, seconds: number): GeneratedLine[] {
    const at = (share: number) => Math.round(seconds * share * 100) / 100;
    const [first, second, third] = domains as [string, string, string];
    const fault = (
        share: number,
        kind: string,
        values: Record<string, unknown>,
    ) => ({ at: at(share), kind: "fault", fault: kind, ...values } as GeneratedLine);
    return [
        { at: at(0.05), kind: "publish", team },
        { at: at(0.35), kind: "publish", team },
        { at: at(0.52), kind: "publish", team },
        { at: at(0.9), kind: "publish", team },
        fault(0.08, "reclaim-endpoint", { domain: first, index: 0, notice_seconds: 2 }),
        fault(0.15, "effect-fault", { effect_fault: "reset-after-effect" }),
        fault(0.2, "silence-endpoint", { domain: second, index: 0 }),
        fault(0.25, "lost-answers", { share: 0.3, seconds: 2 }),
        fault(0.3, "stop-node", { domain: first, index: 0 }),
        fault(0.38, "platform-outage", { seconds: 2 }),
        fault(0.45, "effect-fault", { effect_fault: "half-answer" }),
        fault(0.5, "partition", { domain: first, other_domain: second, seconds: 3 }),
        fault(0.55, "kill-endpoint", { domain: second, index: 1 }),
        fault(0.6, "effect-fault", { effect_fault: "reset-before-effect" }),
        fault(0.65, "cut-from-platform", { domain: third, seconds: 3 }),
        fault(0.7, "silence-platform", {}),
        fault(0.78, "reclaim-domain", { domain: third, notice_seconds: 2 }),
        fault(0.85, "effect-fault", { effect_fault: "refuse-leaving" }),
    ];
}

/** Generates the text of a trace from a recipe; the same seed gives the same text. */
export function generateTrace(recipe: TraceRecipe, seed: number): string {
    const random = SeededRandom.create(seed);
    const lines: GeneratedLine[] = [...recipe.faults];
    let at = 0;
    let index = 0;
    for (;;) {
        at += -Math.log(1 - random.pickFraction()) / recipe.requestsPerSecond;
        if (at >= recipe.seconds) {
            break;
        }
        index += 1;
        lines.push(pickMix(recipe.mixes, random).createLine(Math.round(at * 1_000) / 1_000, random, index));
    }
    const killer = recipe.mixes[0]?.createLine(recipe.seconds * 0.33, random, index + 1) as Partial<TraceGeneration>;
    lines.push({ ...killer, kills_endpoints: true, resends: 3 });
    lines.sort((left, right) => (left.at ?? 0) - (right.at ?? 0));
    return [recipe.head, ...lines].map(line => `${JSON.stringify(line)}\n`).join("");
}

function pickMix(mixes: readonly RequestMix[], random: RandomSource): RequestMix {
    const total = mixes.reduce((sum, mix) => sum + mix.weight, 0);
    let left = random.pickFraction() * total;
    for (const mix of mixes) {
        left -= mix.weight;
        if (left < 0) {
            return mix;
        }
    }
    return mixes[0] as RequestMix;
}
