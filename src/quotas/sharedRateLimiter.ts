import { Clock } from "../common/clock.js";
import { millisecondsPerSecond } from "../common/units.js";
import { addRecentUnits, computeCountedShare, LocalUsage, PeerUsage, RateDemand } from "./peerUsage.js";
import { computeClassOffset, computeLastingDemand, computePlace, findSizeClass, UsageDivision } from "./usageDivision.js";

export type { RateDemand } from "./peerUsage.js";

/** Time constant of the moving average of demand, in milliseconds. */
const demandTimeConstantMilliseconds = 5_000;
/** Time constant of the moving average of recent demand by size class, in milliseconds: at most the time in which it reaches all nodes. */
const recentTimeConstantMilliseconds = 500;
/** Part of a limit's rate from which nodes exchange the recent demand by size class. */
const exchangedRecentShare = 0.8;

/** Share of the slack that nodes add to their bursts; the rest covers requests sent before a limit is lowered that arrive after it. */
const burstSlackShare = 0.8;

/** A token bucket limit on all nodes together: units per second and units at once. */
export interface SharedRateLimit {
    readonly name: string;
    readonly rate: number;
    readonly burst: number;
}

/** Units that this node admitted at a time, in monotonic milliseconds. */
interface Admission {
    readonly units: number;
    readonly at: number;
    /** Units that the limit allowed in a window at that time. */
    readonly allowed: number;
}

/** Share of a limit up to which units are admitted whatever this node's part is; the rest allows for slightly outdated peer counts. */
const unconditionalShareOfLimit = 0.85;
/** Share of the slack added to the units allowed in a window; the rest covers units that nodes admit before they receive peer counts. */
const admittedSlackShare = 0.35;
/** Shortest wait suggested to a refused caller, in seconds: by then newer peer counts have arrived. */
const minimumRetryAfterSeconds = 0.5;
/** Parts of the overage and of the slack up to which a divided limit is used on average. */
const targetOverageShare = 0.1;
const targetSlackShare = 0.35;
/** Parts of the overage and of the slack up to which a limit is used while nothing beyond what leaves its window is asked for. */
const calmOverageShare = 0.35;
const calmSlackShare = 0.35;
/** Parts of the overage and of the slack up to which single calls still pass; the rest covers what nodes admit before they hear of it. */
const mostOverageShare = 0.3;
const mostSlackShare = 0.35;
/** Factor on the place of a call that comes back: the share served may have fallen since its caller was told when to. */
const heldPlaceFactor = 0.5;
/** Largest part of a window's units that an ordinary call asks for. */
const ordinaryCallShare = 0.1;
/** Part of a limit's rate that is reserved for the smallest calls: they cost little, and waiting behind large ones helps nobody. */
const reservedRateShare = 0.1;
/** Parts of the overage and of the slack up to which the reserved calls pass. */
const reservedOverageShare = 0.5;
const reservedSlackShare = 0.5;
/** Time in which a divided limit's unused units are spent, in milliseconds: long compared with the time in which counts reach all nodes. */
const spendingMilliseconds = 3_000;
/** Time in which counts and demand reach all nodes of a large fleet, in milliseconds. */
const propagationMilliseconds = 1_500;
/** Time in which counts reach all nodes, as a multiple of their mean age: some are twice as old. */
const propagationAgeFactor = 2;
/** Multiple of the usual time from which counts are late: what nodes admit before they hear of it is then no longer covered. */
const latePropagationFactor = 1.1;
/** Factor on an equal part of a limit that a node may admit before the others hear of it: callers are spread unevenly. */
const unevenDemandFactor = 1.5;
/** Least number of calls by which a node judges whether it goes beyond its part: fewer come together by chance. */
const leastJudgedCalls = 3;
/** Time for which a division of a limit is reused, in milliseconds. */
const divisionAgeLimitMilliseconds = 100;

