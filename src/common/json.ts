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

/** Returns every validation issue that a schema reported, each as "path: message". */
export function listIssues(error: z.ZodError): string[] {
    return error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`);
}
