import { RandomSource } from "../common/random.js";
import { Route, RouteConfiguration, RoutedTeam } from "./types.js";

/** One version of the configuration, indexed for lookups on each request. */
export class RouteTable {
    private readonly routesByHost = new Map<string, Map<string, Route>>();
    private readonly teamsByKey = new Map<string, RoutedTeam>();
    private readonly teamsByName = new Map<string, RoutedTeam>();

    private constructor(readonly configuration: RouteConfiguration) {
        for (const route of configuration.routes) {
            const prefixes = this.routesByHost.get(route.host) ?? new Map<string, Route>();
            prefixes.set(route.pathPrefix, route);
            this.routesByHost.set(route.host, prefixes);
        }
        for (const team of configuration.teams) {
            this.teamsByName.set(team.name, team);
            team.keys.forEach(key => this.teamsByKey.set(key, team));
        }
    }

    static create(configuration: RouteConfiguration): RouteTable {
        return new RouteTable(configuration);
    }

    /** Returns the host's route with the longest path prefix that matches the request target; undefined if none matches. */
    findRoute(host: string, target: string): Route | undefined {
        const prefixes = this.routesByHost.get(host);
        if (prefixes === undefined) {
            return undefined;
        }
        const queryStart = target.indexOf("?");
        const path = queryStart < 0 ? target : target.slice(0, queryStart);
        let end = path.lastIndexOf("/");
        while (end >= 0) {
            const route = prefixes.get(path.slice(0, end + 1));
            if (route !== undefined) {
                return route;
            }
            end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
        }
        return undefined;
    }

    findTeamByKey(key: string): RoutedTeam | undefined {
        return this.teamsByKey.get(key);
    }

    findTeam(name: string): RoutedTeam | undefined {
        return this.teamsByName.get(name);
    }

    hasTeams(): boolean {
        return this.configuration.teams.length > 0;
    }
}

/** Picks the service for one request of a route at random, in proportion to the weights. */
export function pickService(route: Route, random: RandomSource): string {
    const first = route.shares[0];
    if (first !== undefined && route.shares.length === 1) {
        return first.service;
    }
    const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
    let remainingWeight = random.pickFraction() * total;
    for (const share of route.shares) {
        remainingWeight -= share.weight;
        if (remainingWeight < 0) {
            return share.service;
        }
    }
    return route.shares[route.shares.length - 1]?.service ?? "";
}
