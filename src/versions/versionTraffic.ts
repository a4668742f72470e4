import { RandomSource } from "../common/random.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { EndpointGroupSource } from "../placement/endpointChooser.js";
import { PlacementQuery } from "../placement/types.js";
import { MoveStage } from "./types.js";
import { VersionMove, VersionMoves } from "./versionMoves.js";

/** Selects the endpoints that may serve a request by their version, while its service is moved to another version. */
export class VersionTraffic implements EndpointGroupSource {
    private constructor(
        private readonly moves: VersionMoves,
        private readonly random: RandomSource,
        private readonly trialShare: number,
    ) {}

    /** The trial share, from 0 to 1, is the fraction of a service's requests that the new version gets in the trial stage. */
    static create(moves: VersionMoves, random: RandomSource, trialShare: number): VersionTraffic {
        return new VersionTraffic(moves, random, trialShare);
    }

    /** Returns groups of endpoints in order of preference; endpoints in no group must not get the request. */
    listGroups(query: PlacementQuery, endpoints: readonly FleetEndpoint[]): (readonly FleetEndpoint[])[] {
        const move = this.moves.findMove(query.service);
        if (move === undefined) {
            return [endpoints];
        }
        const [newer, older] = listSides(move, endpoints);
        switch (this.moves.getStage(move)) {
            case MoveStage.Trial:
                return this.listTrialGroups(query, newer, older);
            case MoveStage.LongStreams:
                return query.isNonResumableStream ? [newer, older] : this.listTrialGroups(query, newer, older);
            case MoveStage.All:
            case MoveStage.Done:
                return [newer, older];
            case MoveStage.RolledBack:
                return [older];
        }
    }

    /** Returns the endpoints that count as a service's capacity: the old version's, or the new version's once the move is done. */
    listServing(service: string, endpoints: readonly FleetEndpoint[]): readonly FleetEndpoint[] {
        const move = this.moves.findMove(service);
        if (move === undefined) {
            return endpoints;
        }
        const [newer, older] = listSides(move, endpoints);
        return this.moves.getStage(move) === MoveStage.Done ? newer : older;
    }

    /** Returns whether a service has a running move. */
    isMoving(service: string): boolean {
        return this.moves.listRunning().some(move => move.order.service === service);
    }

    /** Returns the groups of the trial stage. Retries stay at the old version: after one fault they must not risk another. */
    private listTrialGroups(query: PlacementQuery, newer: FleetEndpoint[], older: FleetEndpoint[]): FleetEndpoint[][] {
        const isTrial = query.triedEndpoints.size === 0 && newer.length > 0 && this.random.pickFraction() < this.trialShare;
        return isTrial ? [this.pickTrialEndpoints(newer), older] : [older];
    }

    /** Picks so few new endpoints that each gets the usual load, since some faults appear only under load. */
    private pickTrialEndpoints(newer: readonly FleetEndpoint[]): FleetEndpoint[] {
        const sorted = [...newer].sort((left, right) => (left.entry.id < right.entry.id ? -1 : 1));
        return sorted.slice(0, Math.ceil(newer.length * this.trialShare));
    }
}

function listSides(move: VersionMove, endpoints: readonly FleetEndpoint[]): [FleetEndpoint[], FleetEndpoint[]] {
    const newer = endpoints.filter(endpoint => endpoint.entry.version === move.order.target);
    const older = endpoints.filter(endpoint => endpoint.entry.version !== move.order.target);
    return [newer, older];
}
