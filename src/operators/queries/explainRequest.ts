import { OperatorDependencies } from "../types.js";

/** Returns the record of a request as JSON, from this node or else from the first live peer that has one; undefined when none has it. */
export async function findRequestExplanation(dependencies: OperatorDependencies, requestId: string): Promise<string | undefined> {
    const local = dependencies.table.findExplanation(requestId);
    if (local !== undefined) {
        return JSON.stringify(local);
    }
    const members = dependencies.directory.listMembers().filter(member => dependencies.directory.isReachable(member));
    const responses = await Promise.all(members.map(member => dependencies.link.describeRequest(member.address, requestId)));
    for (const response of responses) {
        if (response.ok && response.val.found) {
            return response.val.recordJson;
        }
    }
    return undefined;
}
