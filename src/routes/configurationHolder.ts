import { RouteTable } from "./routeTable.js";
import { RouteConfiguration, RoutedService } from "./types.js";

/** Called after a newer configuration has been applied. */
export type ConfigurationListener = (table: RouteTable) => void;

/**
 * Holds the configuration in force on a node. The highest version wins, whether it comes from the store or a peer; an older
 * one is never applied.
 */
export class ConfigurationHolder {
    private table: RouteTable | undefined;
    private readonly servicesByName = new Map<string, RoutedService>();
    private readonly listeners: ConfigurationListener[] = [];

    private constructor() {}

    static create(): ConfigurationHolder {
        return new ConfigurationHolder();
    }

    /** Returns the table of the configuration in force; undefined before the first one. */
    getTable(): RouteTable | undefined {
        return this.table;
    }

    /** Returns the version in force; 0 before the first one. */
    getVersion(): number {
        return this.table?.configuration.version ?? 0;
    }

    /** Returns a service by the newest configuration that declares it: requests that arrived before its removal still run there. */
    findService(name: string): RoutedService | undefined {
        return this.servicesByName.get(name);
    }

    addListener(listener: ConfigurationListener): void {
        this.listeners.push(listener);
    }

    /** Applies a configuration if its version is newer than the one in force; returns whether it was applied. */
    applyConfiguration(configuration: RouteConfiguration): boolean {
        if (this.table !== undefined && configuration.version <= this.table.configuration.version) {
            return false;
        }
        const table = RouteTable.create(configuration);
        this.table = table;
        configuration.services.forEach(service => this.servicesByName.set(service.name, service));
        this.listeners.forEach(listener => listener(table));
        return true;
    }
}
