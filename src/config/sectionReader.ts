import { distance } from "fastest-levenshtein";
import { isIP } from "node:net";
import { createFileDiagnostic, Diagnostic, DiagnosticMessage, Diagnostics } from "../common/diagnostics.js";
import { IniDocument, IniSection } from "./iniDocument.js";
import { NetworkAddress } from "./types.js";

/** Highest port number. */
export const maximumPort = 65_535;
const portPattern = /^\d{1,5}$/;

/**
 * Reads typed values from a section of an INI file. Faults are collected instead of thrown, so that a file is checked whole;
 * after a fault the read method returns a placeholder, which must not be used.
 */
export class SectionReader {
    /** Keys that a read method has requested, whether or not the section has them. */
    private readonly knownKeys = new Set<string>();

    private constructor(private readonly document: IniDocument, readonly section: IniSection, private readonly faults: Diagnostic[]) {}

    static create(document: IniDocument, section: IniSection, faults: Diagnostic[]): SectionReader {
        return new SectionReader(document, section, faults);
    }

    /** Returns a text that matches a pattern. A key without a fallback is required. */
    readText(key: string, allowed: string, pattern: RegExp, fallback?: string): string {
        return this.readValue(key, allowed, fallback, text => (pattern.test(text) ? text : undefined)) ?? "";
    }

    /** Returns the unchecked text of a key, or undefined when the key is absent. */
    readOptionalText(key: string): string | undefined {
        this.knownKeys.add(key);
        return this.section.entries.get(key)?.values[0];
    }

    /** Returns a number from the minimum to the maximum, both inclusive. */
    readNumber(key: string, minimum: number, maximum: number, fallback?: number): number {
        const allowed = `a number from ${minimum} to ${maximum}`;
        return this.readValue(key, allowed, fallback, text => {
            const value = Number(text);
            const isInRange = text !== "" && Number.isFinite(value) && value >= minimum && value <= maximum;
            return isInRange ? value : undefined;
        }) ?? minimum;
    }

    /** Returns a number from the minimum to the maximum, both inclusive, or the fallback when the key is absent or empty. */
    readOptionalNumber(key: string, minimum: number, maximum: number, fallback: number): number {
        return this.readOptionalText(key)?.trim() === "" ? fallback : this.readNumber(key, minimum, maximum, fallback);
    }

    /** Returns every key of the section with its first value; all of them count as known. */
    listTexts(): [key: string, text: string][] {
        return [...this.section.entries.keys()].map(key => [key, this.readOptionalText(key) ?? ""]);
    }

    /** Returns a whole number from the minimum to the maximum, both inclusive. */
    readInteger(key: string, minimum: number, maximum: number, fallback?: number): number {
        const allowed = `a whole number from ${minimum} to ${maximum}`;
        return this.readValue(key, allowed, fallback, text => {
            const value = Number(text);
            const isInRange = text !== "" && Number.isInteger(value) && value >= minimum && value <= maximum;
            return isInRange ? value : undefined;
        }) ?? minimum;
    }

    /** Returns true for `yes` or `true`, and false for `no` or `false`. */
    readFlag(key: string, fallback?: boolean): boolean {
        return this.readValue(key, "yes or no", fallback, text => {
            if (text === "yes" || text === "true") {
                return true;
            }
            return text === "no" || text === "false" ? false : undefined;
        }) ?? false;
    }

    /** Returns the enum member whose value is the text of the key. */
    readEnum<T extends string>(key: string, values: Record<string, T>, fallback?: T): T {
        const names = Object.values(values);
        const value = this.readValue(key, names.join(", "), fallback, text => names.find(name => name === text));
        return value ?? names[0] as T;
    }

    /** Returns the values of a list key, written `key[] = value`; the list is empty when the key is absent. */
    readList(key: string, allowed: string, pattern: RegExp): string[] {
        this.knownKeys.add(key);
        const entry = this.section.entries.get(key);
        const values = entry?.values ?? [];
        for (const value of values) {
            if (!pattern.test(value)) {
                this.addFault(key, Diagnostics.Value_0_of_key_1_is_not_allowed_2, value, key, allowed);
            }
        }
        return [...values];
    }

