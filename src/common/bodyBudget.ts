import { bytesPerKibibyte, bytesPerMebibyte } from "./units.js";

/** Cost of a request that is being read, besides its body and the lines of its head: its connection and handlers. */
const requestOverhead = 4 * bytesPerKibibyte;
/** Memory of one header line besides its characters, in bytes: the runtime keeps its name and its value twice, in a list and under its name. */
export const headerLineBytes = 130;
/** Largest body that may take the part of the budget that is reserved for small bodies. */
const smallBodyBytes = 64 * bytesPerKibibyte;
/** Share of the budget that bodies above that size may fill. */
const largeBodyShare = 0.75;
/** Time without progress after which a body gives up its room to any other, in milliseconds. */
const stalledMilliseconds = 1_000;
/** Bytes that are progress, at least and as a share of the room held: a body that arrives byte by byte would hold its room for ever. */
const progressBytes = bytesPerKibibyte;
const progressShareOfRoom = 1 / 16;
/** Share of the process's memory that bodies may hold; the rest is for the process itself and for what copies a body on its way. */
const shareOfMemory = 0.15;
/** Size below which a part of a body costs more time than its bytes. */
const smallPartBytes = 256;
/** Small parts that a body may have whatever the others have. */
const freeSmallParts = 1_000;
/** Small parts that all bodies that are being read may have together; more take so long that other callers would wait for them. */
const smallPartLimit = 65_536;
const leastCapacity = 8 * bytesPerMebibyte;

/** Returns the budget for bodies of a process with an amount of memory, in bytes. */
export function computeBodyCapacity(memoryBytes: number): number {
    return Math.max(leastCapacity, Math.floor(memoryBytes * shareOfMemory));
}

/** Returns the memory that a request's head takes, in bytes; `rawHeaders` alternates names and values. */
export function computeHeadMemory(rawHeaders: readonly string[]): number {
    return rawHeaders.reduce((sum, text) => sum + text.length, rawHeaders.length / 2 * headerLineBytes);
}

/** Room of one body in the budget. */
export class BodyReservation {
    private heldBytes = 0;
    private progressAt: number;
    private receivedAt: number;
    /** Bytes that have come since the last progress. */
    private bytesSinceProgress = 0;
    private isWhole = false;
    private smallParts = 0;

    private constructor(
        private readonly budget: BodyBudget,
        readonly revoke: () => void,
        now: number,
        private readonly headBytes: number,
    ) {
        this.progressAt = now;
        this.receivedAt = now;
    }

    /** `revoke` is called when the room is taken away; it must release the reservation. `headBytes` is the memory of the request's head. */
    static create(budget: BodyBudget, revoke: () => void, now: number, headBytes: number): BodyReservation {
        return new BodyReservation(budget, revoke, now, headBytes);
    }

    getHeldBytes(): number {
        return this.heldBytes;
    }

    getProgressAt(): number {
        return this.progressAt;
    }

    /** Returns when the last byte came. */
    getReceivedAt(): number {
        return this.receivedAt;
    }

    /** Returns whether the room can be taken away: a body that has been read whole is being served. */
    isRevocable(): boolean {
        return !this.isWhole && this.heldBytes > 0;
    }

    /** Takes the room that a body needs before any of its bytes has come. */
    open(now: number): boolean {
        return this.takeRoom(requestOverhead + this.headBytes, now);
    }

    /** Takes further room; returns false, and changes nothing, when there is none. */
    takeRoom(bytes: number, now: number): boolean {
        if (!this.budget.acquireRoom(this, bytes, now)) {
            return false;
        }
        this.heldBytes += bytes;
        return true;
    }

    /** Records that a part has come; returns false if its body has too many small parts beside others. */
    addPart(bytes: number, now: number): boolean {
        this.receivedAt = now;
        this.bytesSinceProgress += bytes;
        if (this.bytesSinceProgress >= Math.max(progressBytes, this.heldBytes * progressShareOfRoom)) {
            this.bytesSinceProgress = 0;
            this.progressAt = now;
        }
        if (bytes >= smallPartBytes) {
            return true;
        }
        this.smallParts += 1;
        return this.budget.acceptSmallPart(this, now);
    }

    countSmallParts(): number {
        return this.smallParts;
    }

    /** Returns whether the body takes its time from others' by its small parts. */
    hasManyParts(): boolean {
        return this.smallParts > freeSmallParts;
    }

