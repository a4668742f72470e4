import { DiagnosticMessage, formatMessage } from "./diagnostics.js";
import { Verdict } from "./verdict.js";

/** Failure of a request or of one attempt: its diagnostic, and the verdict whether the request may have run. Immutable. */
export class Failure {
    private constructor(
        readonly verdict: Verdict,
        readonly message: DiagnosticMessage,
        readonly text: string,
        /** Time after which the caller should retry, perhaps with a fraction; undefined when none is recommended. */
        readonly retryAfterSeconds: number | undefined,
    ) {}

    /** Creates a failure whose text is the message with the values filled in. */
    static create(verdict: Verdict, message: DiagnosticMessage, ...values: (string | number)[]): Failure {
        return new Failure(verdict, message, formatMessage(message, ...values), undefined);
    }

    /** Creates a failure from text that is already formatted, such as that received from another node. */
    static createFormatted(verdict: Verdict, message: DiagnosticMessage, text: string, retryAfterSeconds?: number): Failure {
        return new Failure(verdict, message, text, retryAfterSeconds);
    }

    /** Returns a copy with the time after which the caller should retry, in seconds, perhaps with a fraction. */
    setRetryAfter(seconds: number): Failure {
        return new Failure(this.verdict, this.message, this.text, seconds);
    }

    /** Returns a copy with another verdict. */
    setVerdict(verdict: Verdict): Failure {
        return new Failure(verdict, this.message, this.text, this.retryAfterSeconds);
    }
}

/** Returns the message of a thrown value, which need not be an Error. */
export function describeError(error: unknown): string {
    if (error instanceof Error) {
        return error.message;
    }
    return String(error);
}

/** Returns the system error code of a thrown value, such as ECONNREFUSED, or an empty string when it has none. */
export function readErrorCode(error: unknown): string {
    if (error instanceof Error && "code" in error && typeof error.code === "string") {
        return error.code;
    }
    return "";
}

const connectFailureCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]);

/** Returns whether an error proves that no connection was established, so that nothing was sent. */
export function isConnectFailure(error: unknown): boolean {
    return connectFailureCodes.has(readErrorCode(error));
}
