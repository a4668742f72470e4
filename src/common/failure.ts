import { DiagnosticMessage, formatMessage } from "./diagnostics.js";
import { Verdict } from "./verdict.js";

/** Why a request, or one attempt at it, did not succeed, and whether it may have run. */
export class Failure {
    private constructor(
        readonly verdict: Verdict,
        readonly message: DiagnosticMessage,
        readonly text: string,
        readonly retryAfterSeconds: number | undefined,
    ) {}

    static create(verdict: Verdict, message: DiagnosticMessage, ...values: (string | number)[]): Failure {
        return new Failure(verdict, message, formatMessage(message, ...values), undefined);
    }

    /** Creates a failure from text that another node has already formatted. */
    static createFormatted(verdict: Verdict, message: DiagnosticMessage, text: string, retryAfterSeconds?: number): Failure {
        return new Failure(verdict, message, text, retryAfterSeconds);
    }

    /** Returns the same failure with the time after which a caller should try again, in seconds, perhaps a fraction. */
    setRetryAfter(seconds: number): Failure {
        return new Failure(this.verdict, this.message, this.text, seconds);
    }

    /** Returns the same failure with another verdict. */
    setVerdict(verdict: Verdict): Failure {
        return new Failure(verdict, this.message, this.text, this.retryAfterSeconds);
    }
}

/** Returns the text of anything that was thrown. */
export function describeError(error: unknown): string {
    if (error instanceof Error) {
        return error.message;
    }
    return String(error);
}

/** Returns the system error code of anything that was thrown, or an empty text. */
export function readErrorCode(error: unknown): string {
    if (error instanceof Error && "code" in error && typeof error.code === "string") {
        return error.code;
    }
    return "";
}

const neverConnectedCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]);

/** Whether an error proves that no connection was established, so that nothing was sent. */
export function hasNeverConnected(error: unknown): boolean {
    return neverConnectedCodes.has(readErrorCode(error));
}
