import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { PromptPart } from "../fleet/types.js";

/** Placements that are kept until they are told; more come only while no peer is reached. */
const newsLimit = 500;

/** Parts of prompts that one endpoint got. */
export interface PlacedParts {
    readonly endpointId: string;
    readonly parts: readonly PromptPart[];
}

/** What this node sent where since it last told its peers, so that they know what each endpoint has cached. */
export class PlacementNews {
    private entries: { readonly sequence: number; readonly placed: PlacedParts; }[] = [];
    private sequence = 0;

    private constructor() {}

    static create(): PlacementNews {
        return new PlacementNews();
    }

    /** Records the parts that other requests may share; the last one is the request's own. */
    addPlacement(endpoint: FleetEndpoint, parts: readonly PromptPart[]): void {
        const shared = parts.slice(0, -1);
        if (shared.length === 0) {
            return;
        }
        this.sequence += 1;
        this.entries.push({ sequence: this.sequence, placed: { endpointId: endpoint.entry.id, parts: shared } });
        if (this.entries.length > newsLimit) {
            this.entries = this.entries.slice(-newsLimit);
        }
    }

    getSequence(): number {
        return this.sequence;
    }

    /** Returns the placements after a sequence number. */
    listSince(sequence: number): PlacedParts[] {
        return this.entries.filter(entry => entry.sequence > sequence).map(entry => entry.placed);
    }
}
