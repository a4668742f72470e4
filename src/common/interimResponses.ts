import { ClientRequest } from "node:http";

/** Interim responses, such as 100 Continue, that are accepted before the final one; an endless series would occupy the processor. */
const maximumInterimResponses = 8;

/** Calls a function, with a text that names the cause, when a server sends too many interim responses to a request. */
export function observeInterimResponses(request: ClientRequest, handleExcess: (cause: string) => void): void {
    let count = 0;
    request.on("information", () => {
        count += 1;
        if (count === maximumInterimResponses + 1) {
            handleExcess(`more than ${maximumInterimResponses} interim responses were received`);
        }
    });
}
