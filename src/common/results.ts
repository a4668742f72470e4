// Re-exports the result type under ES modules, since the library ships CommonJS only.
import tsResults from "ts-results";

export const { Ok, Err } = tsResults;
export type { Result } from "ts-results";
