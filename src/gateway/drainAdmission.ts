import { RouteKind } from "../routes/types.js";
import { IncomingCall } from "./types.js";

/** Number of recent calls of a route whose durations are kept. */
const keptDurations = 64;
/** Factor on the longest duration of a route's recent and running calls within which its next call is expected to end. */
const durationMargin = 1.5;

/** Tells which calls a node that stops can still accept: those that can end before it closes their connections. */
export class DrainAdmission {
    private readonly durationsByRoute = new Map<string, number[]>();
    private readonly runningCalls = new Set<IncomingCall>();
    private closesAt = Infinity;

    private constructor() {}

    static create(): DrainAdmission {
        return new DrainAdmission();
    }

    /** Records that the node stops and closes the connections of its callers at a time, in monotonic milliseconds. */
    startDraining(closesAt: number): void {
        this.closesAt = closesAt;
    }

    /** Records that a call is being served. */
    addCall(call: IncomingCall): void {
        this.runningCalls.add(call);
    }

    /** Records that a call has ended. */
    removeCall(call: IncomingCall): void {
        this.runningCalls.delete(call);
    }

    /** Records the duration of a served call, in milliseconds. */
    recordDuration(route: string, duration: number): void {
        const durations = this.durationsByRoute.get(route) ?? [];
        this.durationsByRoute.set(route, durations);
        durations.push(duration);
        if (durations.length > keptDurations) {
            durations.shift();
        }
    }

    /**
     * Returns whether a call that arrives now can end in time: by its own time limit, or, where an interruption does no harm beyond
     * the lost work, by the time that such calls took lately or have been running.
     */
    isInTime(call: IncomingCall, now: number): boolean {
        if (call.deadline <= this.closesAt) {
            return true;
        }
        const durations = this.durationsByRoute.get(call.route.name);
        if (call.route.kind === RouteKind.Unsafe || durations === undefined) {
            return false;
        }
        const running = [...this.runningCalls].filter(other => other.route.name === call.route.name).map(other => now - other.arrivedAt);
        return now + Math.max(...durations, ...running) * durationMargin <= this.closesAt;
    }
}
