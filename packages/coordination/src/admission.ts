/**
 * Decides whether an engine admits one more generation. Each policy is a function. The objective of a service selects
 * the margins of the forecast policy.
 */
import type { Milliseconds, Objective } from "@verbenaspring/model";
import { conditionalSurvival, type LengthDistribution } from "./lengthForecast.js";

/** The properties of a generation that admission uses. */
export interface GenerationView {
    readonly workKind: "short" | "long";
    readonly promptTokens: number;
    readonly tokensSoFar: number;
    readonly maximumTokens: number;
    readonly distribution: LengthDistribution;
}

/** The properties of an engine that admission uses. */
export interface EngineView {
    /** Capacity of the engine's memory, in tokens of prompts and outputs. */
    readonly memoryTokens: number;
    readonly running: readonly GenerationView[];
}

/** Returns whether `candidate` may start now. */
export type AdmissionPolicy = (engine: EngineView, candidate: GenerationView) => boolean;

/**
 * Returns the priority that is sent to the engine with a new generation. When memory is full, the engine preempts
 * generations of lower priority first.
 */
export type PriorityPolicy = (work: { readonly workKind: "short" | "long"; }, now: Milliseconds) => number;

/** Baseline: the newest generation is preempted first. */
export const oldestFirstPriority: PriorityPolicy = (_, now) => -now;

/** Short generations rank as if they had started this many milliseconds earlier. */
const shortWorkBonus = 1e9;

/**
 * Preempts long generations before short ones, and within each kind the newest first. Preempting one long generation
 * frees the memory of many short ones, each of which would have stalled its caller.
 */
export const shortFirstPriority: PriorityPolicy = ({ workKind }, now) =>
    (workKind === "short" ? shortWorkBonus : 0) - now;

/**
 * Horizons at which memory is forecast, in further tokens decoded by each generation. They are dense enough not to miss
 * the peak.
 */
const horizons: readonly number[] = [0, 16, 32, 48, ...geometricHorizons(64, 16_384, 4)];

/** Horizons that a candidate reaches with a lower probability than this are not checked for it. */
const minReachProbability = 0.05;

function geometricHorizons(first: number, last: number, perDoubling: number): number[] {
    const count = Math.round(Math.log2(last / first) * perDoubling);
    return Array.from({ length: count + 1 }, (_, index) => Math.round(first * 2 ** (index / perDoubling)));
}

/** The memory that admission keeps free. */
export interface AdmissionMargins {
    /** Safety margin, in standard deviations of forecast memory. */
    readonly deviations: number;
    /** Share of memory that long work leaves free for short work, in [0, 1]. */
    readonly shortReserve: number;
}

/** Margins by objective. `stall` admits earlier and leaves more memory to short work than `preemptions`. */
export const marginsByObjective: Readonly<Record<Objective, AdmissionMargins>> = {
    stall: { deviations: 0.5, shortReserve: 0.2 },
    preemptions: { deviations: 1.25, shortReserve: 0.15 },
};

/** Baseline: no admission control. */
export const admitAll: AdmissionPolicy = () => true;

/**
 * Baseline: a fixed number of concurrent generations.
 *
 * @example
 * const policy = admitUpTo(16);
 */
export function admitUpTo(limit: number): AdmissionPolicy {
    return engine => engine.running.length < limit;
}

/** Baseline: the expected final sizes of all generations, by mean output length, must fit in memory together. */
export const admitByMean: AdmissionPolicy = (engine, candidate) => {
    const expectedSize = (generation: GenerationView): number =>
        generation.promptTokens + Math.max(generation.tokensSoFar, generation.distribution.mean);
    return [...engine.running, candidate].reduce((sum, generation) => sum + expectedSize(generation), 0)
        <= engine.memoryTokens;
};

/**
 * Admits a candidate if forecast memory plus the margins fits the engine at every horizon that the candidate is likely
 * to reach. Each generation counts with the probability that it still runs at the horizon, given its tokens so far.
 * Short work is therefore admitted even if memory is forecast to run out after it has ended, and long work leaves a
 * reserve for short work. An idle engine admits every candidate, since waiting would not free any memory.
 *
 * @example
 * const policy = admitByForecast(marginsByObjective.preemptions);
 */
export function admitByForecast({ deviations, shortReserve }: AdmissionMargins): AdmissionPolicy {
    return (engine, candidate) => {
        if (engine.running.length === 0) {
            return true;
        }
        const all = [...engine.running, candidate];
        const reserve = candidate.workKind === "long" ? shortReserve : 0;
        const limit = engine.memoryTokens * (1 - reserve);
        return horizons.every(horizon =>
            !reaches(candidate, horizon) || forecastMemory(all, horizon, deviations) <= limit
        );
    };
}

function reaches(candidate: GenerationView, horizon: number): boolean {
    return conditionalSurvival(candidate.distribution, candidate.tokensSoFar, horizon) >= minReachProbability;
}

/**
 * Forecasts the memory in use, in tokens, once each generation that still runs has decoded `horizon` more tokens.
 *
 * @param deviations standard deviations added to the mean; output lengths are assumed independent
 */
export function forecastMemory(generations: readonly GenerationView[], horizon: number, deviations: number): number {
    let mean = 0;
    let variance = 0;
    for (const generation of generations) {
        const remaining = Math.max(0, generation.maximumTokens - generation.tokensSoFar);
        const probability = horizon > remaining
            ? 0
            : conditionalSurvival(generation.distribution, generation.tokensSoFar, horizon);
        const size = generation.promptTokens + generation.tokensSoFar + horizon;
        mean += probability * size;
        variance += probability * (1 - probability) * size * size;
    }
    return mean + deviations * Math.sqrt(variance);
}

/** Free memory in tokens at the forecast peak of the running generations; negative where they don't all fit. */
export function forecastFreeTokens(engine: EngineView, deviations: number): number {
    const peak = Math.max(...horizons.map(horizon => forecastMemory(engine.running, horizon, deviations)));
    return engine.memoryTokens - peak;
}

/**
 * Forecasts the time until a newly queued attempt starts.
 *
 * @param ahead attempts queued before it
 * @param running attempts in progress
 * @param meanDuration mean duration of one attempt
 *
 * @example
 * const wait = expectedWait(3, 8, 2_000); // 1,000 ms
 */
export function expectedWait(ahead: number, running: number, meanDuration: Milliseconds): Milliseconds {
    return Math.round((ahead + 1) * meanDuration / Math.max(1, running));
}
