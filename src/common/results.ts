// Re-exports ts-results for ES modules, because the library ships only CommonJS.
import tsResults from "ts-results";

export const { Ok, Err } = tsResults;
export type { Result } from "ts-results";
