/**
 * Version of a stored object, or position in the store's history: the store's era and its revision in that era, as one number.
 * A revision of a later era is newer than every revision of an earlier one. A store without eras is always in era 0.
 */
export type Revision = number;

/** Number of revisions of one era: with 3,000 writes a second they last for eleven years. */
const revisionsPerEra = 2 ** 40;

/** Highest era whose revisions are still exact numbers. */
export const maximumEra = Math.floor(Number.MAX_SAFE_INTEGER / revisionsPerEra) - 1;

/** Combines an era and the store's own revision number. */
export function createRevision(era: number, storeRevision: number): Revision {
    return era * revisionsPerEra + storeRevision;
}

/** Returns the era of a revision. */
export function getEra(revision: Revision): number {
    return Math.floor(revision / revisionsPerEra);
}

/** Returns the store's own revision number. */
export function getStoreRevision(revision: Revision): number {
    return revision % revisionsPerEra;
}
