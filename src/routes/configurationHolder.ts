import { RouteTable } from "./routeTable.js";
import { RouteConfiguration } from "./types.js";

/** Called after a newer configuration came into force. */
export type ConfigurationListener = (table: RouteTable) => void;

/** The configuration in force on a node. The highest version wins, whoever brings it; an older one is never applied. */
export class ConfigurationHolder {
    private table: RouteTable | undefined;
    private readonly listeners: ConfigurationListener[] = [];

    private constructor() {}

    static create(): ConfigurationHolder {
        return new ConfigurationHolder();
    }

    getTable(): RouteTable | undefined {
        return this.table;
    }

    getVersion(): number {
        return this.table?.configuration.version ?? 0;
    }

    addListener(listener: ConfigurationListener): void {
        this.listeners.push(listener);
    }

    /** Puts a configuration in force if it is newer than the present one; says whether it was. */
    applyConfiguration(configuration: RouteConfiguration): boolean {
        if (this.table !== undefined && configuration.version <= this.table.configuration.version) {
            return false;
        }
        const table = RouteTable.create(configuration);
        this.table = table;
        this.listeners.forEach(listener => listener(table));
        return true;
    }
}