/** Reason and figures of a refusal. */
export interface RateRefusal {
    /** Seconds after which the units are likely to be available. */
    readonly wait: number;
    /** Estimate of the units that all nodes admitted in the window. */
    readonly passed: number;
    /** Units that the limit allows all nodes together in the window. */
    readonly allowed: number;
    /** Mean age of the counts of other nodes, in milliseconds. */
    readonly countAge: number;
}

/** What decides who passes while a limit is divided: the rank of a call, and a hash that is the same on all nodes. */
export interface UsageClaim {
    readonly rank: number;
    /** Time since the caller's first attempt in milliseconds; 0 for a first one. */
    readonly waited: number;
    getFingerprint(): string;
}

/** Division of a limit among size classes, and the monotonic time at which it was computed. */
interface DatedDivision {
    readonly division: UsageDivision;
    /** Units up to which the window is used: the more is asked for, the more is kept for what nodes admit before they hear of it. */
    readonly target: number;
    /** Whether the window will be full before its units leave it. */
    readonly isRunningOut: boolean;
    readonly requested: number;
    readonly at: number;
}

/** State of one limit at this node: its token bucket, its demand and the usage that peers report. */
interface RateBucket {
    /** Monotonic time since when this node knows of the limit's use. */
    readonly since: number;
    /** Units per second that the limit allowed when units were last taken. */
    rate: number;
    /** Units allowed in a window, as computed when units were last taken. */
    allowed: number;
    available: number;
    refilledAt: number;
    /** Moving average of the requested units per second, valid at `demandAt`. */
    demand: number;
    demandAt: number;
    readonly admissions: Admission[];
    readonly peers: PeerUsage;
    /** Units per second requested lately by size class, valid at `recentAt`. */
    recent: readonly number[];
    recentAt: number;
    /** Most classes by which calls have stood above their size for their rank. */
    classOffset: number;
    dated: DatedDivision | undefined;
}

/** Settings that apply to all limits. */
export interface SharedRateLimiterOptions {
    /** Units that all nodes together may admit beyond each limit, to cover errors of the nodes' estimated shares. */
    readonly slack: number;
    /** Length of the sliding window in which a limit is enforced, in milliseconds. */
    readonly window: number;
    /** Part of each limit by which it may be exceeded in a window; used where limits are divided. */
    readonly overage: number;
    /** Whether a limit that is reached is divided among calls by their urgency and size, instead of by their order of arrival. */
    readonly isDivided: boolean;
}

const defaultOptions: SharedRateLimiterOptions = { slack: 0, window: 8_000, overage: 0, isDivided: false };

/**
 * Enforces rate limits over all nodes without a central counter: each node admits the part of a limit that corresponds to
 * its share of the total demand, which the nodes exchange by gossip.
 */
export class SharedRateLimiter {
    private readonly buckets = new Map<string, RateBucket>();
    private nodeCount = 1;
    private silentNodes = 0;
    private readonly createdAt: number;

    private constructor(private readonly clock: Clock, private readonly options: SharedRateLimiterOptions) {
        this.createdAt = clock.getMonotonicTime();
    }

    static create(clock: Clock, options = defaultOptions): SharedRateLimiter {
        return new SharedRateLimiter(clock, options);
    }

    /** Sets the number of nodes that may serve callers, this one included, and how many of them are out of reach. */
    setNodeCount(count: number, silent = 0): void {
        this.nodeCount = Math.max(1, count);
        this.silentNodes = silent;
    }

    /**
     * Takes units of a limit; returns the refusal, taking nothing, when too few are available. The minimum burst lets this node
     * admit single requests that are larger than its part of the limit's burst. A limit is divided only among calls with a claim.
     */
    takeUnits(limit: SharedRateLimit, units: number, minimumBurst: number, claim?: UsageClaim): RateRefusal | undefined {
        const now = this.clock.getMonotonicTime();
        const bucket = this.getBucket(limit.name, now);
        bucket.rate = limit.rate;
        this.recordDemand(bucket, units, now);
        const refusal = this.options.isDivided && claim !== undefined
            ? this.checkDivision(bucket, limit, units, claim, now)
            : this.checkPart(bucket, limit, units, minimumBurst, now);
        if (refusal === undefined) {
            bucket.available = Math.max(0, bucket.available - units);
            bucket.admissions.push({ units, at: now, allowed: bucket.allowed });
        }
        return refusal;
    }

