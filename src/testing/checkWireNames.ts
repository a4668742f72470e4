import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { FieldNames, HeaderNames, Paths, StoreQuery } from "../../platform/wire.js";

/** Folders whose code may speak the platform's protocol besides the adapter: stand-ins and what tests share. */
const exemptFolders = ["src/standins", "src/testing", "src/generated"];
/** Wire names that are ordinary words or standard terms, which the product may use for itself. */
const commonWords = new Set(["hold", "watch", "/usage"]);

/** Prints each place of the product where a name of the platform's wire stands as a literal; returns their number. */
export function checkWireNames(root: string): number {
    const names = [...Object.values(HeaderNames), ...Object.values(Paths), ...Object.values(StoreQuery), ...FieldNames];
    const checked = names.filter(name => !commonWords.has(name));
    let faults = 0;
    for (const file of listSourceFiles(join(root, "src"), "src")) {
        const lines = readFileSync(join(root, file), "utf8").split("\n");
        lines.forEach((line, index) => {
            for (const name of checked.filter(candidate => hasLiteral(line, candidate))) {
                process.stderr.write(`${file}:${index + 1} - the platform's name '${name}' belongs in platform/\n`);
                faults += 1;
            }
        });
    }
    return faults;
}

function hasLiteral(line: string, name: string): boolean {
    return ["\"", "'", "`"].some(quote => line.includes(`${quote}${name}${quote}`));
}

function listSourceFiles(directory: string, relative: string): string[] {
    if (exemptFolders.includes(relative)) {
        return [];
    }
    return readdirSync(directory, { withFileTypes: true }).flatMap(entry => {
        const path = `${relative}/${entry.name}`;
        if (entry.isDirectory()) {
            return listSourceFiles(join(directory, entry.name), path);
        }
        return entry.name.endsWith(".ts") && !entry.name.endsWith(".test.ts") ? [path] : [];
    });
}

if (process.argv[1]?.endsWith("checkWireNames.js") === true) {
    process.exitCode = checkWireNames(process.cwd()) === 0 ? 0 : 1;
}
