import { parse } from "ini";
import { readFileSync } from "node:fs";
import { createFileDiagnostic, Diagnostic, Diagnostics } from "../common/diagnostics.js";
import { describeError } from "../common/failure.js";
import { Err, Ok, Result } from "../common/results.js";

/** A key of a section with its values and its line; a plain key has one value. */
export interface IniEntry {
    readonly key: string;
    readonly values: readonly string[];
    readonly line: number;
}

/** A section with its keys and the line of its header. */
export interface IniSection {
    readonly name: string;
    readonly line: number;
    readonly entries: Map<string, IniEntry>;
}

/** A parsed INI file. The `ini` library parses the values; this module adds the line numbers, which diagnostics need. */
export interface IniDocument {
    readonly file: string;
    readonly sections: readonly IniSection[];
}

const sectionPattern = /^\[([^\]]+)\]\s*$/;
const keyPattern = /^([^=\s[\]]+)(\[\])?\s*=/;

/** Reads and parses an INI file. Reports a file that cannot be read or is not UTF-8, or else all faults with their lines. */
export function readIniDocument(file: string): Result<IniDocument, Diagnostic[]> {
    let bytes: Buffer;
    try {
        bytes = readFileSync(file);
    }
    catch (error) {
        return Err([createFileDiagnostic(file, undefined, Diagnostics.File_0_cannot_be_read_1, file, describeError(error))]);
    }
    const text = bytes.toString("utf8");
    if (!Buffer.from(text, "utf8").equals(bytes)) {
        return Err([createFileDiagnostic(file, undefined, Diagnostics.File_0_is_not_valid_UTF_8, file)]);
    }
    return parseIniDocument(file, text);
}

/** Parses the text of an INI file; all faults are reported together, each with its line. */
export function parseIniDocument(file: string, text: string): Result<IniDocument, Diagnostic[]> {
    const faults: Diagnostic[] = [];
    const values = parse(text) as Record<string, unknown>;
    const sections = new Map<string, IniSection>();
    let current: IniSection | undefined;

    text.split(/\r?\n/).forEach((rawLine, index) => {
        const line = index + 1;
        const content = rawLine.trim();
        if (content === "" || content.startsWith(";") || content.startsWith("#")) {
            return;
        }
        const header = sectionPattern.exec(content)?.[1];
        if (header !== undefined) {
            current = addSection(header, line);
            return;
        }
        const key = keyPattern.exec(content) ?? undefined;
        if (key === undefined || current === undefined) {
            faults.push(createFileDiagnostic(file, line, Diagnostics.Line_is_not_a_section_or_a_key));
            return;
        }
        addEntry(current, key[1] as string, key[2] !== undefined, line);
    });

    if (faults.length > 0) {
        return Err(faults);
    }
    return Ok({ file, sections: [...sections.values()] });

    function addSection(name: string, line: number): IniSection {
        const existing = sections.get(name);
        if (existing !== undefined) {
            faults.push(createFileDiagnostic(file, line, Diagnostics.Section_0_is_given_twice_first_on_line_1, name, existing.line));
            return existing;
        }
        const section: IniSection = { name, line, entries: new Map() };
        sections.set(name, section);
        return section;
    }

    function addEntry(section: IniSection, key: string, isList: boolean, line: number): void {
        const existing = section.entries.get(key);
        if (existing !== undefined && !isList) {
            faults.push(createFileDiagnostic(file, line, Diagnostics.Key_0_is_given_twice_first_on_line_1, key, existing.line));
            return;
        }
        section.entries.set(key, { key, values: findValues(values, section.name, key), line });
    }
}

/** Returns the values of a key as the `ini` library parsed them; it nests a section with a dotted name such as `a.b`. */
function findValues(values: Record<string, unknown>, sectionName: string, key: string): string[] {
    let section: unknown = values;
    for (const part of sectionName.split(".")) {
        section = (section as Record<string, unknown> | undefined)?.[part];
    }
    const value = (section as Record<string, unknown> | undefined)?.[key];
    if (Array.isArray(value)) {
        return value.map(String);
    }
    return [String(value ?? "")];
}
