import { z } from "zod";

/** Parses JSON that comes from outside; undefined when it is none, which every schema refuses. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Returns every fault that a schema found, each with its place. */
export function listIssues(error: z.ZodError): string[] {
    return error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`);
}