    /** Refuses units beyond this node's part of the limit, unless all nodes together are far below it. */
    private checkPart(
        bucket: RateBucket,
        limit: SharedRateLimit,
        units: number,
        minimumBurst: number,
        now: number,
    ): RateRefusal | undefined {
        const share = this.computeLocalShare(bucket, now);
        const rate = limit.rate * share;
        const burst = Math.max(minimumBurst, limit.burst * share + this.getLocalSlack());
        bucket.available = Math.min(burst, bucket.available + (now - bucket.refilledAt) / millisecondsPerSecond * rate);
        bucket.refilledAt = now;
        bucket.allowed = this.computeAllowed(limit, 0, admittedSlackShare);
        const passed = this.estimateAdmitted(bucket, now);
        const isFarBelowLimit = passed + units <= bucket.allowed * unconditionalShareOfLimit;
        const isWithinShare = bucket.available >= units && passed + units <= Math.max(units, bucket.allowed);
        if (!isFarBelowLimit && !isWithinShare) {
            const wait = Math.max(minimumRetryAfterSeconds, (units - bucket.available) / rate);
            return { wait, passed, allowed: bucket.allowed, countAge: this.computeCountAge(bucket, now) };
        }
        return undefined;
    }

    /** Refuses units while more are requested than the limit allows and the call's place is beyond the share served of its class. */
    private checkDivision(
        bucket: RateBucket,
        limit: SharedRateLimit,
        units: number,
        claim: UsageClaim,
        now: number,
    ): RateRefusal | undefined {
        const sizeClass = findSizeClass(units, claim.rank);
        recordRecentUnits(bucket, sizeClass, units, now);
        bucket.classOffset = Math.max(bucket.classOffset, computeClassOffset(claim.rank));
        bucket.allowed = this.computeAllowed(limit, targetOverageShare, targetSlackShare);
        const passed = this.estimateAdmitted(bucket, now);
        const { division, target, isRunningOut } = this.getDivision(bucket, limit, passed, now);
        if (!isRunningOut && passed + units <= target) {
            return undefined;
        }
        const share = division.getServedShare(sizeClass);
        const most = division.isReserved(sizeClass)
            ? this.computeAllowed(limit, reservedOverageShare, reservedSlackShare)
            : Math.max(target, this.computeAllowed(limit, mostOverageShare, mostSlackShare));
        // Ordinary calls count only once they have passed, so that the larger ones are not refused more often than their share says.
        const counted = units <= bucket.allowed * ordinaryCallShare ? 0 : units;
        const isWithinLimit = passed + counted <= Math.max(units, most);
        const place = share < 1 ? this.computeClaimedPlace(claim) : 0;
        if (isWithinLimit && place < share) {
            return undefined;
        }
        const wait = this.options.window / millisecondsPerSecond * Math.max(0, 1 - share / Math.max(place, share, Number.EPSILON));
        return {
            wait: Math.max(minimumRetryAfterSeconds, wait),
            passed,
            allowed: bucket.allowed,
            countAge: this.computeCountAge(bucket, now),
        };
    }

    /** Returns a call's place, which comes up evenly within a window from the caller's first attempt on: whoever waits as told passes. */
    private computeClaimedPlace(claim: UsageClaim): number {
        const { window } = this.options;
        const first = computePlace(claim.getFingerprint(), this.clock.getWallTime() - claim.waited, window);
        const held = claim.waited > 0 ? heldPlaceFactor : 1;
        return first * held * Math.max(0, 1 - claim.waited / window);
    }

