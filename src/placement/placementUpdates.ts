import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { PromptPart } from "../fleet/types.js";

/** Placements kept until they are sent to peers; more accumulate only while no peer is reachable. */
const maximumBufferedUpdates = 2_000;

/** Prompt parts sent to one endpoint, which therefore has them cached. */
export interface PlacedPromptParts {
    readonly endpointId: string;
    readonly parts: readonly PromptPart[];
    /** Number of requests that placed these parts there. */
    readonly uses: number;
}

/** Origin of a placement update, or the receiver of one. */
export interface PlacementUpdateSource {
    /** Name of the peer; empty for placements made by this node. */
    readonly peer: string;
    /** Whether the peer is a relay; a relay sends its updates to the other relays itself. */
    readonly isRelay: boolean;
}

interface PlacementUpdateEntry {
    readonly sequence: number;
    readonly placed: PlacedPromptParts;
    readonly source: PlacementUpdateSource;
}

const localSource: PlacementUpdateSource = { peer: "", isRelay: false };

/** Buffers recent placements for the digests sent to peers, from which peers derive what each endpoint has cached. */
export class PlacementUpdates {
    private entries: PlacementUpdateEntry[] = [];
    private sequence = 0;

    private constructor() {}

    static create(): PlacementUpdates {
        return new PlacementUpdates();
    }

    /** Records a placement made by this node, without the last prompt part, which no other request shares. */
    addPlacement(endpoint: FleetEndpoint, parts: readonly PromptPart[]): void {
        const shared = parts.slice(0, -1);
        if (shared.length === 0) {
            return;
        }
        this.addUpdate({ endpointId: endpoint.entry.id, parts: shared, uses: 1 }, localSource);
    }

    /** Adds a placement to send to peers; a relay also adds the placements that it receives. */
    addUpdate(placed: PlacedPromptParts, source: PlacementUpdateSource): void {
        this.sequence += 1;
        this.entries.push({ sequence: this.sequence, placed, source });
        if (this.entries.length > maximumBufferedUpdates) {
            this.entries = this.entries.slice(-maximumBufferedUpdates);
        }
    }

    /** Returns the sequence number of the newest placement; 0 before the first. */
    getLatestSequence(): number {
        return this.sequence;
    }

    /**
     * Returns the placements after a sequence number, except those that the receiver sent itself or receives from another relay. Those of
     * the same parts at the same endpoint are added up: most requests share few parts, and a relay tells every node of all placements.
     */
    listUpdatesSince(sequence: number, receiver: PlacementUpdateSource): PlacedPromptParts[] {
        const placedByKey = new Map<string, PlacedPromptParts>();
        for (const { sequence: placedAt, placed, source } of this.entries) {
            if (placedAt > sequence && source.peer !== receiver.peer && !(receiver.isRelay && source.isRelay)) {
                const key = formatKey(placed);
                const uses = (placedByKey.get(key)?.uses ?? 0) + placed.uses;
                placedByKey.set(key, { ...placed, uses });
            }
        }
        return [...placedByKey.values()];
    }
}

function formatKey({ endpointId, parts }: PlacedPromptParts): string {
    return `${endpointId}\n${parts.map(part => part.id).join(" ")}`;
}