    /** Returns an address, written as an IP number and a port. The key is required. */
    readAddress(key: string): NetworkAddress {
        const value = this.readValue<NetworkAddress>(key, "an IP number and a port, such as 10.0.0.1:8080", undefined, parseAddress);
        return value ?? { host: "", port: 0 };
    }

    /** Returns an http or https URL whose host is an IP number, without a trailing slash. The key is required. */
    readUrl(key: string): string {
        return this.readValue(key, "an http or https URL whose host is an IP number", undefined, parseUrl) ?? "";
    }

    /** Returns an http or https URL whose host is an IP number, or undefined when the key is absent. */
    readOptionalUrl(key: string): string | undefined {
        if (!this.section.entries.has(key)) {
            this.knownKeys.add(key);
            return undefined;
        }
        return this.readUrl(key);
    }

    /**
     * Returns the converted value of a key, or the fallback when the key is absent. An absent key without a fallback and a text
     * that `parse` returns undefined for are faults; the result is then undefined.
     */
    readValue<T>(key: string, allowed: string, fallback: T | undefined, parse: (text: string) => T | undefined): T | undefined {
        this.knownKeys.add(key);
        const entry = this.section.entries.get(key);
        if (entry === undefined) {
            if (fallback === undefined) {
                this.addFault(key, Diagnostics.Key_0_in_section_1_is_missing_allowed_2, key, this.section.name, allowed);
            }
            return fallback;
        }
        const text = entry.values[0] as string;
        const value = parse(text);
        if (value === undefined) {
            this.addFault(key, Diagnostics.Value_0_of_key_1_is_not_allowed_2, text, key, allowed);
        }
        return value;
    }

    /** Records a fault at the line of a key, or at the line of the section when the key is absent. */
    addFault(key: string, message: DiagnosticMessage, ...values: (string | number)[]): void {
        const line = this.section.entries.get(key)?.line ?? this.section.line;
        this.faults.push(createFileDiagnostic(this.document.file, line, message, ...values));
    }

    /** Records a fault for each key that no read method has requested, with the most similar valid key. Call after the last read. */
    checkUnknownKeys(): void {
        for (const key of this.section.entries.keys()) {
            if (!this.knownKeys.has(key)) {
                const nearest = findNearestName(key, [...this.knownKeys]);
                this.addFault(key, Diagnostics.Unknown_key_0_in_section_1_did_you_mean_2, key, this.section.name, nearest);
            }
        }
    }
}

/** Creates the diagnostic of an unknown section, which suggests the most similar of the valid forms, such as `route.NAME`. */
export function createUnknownSection(document: IniDocument, section: IniSection, forms: readonly string[]): Diagnostic {
    const nearest = findNearestName(section.name, forms);
    return createFileDiagnostic(document.file, section.line, Diagnostics.Unknown_section_0_did_you_mean_1, section.name, nearest);
}

/** Returns the candidate with the smallest edit distance to a name, or an empty text when there are no candidates. */
export function findNearestName(name: string, candidates: readonly string[]): string {
    let nearest = candidates[0] ?? "";
    for (const candidate of candidates) {
        if (distance(name, candidate) < distance(name, nearest)) {
            nearest = candidate;
        }
    }
    return nearest;
}

/** Parses an IP number and a port; an IPv6 number stands in brackets. Returns undefined for any other text. */
export function parseAddress(text: string): NetworkAddress | undefined {
    const separator = text.lastIndexOf(":");
    const host = text.slice(0, separator).replace(/^\[(.*)\]$/, "$1");
    const portText = text.slice(separator + 1);
    const port = Number(portText);
    if (separator < 0 || isIP(host) === 0 || !portPattern.test(portText) || port > maximumPort) {
        return undefined;
    }
    return { host, port };
}

/** Formats an address as text, with brackets around an IPv6 number. */
export function formatAddress(address: NetworkAddress): string {
    const host = isIP(address.host) === 6 ? `[${address.host}]` : address.host;
    return `${host}:${address.port}`;
}

function parseUrl(text: string): string | undefined {
    if (!URL.canParse(text)) {
        return undefined;
    }
    const url = new URL(text);
    const isHttp = url.protocol === "http:" || url.protocol === "https:";
    const host = url.hostname.replace(/^\[(.*)\]$/, "$1");
    if (!isHttp || isIP(host) === 0) {
        return undefined;
    }
    return text.replace(/\/$/, "");
}
