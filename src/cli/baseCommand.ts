import { Command, Flags, ux } from "@oclif/core";
import Table from "cli-table3";
import { existsSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import { createDiagnostic, Diagnostic, DiagnosticCategory, Diagnostics, formatDiagnostic } from "../common/diagnostics.js";
import { describeError } from "../common/failure.js";
import { Metrics } from "../common/metrics.js";
import { HttpObjectStore } from "../provider/httpObjectStore.js";
import { ExitCode } from "./exitCodes.js";
import { OperatorClient } from "./operatorClient.js";

const platformTimeoutMilliseconds = 5_000;

/** Flags of commands that ask a node. */
export const operatorFlags = {
    node: Flags.string({
        char: "n",
        description: "URL of a node's operator listener",
        env: "CORIANDERWARD_NODE",
        default: "http://127.0.0.1:7102",
    }),
    "token-file": Flags.string({ description: "file with the operator token; CORIANDERWARD_OPERATOR_TOKEN holds the token itself" }),
};

/** Flags of commands that write to the platform. */
export const platformFlags = {
    platform: Flags.string({
        char: "p",
        description: "URL of the platform's object API",
        env: "CORIANDERWARD_PLATFORM",
        default: "http://127.0.0.1:7400/as/operator",
    }),
    "platform-token-file": Flags.string({ description: "file with the platform token" }),
};

/** What every command shares: diagnostics, tables, exit codes, JSON. */
export abstract class BaseCommand extends Command {
    static override enableJsonFlag = true;
    private failure: unknown;

    /** Prints diagnostics to standard error, errors in red on a terminal. */
    protected printDiagnostics(diagnostics: readonly Diagnostic[]): void {
        for (const diagnostic of diagnostics) {
            const text = formatDiagnostic(diagnostic);
            const isRed = diagnostic.message.category === DiagnosticCategory.Error && process.stderr.isTTY;
            this.logToStderr(isRed ? ux.colorize("red", text) : text);
        }
    }

    /** Ends the command with diagnostics and an exit code. */
    protected failWith(code: ExitCode, diagnostics: readonly Diagnostic[]): never {
        const errors = diagnostics.map(diagnostic => ({
            code: `CW${diagnostic.message.code}`,
            text: diagnostic.text,
            file: diagnostic.file,
            line: diagnostic.line,
        }));
        if (!this.jsonEnabled()) {
            this.printDiagnostics(diagnostics);
        }
        return this.endWith(code, { errors });
    }

    /** Ends the command with an exit code; with --json, prints a value first. */
    protected endWith(code: ExitCode, value: unknown): never {
        this.failure = value;
        process.exitCode = code;
        this.exit(code);
    }

    protected override toErrorJson(error: unknown): unknown {
        return this.failure ?? super.toErrorJson(error);
    }

    /** Prints a table for people. */
    protected printTable(head: readonly string[], rows: readonly (readonly string[])[]): void {
        const style = process.stdout.isTTY ? { head: ["bold"], border: ["grey"] } : { head: [], border: [] };
        const table = new Table({ head: [...head], style, chars: { "mid": "", "left-mid": "", "mid-mid": "", "right-mid": "" } });
        rows.forEach(row => table.push([...row]));
        this.log(table.toString());
    }

    /** Reads a file; ends the command if it cannot be read. */
    protected readInput(file: string): string {
        try {
            return readFileSync(file, "utf8");
        }
        catch (error) {
            return this.failWith(ExitCode.BadInput, [createDiagnostic(Diagnostics.File_0_cannot_be_read_1, file, describeError(error))]);
        }
    }

    /** Creates a directory with its parents; ends the command if it cannot be created. */
    protected createDirectory(directory: string): void {
        this.runWrite(directory, () => {
            // The runtime's recursive form never returns for a file system that refuses directories, such as /proc.
            const missing: string[] = [];
            for (let parent = resolve(directory); !existsSync(parent); parent = dirname(parent)) {
                missing.unshift(parent);
            }
            missing.forEach(parent => mkdirSync(parent));
        });
    }

    /** Writes a file; ends the command if it cannot be written. */
    protected writeOutput(file: string, text: string, mode?: number): void {
        this.runWrite(file, () => writeFileSync(file, text, { mode }));
    }

    private runWrite(file: string, write: () => void): void {
        try {
            write();
        }
        catch (error) {
            this.failWith(ExitCode.BadInput, [createDiagnostic(Diagnostics.File_0_cannot_be_written_1, file, describeError(error))]);
        }
    }

    /** Shows on standard error that something goes on, for work that may take more than a moment. */
    protected startProgress(text: string): void {
        if (!this.jsonEnabled()) {
            ux.action.start(text);
        }
    }

    protected endProgress(text: string): void {
        if (!this.jsonEnabled()) {
            ux.action.stop(text);
        }
    }

    /** Creates the client of a node from the operator flags. */
    protected createOperatorClient(flags: { readonly node: string; readonly "token-file"?: string; }): OperatorClient {
        const fromFile = flags["token-file"] === undefined ? undefined : this.readInput(flags["token-file"]).trim();
        return OperatorClient.create(flags.node, fromFile ?? process.env["CORIANDERWARD_OPERATOR_TOKEN"]);
    }

    /** Creates the client of the platform from the platform flags. */
    protected createObjectStore(flags: { readonly platform: string; readonly "platform-token-file"?: string; }): HttpObjectStore {
        const token = flags["platform-token-file"] === undefined ? undefined : this.readInput(flags["platform-token-file"]).trim();
        return HttpObjectStore.create(
            { url: flags.platform, token, timeout: platformTimeoutMilliseconds, watchSilence: platformTimeoutMilliseconds },
            Metrics.create(),
        );
    }
}
