import { IncomingMessage, validateHeaderName, validateHeaderValue } from "node:http";
import { describeError } from "../common/failure.js";

/** Lowest status of a final response. A lower one announces another response, or another protocol, which no request asks for. */
const lowestFinalStatus = 200;

/**
 * Returns why the status or a header of a response is malformed; undefined if none is. The runtime's parser accepts some heads
 * that its own server refuses to send.
 */
export function findHeadFault(response: Pick<IncomingMessage, "statusCode" | "rawHeaders">): string | undefined {
    const { rawHeaders, statusCode = 0 } = response;
    if (statusCode < lowestFinalStatus) {
        return `status ${statusCode} is not that of a final response`;
    }
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
