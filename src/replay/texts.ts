import { TraceGeneration } from "./types.js";

const words = [
    "lote",
    "casco",
    "serie",
    "año",
    "color",
    "tienda",
    "caja",
    "hoja",
    "sello",
    "fecha",
    "barco",
    "casa",
    "pa",
    "ri",
    "jun",
    "k'o",
];

/** Returns a text of a number of words that a name fixes. */
export function createNamedText(name: string, wordCount: number): string {
    const result: string[] = [name];
    for (let index = 1; index < wordCount; index += 1) {
        result.push(`${words[(index * 7 + name.length) % words.length] as string}${index % 97}`);
    }
    return result.join(" ");
}

/** Returns the whole prompt of a generation: its context, its own text, and the words that fill it up. */
export function createPrompt(line: TraceGeneration, killerText: string): string {
    const context = line.context === undefined ? "" : `${createNamedText(line.context, line.context_tokens ?? 1)} `;
    const own = line.prompt.split(/\s+/).length;
    const filling = line.prompt_tokens === undefined || line.prompt_tokens <= own
        ? ""
        : ` ${createNamedText(line.prompt, line.prompt_tokens - own)}`;
    return context + line.prompt + filling + (line.kills_endpoints ? ` ${killerText}` : "");
}
