import { OperatorParts } from "../types.js";

/** Returns what this node or any live peer knows of a request, as JSON, or undefined. */
export async function findRequestExplanation(parts: OperatorParts, requestId: string): Promise<string | undefined> {
    const local = parts.table.findExplanation(requestId);
    if (local !== undefined) {
        return JSON.stringify(local);
    }
    const members = parts.directory.listMembers().filter(member => parts.directory.isAlive(member));
    const answers = await Promise.all(members.map(member => parts.link.describeRequest(member.address, requestId)));
    for (const answer of answers) {
        if (answer.ok && answer.val.found) {
            return answer.val.recordJson;
        }
    }
    return undefined;
}
