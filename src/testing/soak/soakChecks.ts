import { DutyCall } from "../../standins/routed/routedCloud.js";
import { RunRecord } from "../../standins/routed/routedWorker.js";
import { CallKind, CallResult } from "./soakCallers.js";

const statusOk = 200;
/** Answers that promise that nothing ran and nothing will. */
const promisingStatuses = new Set([408, 421, 429, 503]);
/** Share of the calls that must be served when every fault has been over for the time that recovery may take. */
const servedShareAfterRecovery = 0.9;

/** What callers, endpoints and the cloud saw. */
export interface SoakRecords {
    readonly results: readonly CallResult[];
    readonly runs: readonly RunRecord[];
    readonly duties: readonly DutyCall[];
    /** Events that each stream has. */
    readonly eventCount: number;
    /** Milliseconds since the start from which calls must be served again. */
    readonly recoveredAt: number;
}

/** Returns every promise that was broken, with the request that shows it. */
export function checkPromises(records: SoakRecords): string[] {
    const runs = new Map<string, RunRecord[]>();
    records.runs.forEach(run => runs.set(run.attemptId, [...runs.get(run.attemptId) ?? [], run]));
    const sent = new Set(records.results.map(result => result.id));
    const unasked = [...runs.keys()].filter(id => !sent.has(id)).map(id => `a request ran that nobody sent: ${id}`);
    return [
        ...unasked,
        ...records.results.flatMap(result => checkResult(result, runs.get(result.id) ?? [], records.eventCount)),
        ...checkDuties(records.duties),
        ...checkRecovery(records),
    ];
}

function checkResult(result: CallResult, runs: readonly RunRecord[], eventCount: number): string[] {
    const faults: string[] = [];
    const mayRepeat = result.kind === CallKind.Lookup || result.kind === CallKind.Question;
    const report = (text: string) => faults.push(`${text}: ${result.kind} ${result.id} at ${result.node}, status ${result.status}`);
    if (!mayRepeat && runs.length > 1) {
        report(`it ran ${runs.length} times`);
    }
    if (!mayRepeat && promisingStatuses.has(result.status) && runs.length > 0) {
        report("it was refused and ran");
    }
    if (result.status !== statusOk) {
        return faults;
    }
    if (result.signature !== `seal-${result.id}`) {
        report(`its signature is ${result.signature}`);
    }
    const isStream = result.kind === CallKind.Notice || result.kind === CallKind.Question;
    if (isStream) {
        checkEvents(result, eventCount, report);
    }
    else if (result.isWhole && result.body !== `answer to ${result.id}`) {
        report(`it got '${result.body}'`);
    }
    return faults;
}

/** Events must follow one another without gap or repeat; a whole answer has them all. */
function checkEvents(result: CallResult, eventCount: number, report: (text: string) => void): void {
    const whole = result.body.split("\n\n").slice(0, -1);
    const isInOrder = whole.every((event, index) => event === `id: ${index + 1}\ndata: piece ${index + 1}`);
    if (!isInOrder) {
        report(`its events are ${JSON.stringify(whole)}`);
    }
    if (result.isWhole && whole.length !== eventCount) {
        report(`it ended as whole after ${whole.length} of ${eventCount} events`);
    }
}

function checkDuties(duties: readonly DutyCall[]): string[] {
    const faults: string[] = [];
    const holders = new Map<string, string>();
    const reports = new Map<string, string>();
    for (const call of duties) {
        const fence = `${call.path} ${call.fence}`;
        const holder = holders.get(fence) ?? call.holder;
        holders.set(fence, holder);
        if (holder !== call.holder) {
            faults.push(`two holders used one fencing token: ${fence} by ${holder} and ${call.holder}`);
        }
        if (call.path !== "/usage" || !call.isAccepted) {
            continue;
        }
        const window = String(call.body["window-id"]);
        const counts = JSON.stringify(call.body["counts"]);
        if ((reports.get(window) ?? counts) !== counts) {
            faults.push(`window ${window} was reported as ${reports.get(window)} and as ${counts}`);
        }
        reports.set(window, counts);
    }
    return faults;
}

function checkRecovery(records: SoakRecords): string[] {
    const late = records.results.filter(result => result.sentAt >= records.recoveredAt);
    const served = late.filter(result => result.status === statusOk && result.isWhole).length;
    const isServed = late.length > 0 && served >= late.length * servedShareAfterRecovery;
    return isServed ? [] : [`after the faults only ${served} of ${late.length} calls were served`];
}
