import { Args } from "@oclif/core";
import { createDiagnostic, Diagnostics, formatDiagnostic } from "../../common/diagnostics.js";
import { readRouteFile, RouteDeclaration } from "../../config/routeFiles.js";
import { BaseCommand, platformFlags } from "../baseCommand.js";
import { ExitCode } from "../exitCodes.js";
import { RoutePublisher } from "../routePublisher.js";

const fileArgument = { file: Args.string({ description: "route file (*.ini)", required: true }) };

/** Reads and checks a route file. */
abstract class RoutesCommand extends BaseCommand {
    /** Returns what the file declares, or ends the command with every fault. */
    protected readFile(file: string): RouteDeclaration {
        const declaration = readRouteFile(file);
        if (declaration.err) {
            this.failWith(ExitCode.BadInput, declaration.val);
        }
        return declaration.val;
    }
}

/** `corianderward routes check`. */
export class RoutesCheckCommand extends RoutesCommand {
    static override description = "Checks a route file without publishing it.";
    static override examples = ["<%= config.bin %> routes check examples/recall-desk/routes.ini"];
    static override args = fileArgument;

    async run(): Promise<unknown> {
        const { args } = await this.parse(RoutesCheckCommand);
        const { routes, services, teams } = this.readFile(args.file);
        const counts = { routes: routes.length, services: services.length, teams: teams.length };
        this.log(formatDiagnostic(createDiagnostic(Diagnostics.Checked_0_routes_to_1_services, counts.routes, counts.services)));
        return counts;
    }
}

/** `corianderward routes publish`. */
export class RoutesPublishCommand extends RoutesCommand {
    static override description = "Checks a route file and publishes it to the gateways under the next version.";
    static override examples = ["<%= config.bin %> routes publish examples/recall-desk/routes.ini"];
    static override args = fileArgument;
    static override flags = platformFlags;

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(RoutesPublishCommand);
        const declaration = this.readFile(args.file);
        const published = await RoutePublisher.create(this.createObjectStore(flags)).publishRoutes(declaration);
        if (published.err) {
            this.failWith(published.val.exitCode, [published.val.diagnostic]);
        }
        const message = published.val.changed ? Diagnostics.Published_routes_as_version_0 : Diagnostics.Routes_are_unchanged_at_version_0;
        this.log(formatDiagnostic(createDiagnostic(message, published.val.version)));
        return published.val;
    }
}