    /** Divides the units that may pass per second: those that leave the window, and the unused ones spread over a short time. */
    private getDivision(bucket: RateBucket, limit: SharedRateLimit, passed: number, now: number): DatedDivision {
        if (bucket.dated === undefined || now - bucket.dated.at >= divisionAgeLimitMilliseconds) {
            const others = bucket.peers.computeSum(this.getLocalUsage(bucket, now), () => true);
            const scale = 1 + this.countUnlistedNodes(bucket, others.nodes, now) / (1 + others.nodes);
            const requested = computeRecent(bucket, now);
            addRecentUnits(requested, others.recent);
            requested.forEach((units, index) => (requested[index] = units * scale));
            const total = requested.reduce((sum, units) => sum + units, 0);
            const leaving = others.leaving + this.countLocalLeaving(bucket, now);
            // Of nodes that are out of reach nothing is known but their last demand, so none of it is taken for chance.
            const isCurrent = this.silentNodes === 0 && bucket.peers.isCurrent(now, this.nodeCount - 1);
            const lasting = isCurrent
                ? computeLastingDemand(requested, bucket.classOffset, recentTimeConstantMilliseconds / millisecondsPerSecond)
                : total;
            const propagation = Math.max(propagationMilliseconds, others.age * propagationAgeFactor);
            const unheard = Math.max(0, lasting - leaving) * propagation / millisecondsPerSecond;
            const calm = isCurrent ? this.computeAllowed(limit, calmOverageShare, calmSlackShare) - unheard : 0;
            const target = Math.max(bucket.allowed, calm);
            const isBeyondPart = propagation > propagationMilliseconds * latePropagationFactor
                && this.isBeyondPart(bucket, target - passed, propagation, now);
            if (isBeyondPart) {
                // What the others ask for now is not known yet, so this node's own demand stands for everyone's.
                const own = computeRecent(bucket, now).reduce((sum, units) => sum + units, 0);
                const factor = Math.max(1, own * this.nodeCount / unevenDemandFactor / Math.max(total, Number.EPSILON));
                requested.forEach((units, index) => (requested[index] = units * factor));
            }
            const served = bucket.dated?.division.countServed(requested) ?? 0;
            const unreported = Math.max(0, served - leaving) * propagation / millisecondsPerSecond;
            const division = UsageDivision.create(
                requested,
                leaving + (target - passed - unreported) * millisecondsPerSecond / spendingMilliseconds,
                bucket.rate * reservedRateShare,
            );
            // Few and large calls leave the window unevenly, so that its mean tells better what leaves it than the next second.
            const growth = lasting - Math.max(leaving, passed * millisecondsPerSecond / this.options.window);
            const isRunningOut = isBeyondPart || growth * this.options.window / millisecondsPerSecond > target - passed;
            bucket.dated = { division, target, isRunningOut, requested: total, at: now };
        }
        return bucket.dated;
    }

    /** Returns whether this node has admitted more than its part of the room that is left since the others last counted its units. */
    private isBeyondPart(bucket: RateBucket, left: number, propagation: number, now: number): boolean {
        const uncounted = bucket.admissions.filter(admission => now - admission.at < propagation);
        const units = uncounted.reduce((sum, admission) => sum + admission.units, 0);
        const part = Math.max(0, left + units) / this.nodeCount * unevenDemandFactor;
        return uncounted.length >= leastJudgedCalls && units > part;
    }

    private computeAllowed(limit: SharedRateLimit, overageShare: number, slackShare: number): number {
        const { window, overage, slack } = this.options;
        const withoutOverage = limit.rate * window / millisecondsPerSecond + limit.burst;
        return withoutOverage * (1 + overage * overageShare) + slack * slackShare;
    }

    /** Estimates the units that all nodes admitted in the window; a node of which nothing is known is assumed to have admitted an equal part. */
    private estimateAdmitted(bucket: RateBucket, now: number): number {
        const local = this.getLocalUsage(bucket, now);
        const { passed, nodes } = bucket.peers.computeSum(local, () => true);
        return local.passed + passed + this.countUnlistedNodes(bucket, nodes, now) * bucket.allowed / this.nodeCount;
    }