    /** Records that the body has been read whole and holds this many bytes from now on. */
    settle(bodyBytes: number): void {
        const bytes = bodyBytes + requestOverhead + this.headBytes;
        this.budget.updateHeld(bytes - this.heldBytes);
        this.heldBytes = bytes;
        this.budget.removeParts(this);
        this.smallParts = 0;
        this.isWhole = true;
    }

    /** Gives the room back; further calls have no effect. */
    release(): void {
        this.budget.removeReservation(this);
        this.heldBytes = 0;
        this.smallParts = 0;
    }
}

/**
 * Memory that the bodies of all requests of a process may hold, from their first byte until their responses have ended. When it is spent,
 * bodies that make no progress give up their room first, and then those that are larger than the body that asks.
 */
export class BodyBudget {
    private readonly reservations = new Set<BodyReservation>();
    private held = 0;
    private smallParts = 0;
    /** Number of bodies that have many small parts and are still being read. */
    private bodiesOfManyParts = 0;
    private revocations = 0;

    private constructor(readonly capacity: number) {}

    static create(capacity: number): BodyBudget {
        return new BodyBudget(capacity);
    }

    /** Adds a reservation without room; `now` is in monotonic milliseconds. */
    addReservation(revoke: () => void, now: number, headBytes = 0): BodyReservation {
        const reservation = BodyReservation.create(this, revoke, now, headBytes);
        this.reservations.add(reservation);
        return reservation;
    }

    getHeldBytes(): number {
        return this.held;
    }

    /** Returns how many bodies have lost their room to others. */
    countRevocations(): number {
        return this.revocations;
    }

    /** Makes room for a body, from other bodies where it has to; returns false when there is none for it. */
    acquireRoom(asker: BodyReservation, bytes: number, now: number): boolean {
        const wanted = asker.getHeldBytes() + bytes;
        const limit = wanted > smallBodyBytes + requestOverhead ? this.capacity * largeBodyShare : this.capacity;
        // A body that has the budget to itself is always read: its size is limited elsewhere.
        while (this.held + bytes > limit && this.held > asker.getHeldBytes()) {
            const victim = this.findVictim(asker, wanted, now);
            if (victim === undefined) {
                return false;
            }
            this.revoke(victim);
        }
        this.held += bytes;
        return true;
    }

    updateHeld(change: number): void {
        this.held += change;
    }

    removeReservation(reservation: BodyReservation): void {
        if (this.reservations.delete(reservation)) {
            this.held -= reservation.getHeldBytes();
            this.removeParts(reservation);
        }
    }

    /** Forgets the small parts of a body that is no longer being read. */
    removeParts(reservation: BodyReservation): void {
        this.smallParts -= reservation.countSmallParts();
        this.bodiesOfManyParts -= reservation.hasManyParts() ? 1 : 0;
    }

    /**
     * Counts a small part of a body. Beyond the limit, one body of many parts is read at a time, which keeps its turn until it makes no
     * progress: taking it away would leave the time that it took without a result.
     */
    acceptSmallPart(asker: BodyReservation, now: number): boolean {
        this.smallParts += 1;
        this.bodiesOfManyParts += asker.countSmallParts() === freeSmallParts + 1 ? 1 : 0;
        if (this.smallParts <= smallPartLimit || !asker.hasManyParts()) {
            return true;
        }
        while (this.bodiesOfManyParts > 1) {
            const stalled = [...this.reservations].find(other => other !== asker && other.hasManyParts() && isStalled(other, now));
            if (stalled === undefined) {
                return false;
            }
            this.revoke(stalled);
        }
        return true;
    }

    private revoke(reservation: BodyReservation): void {
        this.revocations += 1;
        reservation.revoke();
        reservation.release();
    }

    /** Finds the body that gives up its room: the largest of those that have stalled, or the largest of those above the wanted size. */
    private findVictim(asker: BodyReservation, wanted: number, now: number): BodyReservation | undefined {
        let largest: BodyReservation | undefined;
        let largestStalled: BodyReservation | undefined;
        for (const candidate of this.reservations) {
            if (candidate === asker || !candidate.isRevocable()) {
                continue;
            }
            const size = candidate.getHeldBytes();
            if (isStalled(candidate, now) && size > (largestStalled?.getHeldBytes() ?? 0)) {
                largestStalled = candidate;
            }
            if (size > (largest?.getHeldBytes() ?? wanted)) {
                largest = candidate;
            }
        }
        return largestStalled ?? largest;
    }
}

function isStalled(reservation: BodyReservation, now: number): boolean {
    return now - reservation.getProgressAt() >= stalledMilliseconds;
}
