import { createHash } from "node:crypto";

const vocabulary = [
    "el",
    "casco",
    "lote",
    "retirado",
    "no",
    "está",
    "en",
    "la",
    "lista",
    "ri",
    "jun",
    "k'o",
    "pa",
    "tinamit",
    "man",
    "ta",
    "o",
    "barco",
    "registro",
    "proprietário",
    "vistoria",
    "casco",
    "porto",
    "maré",
    "válido",
    "até",
    "nome",
    "número",
    "série",
    "aviso",
    "tienda",
    "utzil",
];

/** Returns the token at an index of the one answer that every sound engine gives to a prompt. */
export function generateToken(seed: Buffer, index: number): string {
    const byte = seed[index % seed.length] as number;
    const mixed = (byte + index * 31 + Math.floor(index / seed.length) * 7) % vocabulary.length;
    return ` ${vocabulary[mixed] as string}`;
}

/** Returns the seed of the answer to a prompt. */
export function createGenerationSeed(prompt: string): Buffer {
    return createHash("sha256").update(prompt).digest();
}

/** Returns the whole answer to a prompt. */
export function generateAnswer(prompt: string, tokenCount: number): string {
    const seed = createGenerationSeed(prompt);
    let answer = "";
    for (let index = 0; index < tokenCount; index += 1) {
        answer += generateToken(seed, index);
    }
    return answer;
}

/** Counts the tokens of a text in the stand-ins' way: one a word. */
export function countTokens(text: string): number {
    return text.split(/\s+/).filter(word => word !== "").length;
}