    /**
     * Counts the nodes that may use a limit without having reported it. A node that ran for a window without hearing of the limit takes
     * its first use for the fleet's first, until the others had time to report it, and up to half of its own part: all of them may do so at once.
     */
    private countUnlistedNodes(bucket: RateBucket, listed: number, now: number): number {
        const isNew = bucket.since - this.createdAt >= this.options.window && now - bucket.since < propagationMilliseconds;
        const isFirstUse = isNew && this.silentNodes === 0
            && this.countRecordedAdmissions(bucket, now) < bucket.allowed / this.nodeCount / 2;
        return isFirstUse ? 0 : Math.max(0, this.nodeCount - 1 - listed);
    }

    /** Returns the mean age of the other nodes' counts of admitted units, in milliseconds. */
    private computeCountAge(bucket: RateBucket, now: number): number {
        return bucket.peers.computeSum(this.getLocalUsage(bucket, now), () => true).age;
    }

    private getLocalUsage(bucket: RateBucket, now: number): LocalUsage {
        return { now, allowed: bucket.allowed, passed: this.countLocalAdmitted(bucket, now), demand: computeDemand(bucket, now) };
    }

    /** Counts the units that this node admitted; for the time before its start, its whole part of the limit is counted as admitted. */
    private countLocalAdmitted(bucket: RateBucket, now: number): number {
        const unknownShare = Math.max(0, 1 - (now - this.createdAt) / this.options.window);
        return this.countRecordedAdmissions(bucket, now) + unknownShare * bucket.allowed / this.nodeCount;
    }

    /** Counts the units that this node admitted and that leave the window in the next second. */
    private countLocalLeaving(bucket: RateBucket, now: number): number {
        const youngest = now - this.options.window + millisecondsPerSecond;
        const leaving = bucket.admissions.filter(admission => admission.at < youngest);
        const unknown = now - this.createdAt < this.options.window ? bucket.allowed / this.nodeCount : 0;
        return leaving.reduce((sum, { units }) => sum + units, 0) + unknown * millisecondsPerSecond / this.options.window;
    }

    /** Counts the units admitted since this node started, after removing admissions older than the window. */
    private countRecordedAdmissions(bucket: RateBucket, now: number): number {
        const oldest = now - this.options.window;
        while (bucket.admissions[0] !== undefined && bucket.admissions[0].at < oldest) {
            bucket.admissions.shift();
        }
        return bucket.admissions.reduce((sum, pass) => sum + pass.units * computeCountedShare(pass.allowed, bucket.allowed), 0);
    }

    /** Replaces the demand for a limit that a peer, or a group of nodes, reports. */
    recordPeerDemand(demand: RateDemand, source: string): void {
        const now = this.clock.getMonotonicTime();
        const bucket = this.getBucket(demand.name, now);
        bucket.peers.recordReport(source, demand, this.getLocalUsage(bucket, now));
    }

    /** Removes the sources that the predicate rejects, because another source's sum includes their nodes. */
    removeSources(isKept: (source: string) => boolean): void {
        this.buckets.forEach(bucket => bucket.peers.removeSources(isKept));
    }

    /** Reduces a source's figures to a part of its nodes, because other sources report the rest. */
    reduceSource(source: string, kept: number): void {
        this.buckets.forEach(bucket => bucket.peers.reduceSource(source, kept));
    }

    /** Returns, for each limit, the demand at this node plus that of the sources that the predicate accepts. */
    listSums(isCounted: (source: string) => boolean): RateDemand[] {
        const now = this.clock.getMonotonicTime();
        return [...this.buckets].map(([name, bucket]) => {
            const own = this.createLocalDemand(name, bucket, now);
            const sum = bucket.peers.computeSum(this.getLocalUsage(bucket, now), isCounted);
            const recent = [...sum.recent];
            addRecentUnits(recent, own.recent);
            return {
                name,
                demand: own.demand + sum.demand,
                passed: own.passed + sum.passed,
                nodes: own.nodes + sum.nodes,
                recent,
                leaving: own.leaving + sum.leaving,
                age: own.passed + sum.passed > 0 ? sum.age * sum.passed / (own.passed + sum.passed) : 0,
            };
        });
    }

