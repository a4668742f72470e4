import { EventLog } from "../common/eventLog.js";
import { LogEvents } from "../common/logEvents.js";
import { FleetEndpoint } from "../fleet/fleetEndpoint.js";
import { Placement } from "./types.js";

/** Latest observations that are kept for each service. */
const keptObservations = 128;
/** Observations from which a speed is computed: fewer could be those of one slow or wrongly estimated prompt. */
const minimumObservations = 12;
/** Observations after which the speed is computed again. */
const observationsPerEstimate = 8;
/** Pairs of prompts of different length from which the speed is computed. */
const minimumPairs = 256;
/** Difference of two prompts, in tokens, from which their times are compared: less is lost in the noise of single times. */
const minimumDifference = 1_024;
/** Shortest prompt that is observed, in tokens: the time of a shorter one says little of the speed. */
const minimumTokens = 256;
/** Load of an engine, as a share of its slots, up to which a prompt is observed: the steps of a fuller batch delay it. */
const lightLoadShare = 0.5;
/** Slowness that an engine may state while a prompt is observed. */
const usualSlowness = 1.1;
/** Factor on the stated speed from which engines count as faster than stated; noise alone does not show one. */
const minimumFactor = 1.5;
/** Largest factor on the stated speed that is believed. */
const maximumFactor = 4;
/** Length of a long prompt, as a share of the longest one. */
const longPromptShare = 0.5;
/** Largest speed as a multiple of that of single long prompts, whose times also hold what does not depend on their length. */
const maximumFactorOnSingle = 1.5;
/** Change of a speed below which it stays, as a share of it, so that expected times of one service stay comparable. */
const minimumChange = 0.05;

/** Tells how fast the engines of a service process prompts. */
export interface PromptSpeedSource {
    /** Returns the prompt tokens that an engine of a service processes in a millisecond. */
    getPromptSpeed(service: string): number;
}

/** A prompt that an engine is processing under light load. */
export interface PromptObservation {
    readonly service: string;
    readonly tokens: number;
    /** When it was sent, in monotonic milliseconds. */
    readonly sentAt: number;
}

/** The time from sending a prompt to the first event of its response. */
interface ObservedPrompt {
    readonly tokens: number;
    readonly milliseconds: number;
}

/** What is known of the engines of one service. */
interface LearnedSpeed {
    /** The latest prompts, the oldest first. */
    readonly prompts: ObservedPrompt[];
    /** Speeds that peers have learned, by the peers' names. */
    readonly peerSpeeds: Map<string, number>;
    observations: number;
    speed: number;
}

/** A speed that a node has learned for the engines of a service, in prompt tokens a millisecond. */
export interface ServicePromptSpeed {
    readonly service: string;
    readonly speed: number;
}

/** Settings of the speed of engines. */
export interface EngineSpeedSettings {
    /** Stated prompt tokens that an engine processes in a millisecond. */
    readonly promptTokensPerMillisecond: number;
    /** Whether the speed of faster engines is learned from their responses. */
    readonly learnsSpeed: boolean;
}

/**
 * Learns how fast the engines of each service process prompts, from the times to the first event of streams. Engines are assumed to
 * be at least as fast as stated; that single ones are slow is known from their own latency ratio.
 */
export class EngineSpeeds implements PromptSpeedSource {
    private readonly learned = new Map<string, LearnedSpeed>();
    /** Services with endpoints that state how slow their host is: a speed learned while hosts are calm is not what they keep up. */
    private readonly onSharedHosts = new Set<string>();

    private constructor(
        private readonly settings: EngineSpeedSettings,
        private readonly log: EventLog,
        private readonly handleChange: (service: string, speed: number) => void,
    ) {}

    /** `handleChange` is called with each new speed. */
    static create(settings: EngineSpeedSettings, log: EventLog, handleChange: (service: string, speed: number) => void): EngineSpeeds {
        return new EngineSpeeds(settings, log, handleChange);
    }

    getPromptSpeed(service: string): number {
        return this.learned.get(service)?.speed ?? this.settings.promptTokensPerMillisecond;
    }

    /** Returns the speed of a service's engines as a multiple of the stated one. */
    getFactor(service: string): number {
        return this.getPromptSpeed(service) / this.settings.promptTokensPerMillisecond;
    }

    /** Starts to observe a prompt before it is added to the load of its engine; undefined if its time would not show the speed. */
    startObservation({ endpoint, tokensToRead, cacheSource }: Placement, sentAt: number): PromptObservation | undefined {
        if (endpoint.slowness.isKnown()) {
            this.keepStatedSpeed(endpoint.entry.service);
        }
        const isObserved = this.settings.learnsSpeed && cacheSource === undefined && tokensToRead >= minimumTokens;
        return isObserved && !this.onSharedHosts.has(endpoint.entry.service) && isLightlyLoaded(endpoint, sentAt)
            ? { service: endpoint.entry.service, tokens: tokensToRead, sentAt }
            : undefined;
    }

