/** Parses JSON that comes from outside; undefined when it is none, which every schema refuses. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
