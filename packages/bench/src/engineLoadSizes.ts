/**
 * The loads that {@link playEngineLoad} plays: two sizes of one deployment, in which every seventh engine or so leaves
 * every few seconds.
 */
import type { EngineLoad, PromptSizes, StreamKind } from "./engineLoad.js";

const similarSizes: PromptSizes = { spread: 0.35, maximumFactor: 2 };
/** The largest tenth of prompts is about five times as large as the smallest. */
const differentSizes: PromptSizes = { spread: 0.6, maximumFactor: 2.7 };

const report: StreamKind = {
    name: "report",
    requestsPerSecond: 19.7,
    promptTokens: 2_830,
    promptSizes: similarSizes,
    outputTokens: 640,
    spread: 0.9,
    targetLatency: 1_800,
    deadline: 39_000,
    priority: 0,
    canResume: false,
};
const check: StreamKind = {
    ...report,
    name: "check",
    requestsPerSecond: 21.3,
    promptTokens: 2_200,
    outputTokens: 11,
    spread: 0.6,
    targetLatency: 1_500,
    deadline: 6_000,
    priority: 1,
};

/** The names of the sizes. */
export type EngineLoadSize = "small" | "grown" | "mixed" | "prompts";

/** Gateways are so many, and so slow, that several choose before they know of each other. Memory is short. */
const grown: EngineLoad = {
    gateways: 28,
    engines: 35,
    slots: 24,
    memoryTokens: 21_907,
    kinds: [report, check],
    departures: { interval: 3_300, engines: 5, notice: 1_300 },
    latency: { minimum: 3, spread: 25 },
    duration: 40_000,
};

/** Loads by size, at a load of 1. */
export const engineLoads: Readonly<Record<EngineLoadSize, EngineLoad>> = {
    /** Five gateways. The memory of the engines suffices for all requests. */
    small: {
        gateways: 5,
        engines: 8,
        slots: 24,
        memoryTokens: 34_359,
        kinds: [
            { ...report, requestsPerSecond: 3.25, outputTokens: 928, spread: 0.7 },
            { ...check, requestsPerSecond: 4.5 },
        ],
        departures: { interval: 3_300, engines: 1, notice: 1_300 },
        latency: { minimum: 3, spread: 6 },
        duration: 40_000,
    },
    grown,
    /** Requests of very different sizes compete for short memory. */
    mixed: { ...grown, kinds: grown.kinds.map(kind => ({ ...kind, promptSizes: differentSizes })) },
    /** Engines have memory to spare, but hardly the time to read all prompts. */
    prompts: {
        ...grown,
        kinds: [{ ...check, promptSizes: differentSizes, requestsPerSecond: 140 }],
        departures: { ...grown.departures, engines: 0 },
    },
};

/**
 * Returns the load with all request rates multiplied by a factor.
 *
 * @example
 * playEngineLoad(scaleLoad(engineLoads.grown, 1.35), 1);
 */
export function scaleLoad(load: EngineLoad, factor: number): EngineLoad {
    const scaleKind = (kind: StreamKind): StreamKind => ({
        ...kind,
        requestsPerSecond: factor * kind.requestsPerSecond,
    });
    return { ...load, kinds: load.kinds.map(scaleKind) };
}