    /** Records the first event of the response to an observed prompt. */
    recordFirstEvent({ service, tokens, sentAt }: PromptObservation, at: number): void {
        if (this.onSharedHosts.has(service)) {
            return;
        }
        const known = this.getOrCreate(service);
        known.prompts.push({ tokens, milliseconds: Math.max(1, at - sentAt) });
        known.observations += 1;
        if (known.prompts.length > keptObservations) {
            known.prompts.shift();
        }
        if (hasLearned(known) && known.observations % observationsPerEstimate === 0) {
            this.updateSpeed(service, known, computeSpeed(known.prompts));
        }
    }

    /** Returns the speeds that this node has learned by itself. */
    listSpeeds(): ServicePromptSpeed[] {
        return [...this.learned].filter(([, known]) => hasLearned(known)).map(([service, { speed }]) => ({ service, speed }));
    }

    /** Records a speed that a peer has learned. It holds until this node has learned one by itself. */
    recordPeerSpeed({ service, speed }: ServicePromptSpeed, peer: string): void {
        if (!this.settings.learnsSpeed || this.onSharedHosts.has(service) || !Number.isFinite(speed)) {
            return;
        }
        const known = this.getOrCreate(service);
        known.peerSpeeds.set(peer, speed);
        if (!hasLearned(known)) {
            this.updateSpeed(service, known, findMedian([...known.peerSpeeds.values()]));
        }
    }

    /** Takes the stated speed for a service from now on, whatever was learned before. */
    private keepStatedSpeed(service: string): void {
        this.onSharedHosts.add(service);
        if (this.learned.delete(service)) {
            this.handleChange(service, this.settings.promptTokensPerMillisecond);
        }
    }

    private getOrCreate(service: string): LearnedSpeed {
        const known = this.learned.get(service)
            ?? { prompts: [], peerSpeeds: new Map<string, number>(), observations: 0, speed: this.settings.promptTokensPerMillisecond };
        this.learned.set(service, known);
        return known;
    }

    private updateSpeed(service: string, known: LearnedSpeed, measured: number): void {
        const stated = this.settings.promptTokensPerMillisecond;
        const factor = Math.min(maximumFactor, measured / stated);
        const speed = factor < minimumFactor ? stated : factor * stated;
        if (Math.abs(speed - known.speed) <= known.speed * minimumChange) {
            return;
        }
        known.speed = speed;
        this.log.log(LogEvents.EngineSpeedChanged, { service, tokensPerMillisecond: Number(speed.toFixed(1)), stated });
        this.handleChange(service, speed);
    }
}

function hasLearned({ prompts }: LearnedSpeed): boolean {
    return prompts.length >= minimumObservations;
}

function isLightlyLoaded(endpoint: FleetEndpoint, now: number): boolean {
    const isQueueEmpty = endpoint.countPromptTokens() === 0 && endpoint.countReportedRequests(now) <= endpoint.entry.slots * lightLoadShare;
    return isQueueEmpty && endpoint.slowness.computeFactor(now) <= usualSlowness;
}

/**
 * Returns the speed that prompts show, in tokens a millisecond: the median over pairs of prompts of different length, in which times
 * that do not depend on the length cancel out. It bears some times that are too long, and some prompts that were cached without this
 * node's knowledge. Where there are too few pairs, or their times contradict those of single prompts, the latter decide.
 */
function computeSpeed(prompts: readonly ObservedPrompt[]): number {
    const sorted = [...prompts].sort((left, right) => left.tokens - right.tokens);
    const timesPerToken: number[] = [];
    sorted.forEach((longer, index) => {
        for (const shorter of sorted.slice(0, index)) {
            const difference = longer.tokens - shorter.tokens;
            if (difference >= minimumDifference) {
                timesPerToken.push((longer.milliseconds - shorter.milliseconds) / difference);
            }
        }
    });
    const longest = sorted[sorted.length - 1]?.tokens ?? 0;
    const long = sorted.filter(({ tokens }) => tokens >= longest * longPromptShare);
    const singleSpeed = findMedian(long.map(({ tokens, milliseconds }) => tokens / milliseconds));
    const pairTime = timesPerToken.length >= minimumPairs ? findMedian(timesPerToken) : 0;
    return pairTime <= 0 ? singleSpeed : Math.min(1 / pairTime, singleSpeed * maximumFactorOnSingle);
}

function findMedian(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
