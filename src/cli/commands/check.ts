import { Args } from "@oclif/core";
import { createDiagnostic, Diagnostics, formatDiagnostic } from "../../common/diagnostics.js";
import { readServiceFiles, ServiceFileSet } from "../../config/serviceFiles.js";
import { BaseCommand } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";

/** Reads and checks service files. */
export abstract class ServiceFilesCommand extends BaseCommand {
    /** Returns the checked files, or ends the command with every fault. */
    protected readFiles(directories: readonly string[]): ServiceFileSet {
        const set = readServiceFiles(directories, Date.now());
        if (set.err) {
            this.failWith(ExitCode.BadInput, set.val);
        }
        this.printDiagnostics(set.val.warnings);
        return set.val;
    }
}

/** `corianderward check`. */
export class CheckCommand extends ServiceFilesCommand {
    static override description = "Checks service files without publishing them.";
    static override examples = ["<%= config.bin %> check services", "<%= config.bin %> check recalls/ vouchers/ --json"];
    static override strict = false;
    static override args = { directory: Args.string({ description: "directories with service files (*.ini)", required: true }) };

    async run(): Promise<unknown> {
        const { argv } = await this.parse(CheckCommand);
        const set = this.readFiles(argv as string[]);
        const services = set.teams.reduce((count, team) => count + team.services.length, 0);
        this.log(formatDiagnostic(createDiagnostic(Diagnostics.Checked_0_services_of_1_teams, services, set.teams.length)));
        return { services, teams: set.teams.length, warnings: set.warnings.map(formatDiagnostic) };
    }
}
