import { Command, Flags } from "@oclif/core";
import { waitForStopSignal } from "../common/stopSignal.js";
import { formatAddress } from "../config/sectionReader.js";
import { StandInEngine } from "./engine.js";
import { CacheExchange } from "./engineTypes.js";
import { StandInPlainService } from "./plainService.js";
import { StandInHost, StandInPlatform } from "./platform.js";

const host = "127.0.0.1";
const engineOffset = 10;
const plainOffset = 40;

/** Runs a stand-in platform, engines and plain services for trying real daemons. */
class StandInsCommand extends Command {
    static override description = "Runs stand-ins of the platform, of model engines and of plain services on loopback addresses.";
    static override flags = {
        port: Flags.integer({ description: "port of the platform; the endpoints get the ports after it", default: 7400 }),
        domains: Flags.string({ description: "failure domains, separated by commas", default: "xela,peten,coban" }),
        engines: Flags.integer({ description: "engines for each failure domain", default: 2 }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(StandInsCommand);
        const platform = StandInPlatform.create();
        await platform.start(host, flags.port);
        const exchange = CacheExchange.create();
        const domains = flags.domains.split(",");
        for (const [domainIndex, domain] of domains.entries()) {
            for (let index = 0; index < flags.engines; index += 1) {
                const name = `engine-${domain}-${index + 1}`;
                const engine = StandInEngine.create({ name, models: ["notice-1", "notice-2"] }, exchange);
                await engine.start(host, flags.port + engineOffset + domainIndex * flags.engines + index);
                platform.hosts.push(createHost(name, domain, "engines", formatAddress(engine.getAddress())));
            }
            const service = StandInPlainService.create(`desk-${domain}`);
            await service.start(host, flags.port + plainOffset + domainIndex);
            platform.hosts.push(createHost(service.name, domain, "desk", formatAddress(service.getAddress())));
        }
        platform.publishHosts();
        this.log(`platform at http://${host}:${flags.port}, ${platform.hosts.length} endpoints`);
        await waitForStopSignal();
        process.exit(0);
    }
}

function createHost(name: string, failureDomain: string, group: string, address: string): StandInHost {
    return { name, role: "endpoint", failure_domain: failureDomain, group, address, state: "live", price_per_hour: 1 };
}

await StandInsCommand.run(process.argv.slice(2), import.meta.url);
