import { isUtf8 } from "node:buffer";
import { readFileSync } from "node:fs";
import { z } from "zod";
import { createFileDiagnostic, Diagnostic, Diagnostics } from "../common/diagnostics.js";
import { describeError } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";
import { Trace, TraceHead, traceHeadSchema, TraceLine, traceLineSchema } from "./types.js";

/** Most faults that are reported of one trace. */
const faultLimit = 20;

/** Reads a trace; every line that cannot be read is reported with its number. */
export function readTrace(file: string): Result<Trace, Diagnostic[]> {
    let bytes: Buffer;
    try {
        bytes = readFileSync(file);
    }
    catch (error) {
        return Err([createFileDiagnostic(file, undefined, Diagnostics.File_0_cannot_be_read_1, file, describeError(error))]);
    }
    if (!isUtf8(bytes)) {
        return Err([createFileDiagnostic(file, undefined, Diagnostics.File_0_is_not_valid_UTF_8, file)]);
    }
    return parseTrace(file, bytes.toString("utf8"));
}

/** Parses the text of a trace. */
export function parseTrace(file: string, text: string): Result<Trace, Diagnostic[]> {
    const faults: Diagnostic[] = [];
    const lines: TraceLine[] = [];
    let head: TraceHead | undefined;
    for (const [index, content] of text.split("\n").entries()) {
        if (content.trim() === "" || faults.length >= faultLimit) {
            continue;
        }
        if (head === undefined) {
            head = parseLine(content, index + 1, traceHeadSchema);
            if (head === undefined) {
                return Err(faults);
            }
            continue;
        }
        const line = parseLine(content, index + 1, traceLineSchema);
        if (line !== undefined) {
            lines.push(line);
        }
    }
    if (head === undefined) {
        faults.push(createFileDiagnostic(file, 1, Diagnostics.Trace_line_cannot_be_read_0, "the trace is empty"));
    }
    if (head === undefined || faults.length > 0) {
        return Err(faults);
    }
    lines.sort((left, right) => left.at - right.at);
    return Ok({ file, head, lines });

    function parseLine<T>(content: string, line: number, schema: z.ZodType<T>): T | undefined {
        let value: unknown;
        try {
            value = JSON.parse(content);
        }
        catch (error) {
            faults.push(createFileDiagnostic(file, line, Diagnostics.Trace_line_cannot_be_read_0, describeError(error)));
            return undefined;
        }
        const parsed = schema.safeParse(value);
        if (!parsed.success) {
            const issue = parsed.error.issues[0];
            const place = issue === undefined || issue.path.length === 0 ? "" : `${issue.path.join(".")}: `;
            faults.push(
                createFileDiagnostic(file, line, Diagnostics.Trace_line_cannot_be_read_0, `${place}${issue?.message ?? "not valid"}`),
            );
            return undefined;
        }
        return parsed.data;
    }
}
