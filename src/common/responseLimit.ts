import { HandlerFunction } from "got";
import { observeInterimResponses } from "./interimResponses.js";

/**
 * Creates a handler for got that closes the connection of a response whose body is larger than `maximumBytes`, or whose number of
 * interim responses exceeds its limit; the request fails like one whose connection was lost.
 */
export function createResponseLimit(maximumBytes: number): HandlerFunction {
    return (options, next) => {
        const request = next(options);
        if ("cancel" in request) {
            void request.on("request", clientRequest => observeInterimResponses(clientRequest, cause => request.cancel(cause)));
            void request.on("downloadProgress", progress => {
                if (progress.transferred > maximumBytes) {
                    request.cancel(`the response is larger than ${maximumBytes} bytes`);
                }
            });
        }
        return request;
    };
}
