import { IncomingMessage, validateHeaderName, validateHeaderValue } from "node:http";
import { describeError } from "./failure.js";

/**
 * Value of the runtime's `maxHeadersCount` that keeps every header line. With a limit it drops the lines beyond it without a word, so that a
 * message would lose its length or its credentials.
 */
export const unlimitedHeaderLines = 0;
/** Lowest status of a final response. A lower one announces another response, or another protocol, which no request asks for. */
const lowestFinalStatus = 200;
/** Characters that the runtime's client refuses in a request's target. */
const invalidTargetPattern = /[^\u0021-\u00ff]/;

/**
 * Returns why the status or a header of a response is malformed; undefined if none is. The runtime's parser accepts some heads that
 * its own server refuses to send.
 */
export function findResponseFault(response: Pick<IncomingMessage, "statusCode" | "rawHeaders">): string | undefined {
    const { rawHeaders, statusCode = 0 } = response;
    if (statusCode < lowestFinalStatus) {
        return `status ${statusCode} is not that of a final response`;
    }
    return findHeaderFault(rawHeaders);
}

/** Head of a request; one that a peer forwards has no protocol version. */
export type CheckedHead = Readonly<Pick<IncomingMessage, "url" | "headers" | "rawHeaders"> & Partial<Pick<IncomingMessage, "httpVersion">>>;

/** Returns why the target or a header of a request is malformed, so that it cannot be sent on; undefined if none is. */
export function findRequestFault(request: CheckedHead): string | undefined {
    if (request.httpVersion === "1.1" && request.headers.host === undefined) {
        return "the Host header is missing";
    }
    if (invalidTargetPattern.test(request.url ?? "")) {
        return "the path contains characters that are not allowed";
    }
    return findHeaderFault(request.rawHeaders);
}

/** `rawHeaders` alternates names and values. */
function findHeaderFault(rawHeaders: readonly string[]): string | undefined {
    try {
        for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
            const name = rawHeaders[index] as string;
            validateHeaderName(name);
            validateHeaderValue(name, rawHeaders[index + 1] as string);
        }
        return undefined;
    }
    catch (error) {
        return describeError(error);
    }
}
