/**
 * Decides whether an engine takes one more generation. Each policy is a function; a service's objective picks the
 * quantile of the forecast one.
 */
import type { Milliseconds, Objective } from "@verbenaspring/model";
import { conditionalSurvival, type LengthDistribution } from "./lengthForecast.js";

/** A generation as admission sees it. */
export interface GenerationView {
    readonly workKind: "short" | "long";
    readonly promptTokens: number;
    readonly tokensSoFar: number;
    readonly maximumTokens: number;
    readonly distribution: LengthDistribution;
}

/** An engine as admission sees it. */
export interface EngineView {
    /** Tokens of prompts and outputs that the engine's memory holds. */
    readonly memoryTokens: number;
    readonly running: readonly GenerationView[];
}

/** Decides whether `candidate` may start now. */
export type AdmissionPolicy = (engine: EngineView, candidate: GenerationView) => boolean;

/** The priority that an engine is told at the start of a generation; higher is kept longer when memory is full. */
export type PriorityPolicy = (work: { readonly workKind: "short" | "long"; }, now: Milliseconds) => number;

/** Baseline: what started first is kept longest. */
export const oldestFirstPriority: PriorityPolicy = (_, now) => -now;

/** How much earlier a short generation counts as started, in milliseconds. */
const shortPriority = 1e9;

/**
 * Short work is kept before long, and within each what started first. One long generation set aside frees the memory of
 * many short ones, whose callers would each have met a silence.
 */
export const shortFirstPriority: PriorityPolicy = ({ workKind }, now) =>
    (workKind === "short" ? shortPriority : 0) - now;

/** Points ahead, in tokens decoded by each generation, at which memory is forecast; dense enough to meet its peak. */
const horizons: readonly number[] = [0, 16, 32, 48, ...geometricHorizons(64, 16_384, 4)];

/** A horizon that fewer than this share of such candidates reach is not held against one. */
const likelyToReach = 0.05;

function geometricHorizons(first: number, last: number, perDoubling: number): number[] {
    const count = Math.round(Math.log2(last / first) * perDoubling);
    return Array.from({ length: count + 1 }, (_, index) => Math.round(first * 2 ** (index / perDoubling)));
}

/** How much memory admission keeps free. */
export interface AdmissionMargins {
    /** Standard deviations of forecast memory. */
    readonly deviations: number;
    /** The share of memory that long work leaves to short work. */
    readonly shortReserve: number;
}

/** What each objective keeps free: `stall` admits earlier, and leaves more to short work. */
export const marginsByObjective: Readonly<Record<Objective, AdmissionMargins>> = {
    stall: { deviations: 0.5, shortReserve: 0.2 },
    preemptions: { deviations: 1.25, shortReserve: 0.15 },
};

/** Baseline: no admission control. */
export const admitAll: AdmissionPolicy = () => true;

/**
 * Baseline: a fixed number of generations at once.
 *
 * @example
 * const policy = admitUpTo(16);
 */
export function admitUpTo(limit: number): AdmissionPolicy {
    return engine => engine.running.length < limit;
}

/** Baseline: every output is taken to have its mean length, and the sum of all must fit. */
export const admitByMean: AdmissionPolicy = (engine, candidate) => {
    const whole = (generation: GenerationView): number =>
        generation.promptTokens + Math.max(generation.tokensSoFar, generation.distribution.mean);
    return [...engine.running, candidate].reduce((sum, generation) => sum + whole(generation), 0)
        <= engine.memoryTokens;
};

/**
 * Admits while forecast memory, at every horizon that the candidate is likely to reach, stays under the engine's with
 * the margins to spare. A generation counts with its chance of still running there, given the tokens
 * it has so far. Short work is so admitted although long work may be short of memory after it has gone, and long work
 * leaves a small reserve to it. An idle engine admits whatever comes, since waiting can't help.
 *
 * @example
 * const policy = admitByForecast(marginsOfObjective.preemptions);
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
    return conditionalSurvival(candidate.distribution, candidate.tokensSoFar, horizon) >= likelyToReach;
}

/**
 * Forecast memory in tokens once each generation that still runs has decoded `horizon` more: the mean and
 * standard `deviations`, taking outputs as independent.
 */
export function forecastMemory(generations: readonly GenerationView[], horizon: number, deviations: number): number {
    let mean = 0;
    let variance = 0;
    for (const generation of generations) {
        const left = Math.max(0, generation.maximumTokens - generation.tokensSoFar);
        const alive = horizon > left
            ? 0
            : conditionalSurvival(generation.distribution, generation.tokensSoFar, horizon);
        const size = generation.promptTokens + generation.tokensSoFar + horizon;
        mean += alive * size;
        variance += alive * (1 - alive) * size * size;
    }
    return mean + deviations * Math.sqrt(variance);
}

/** Tokens that the running generations are expected to leave free at the nearest tight horizon. */
export function forecastFreeTokens(engine: EngineView, deviations: number): number {
    const most = Math.max(...horizons.map(horizon => forecastMemory(engine.running, horizon, deviations)));
    return engine.memoryTokens - most;
}

/**
 * How long until `ahead` queued attempts and the next one have started, when `running` are in progress and one takes
 * `meanDuration` on average.
 *
 * @example
 * const wait = expectedWait(3, 8, 2_000); // one second
 */
export function expectedWait(ahead: number, running: number, meanDuration: Milliseconds): Milliseconds {
    return Math.round((ahead + 1) * meanDuration / Math.max(1, running));
}