    /** Returns the demand at this node for each limit. */
    listDemands(): RateDemand[] {
        const now = this.clock.getMonotonicTime();
        return [...this.buckets].map(([name, bucket]) => this.createLocalDemand(name, bucket, now));
    }

    private createLocalDemand(name: string, bucket: RateBucket, now: number): RateDemand {
        const { passed, demand } = this.getLocalUsage(bucket, now);
        const recent = computeRecent(bucket, now);
        const requested = recent.reduce((sum, units) => sum + units, 0);
        const fleetRequested = Math.max(requested * this.nodeCount, bucket.dated?.requested ?? 0);
        const isExchanged = fleetRequested >= bucket.rate * exchangedRecentShare;
        return {
            name,
            demand,
            passed,
            nodes: 1,
            recent: isExchanged ? recent : [],
            leaving: isExchanged ? this.countLocalLeaving(bucket, now) : 0,
            age: 0,
        };
    }

    private getBucket(name: string, now: number): RateBucket {
        const existing = this.buckets.get(name);
        if (existing !== undefined) {
            return existing;
        }
        // The admissions of this node's previous incarnation are not known, so a bucket starts empty when the process starts.
        const bucket: RateBucket = {
            since: now,
            rate: 0,
            allowed: 0,
            available: 0,
            refilledAt: this.createdAt,
            demand: 0,
            demandAt: now,
            admissions: [],
            peers: PeerUsage.create(this.options.window),
            recent: [],
            recentAt: now,
            classOffset: 0,
            dated: undefined,
        };
        this.buckets.set(name, bucket);
        return bucket;
    }

    /** Returns the units of slack that this node adds to its part of a limit's burst. */
    private getLocalSlack(): number {
        return this.options.slack * burstSlackShare / this.nodeCount;
    }

    private recordDemand(bucket: RateBucket, units: number, now: number): void {
        bucket.demand = computeDemand(bucket, now) + units * millisecondsPerSecond / demandTimeConstantMilliseconds;
        bucket.demandAt = now;
    }

    /** Returns this node's share of the total demand, from 0 to 1; nodes without a report count with the mean of the reported nodes. */
    private computeLocalShare(bucket: RateBucket, now: number): number {
        const { nodes, demand } = bucket.peers.computeSum(this.getLocalUsage(bucket, now), () => true);
        const localDemand = Math.max(bucket.demand, Number.EPSILON);
        const unreportedNodes = Math.max(0, this.nodeCount - 1 - nodes);
        const mean = nodes > 0 ? demand / nodes : localDemand;
        return localDemand / (localDemand + demand + unreportedNodes * mean);
    }
}

/** Returns a bucket's demand, decayed to the given monotonic time. */
function computeDemand(bucket: RateBucket, now: number): number {
    return bucket.demand * Math.exp(-(now - bucket.demandAt) / demandTimeConstantMilliseconds);
}

/** Returns a bucket's recent demand by size class, decayed to the given monotonic time. */
function computeRecent(bucket: RateBucket, now: number): number[] {
    const decay = Math.exp(-(now - bucket.recentAt) / recentTimeConstantMilliseconds);
    return bucket.recent.map(units => units * decay);
}

function recordRecentUnits(bucket: RateBucket, sizeClass: number, units: number, now: number): void {
    const recent = computeRecent(bucket, now);
    while (recent.length <= sizeClass) {
        recent.push(0);
    }
    recent[sizeClass] = (recent[sizeClass] ?? 0) + units * millisecondsPerSecond / recentTimeConstantMilliseconds;
    bucket.recent = recent;
    bucket.recentAt = now;
}
