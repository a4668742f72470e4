import { z } from "zod";

/** Parses external JSON; returns undefined when the text is not valid JSON, and the schemas reject undefined. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** A name of a service, team or failure domain: text without control characters or broken characters, which messages can carry. */
export const nameSchema = z.string().regex(/^[^\p{Cc}\p{Cs}]{1,200}$/u);

/** Returns every validation issue that a schema reported, each as "path: message". */
export function listIssues(error: z.ZodError): string[] {
    return error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`);
}

/** Deepest nesting of a value that is stored or sent on: the runtime writes JSON by recursion, which a deeper value would exhaust. */
const maximumNesting = 100;

/** Returns whether a parsed JSON value is nested more deeply than any valid one. */
export function isNestedTooDeeply(value: unknown): boolean {
    let level: unknown[] = [value];
    for (let depth = 0; depth <= maximumNesting; depth += 1) {
        level = level.flatMap(item => (item instanceof Object ? Object.values(item) : [])).filter(item => item instanceof Object);
        if (level.length === 0) {
            return false;
        }
    }
    return true;
}
