/**
 * Model of an inference engine with continuous batching: memory in blocks, preemption by priority, and a prefix cache.
 * It has no clock: {@link stepEngine} returns the duration of the step. The stand-in's HTTP server and the experiments
 * both use it.
 */

/** Size and speed of an engine. Durations are in milliseconds. */
export interface EngineModelOptions {
    readonly memoryTokens: number;
    readonly blockTokens: number;
    readonly maxBatchSize: number;
    /** Base duration of a step. */
    readonly baseStepTime: number;
    /** Added to the duration for each sequence that gets a token. */
    readonly stepTimePerSequence: number;
    /** Added to the duration for each thousand prefilled tokens. */
    readonly stepTimePerThousandPromptTokens: number;
    readonly maxPrefillTokensPerStep: number;
    /** Prefixes kept after their sequences have ended. */
    readonly maxCachedPrefixes: number;
}

/** Engine options of the demo, the tests and the experiments. */
export const defaultEngine: EngineModelOptions = {
    memoryTokens: 16_384,
    blockTokens: 16,
    maxBatchSize: 64,
    baseStepTime: 12,
    stepTimePerSequence: 0.25,
    stepTimePerThousandPromptTokens: 20,
    maxPrefillTokensPerStep: 1_024,
    maxCachedPrefixes: 256,
};

/** A sequence: a prompt and the output generated for it. */
export interface Sequence {
    readonly id: string;
    /** Sequences of higher priority start first and are preempted last. */
    readonly priority: number;
    readonly promptTokens: number;
    /** Identifies the part of the prompt that other prompts share; empty for none. */
    readonly prefix: string;
    /** Length of the complete output, which is not known outside the engine. */
    readonly outputTokens: number;
    generatedTokens: number;
    /** Prompt and output tokens to compute before the next token is generated. */
    remainingPrefill: number;
    preemptions: number;
}

/** The engine's state. */
export interface EngineModel {
    readonly options: EngineModelOptions;
    readonly running: Map<string, Sequence>;
    readonly waiting: Map<string, Sequence>;
    /** Number of cached tokens of each prefix, oldest prefix first. */
    readonly cachedPrefixes: Map<string, number>;
    preemptions: number;
    /** Output tokens computed again after a preemption. */
    recomputedTokens: number;
}

/** Result of a step. */
export interface EngineStep {
    readonly duration: number;
    /** Sequences that got a token. */
    readonly produced: readonly Sequence[];
    readonly ended: readonly Sequence[];
    readonly preempted: readonly Sequence[];
}

/**
 * Creates an idle engine.
 *
 * @example
 * const engine = createEngine(defaultEngine);
 */
export function createEngine(options: EngineModelOptions): EngineModel {
    return {
        options,
        running: new Map(),
        waiting: new Map(),
        cachedPrefixes: new Map(),
        preemptions: 0,
        recomputedTokens: 0,
    };
}

/** Adds a sequence, which starts when batch size and free memory allow it. */
export function addSequence(
    engine: EngineModel,
    request: Pick<Sequence, "id" | "priority" | "promptTokens" | "prefix" | "outputTokens">,
): Sequence {
    const sequence: Sequence = { ...request, generatedTokens: 0, remainingPrefill: 0, preemptions: 0 };
    engine.waiting.set(sequence.id, sequence);
    return sequence;
}

/** Removes a running or waiting sequence. */
export function removeSequence(engine: EngineModel, id: string): void {
    engine.waiting.delete(id);
    engine.running.delete(id);
}

/** Returns the tokens of memory in use, in whole blocks. */
export function usedTokens(engine: EngineModel): number {
    return [...engine.running.values()].reduce((sum, sequence) => sum + allocatedTokens(engine, sequence), 0);
}

function allocatedTokens(engine: EngineModel, sequence: Sequence): number {
    const { blockTokens } = engine.options;
    return Math.ceil((sequence.promptTokens + sequence.generatedTokens + 1) / blockTokens) * blockTokens;
}

/**
 * Runs one step: preempts sequences while memory is exceeded, admits waiting ones that fit, prefills, and generates one
 * token for each sequence whose prefill is done.
 *
 * @example
 * const step = stepEngine(engine);
 */
export function stepEngine(engine: EngineModel): EngineStep {
    const preempted = preemptUntilFit(engine);
    admitWaiting(engine);
    const prefilled = prefill(engine);
    const produced: Sequence[] = [];
    const ended: Sequence[] = [];
    for (const sequence of [...engine.running.values()]) {
        if (sequence.remainingPrefill > 0) {
            continue;
        }
        sequence.generatedTokens++;
        produced.push(sequence);
        if (sequence.generatedTokens >= sequence.outputTokens) {
            ended.push(sequence);
            engine.running.delete(sequence.id);
            cachePrefix(engine, sequence);
        }
    }
    return { duration: stepDuration(engine, prefilled, produced.length), produced, ended, preempted };
}

function stepDuration({ options }: EngineModel, prefilled: number, sequences: number): number {
    const {
        baseStepTime,
        stepTimePerSequence,
        stepTimePerThousandPromptTokens,
    } = options;
    return baseStepTime + stepTimePerSequence * sequences + stepTimePerThousandPromptTokens * prefilled / 1_000;
}

function preemptUntilFit(engine: EngineModel): Sequence[] {
    const preempted: Sequence[] = [];
    while (engine.running.size > 1 && usedTokens(engine) > engine.options.memoryTokens) {
        const victim = findLowestPriority(engine);
        engine.running.delete(victim.id);
        engine.waiting.set(victim.id, victim);
        victim.preemptions++;
        engine.preemptions++;
        preempted.push(victim);
    }
    return preempted;
}

function findLowestPriority(engine: EngineModel): Sequence {
    return [...engine.running.values()].reduce((lowest, each) => each.priority < lowest.priority ? each : lowest);
}

function admitWaiting(engine: EngineModel): void {
    const { maxBatchSize, memoryTokens } = engine.options;
    let used = usedTokens(engine);
    for (const sequence of [...engine.waiting.values()].sort((one, other) => other.priority - one.priority)) {
        const needed = allocatedTokens(engine, sequence);
        const fits = engine.running.size === 0 || used + needed <= memoryTokens;
        if (engine.running.size >= maxBatchSize || !fits) {
            return;
        }
        used += needed;
        engine.waiting.delete(sequence.id);
        engine.running.set(sequence.id, sequence);
        startPrefill(engine, sequence);
    }
}

function startPrefill(engine: EngineModel, sequence: Sequence): void {
    const cached = engine.cachedPrefixes.get(sequence.prefix) ?? 0;
    engine.recomputedTokens += sequence.generatedTokens;
    sequence.remainingPrefill = Math.max(1, sequence.promptTokens - cached) + sequence.generatedTokens;
}

function prefill(engine: EngineModel): number {
    let remaining = engine.options.maxPrefillTokensPerStep;
    let prefilled = 0;
    for (const sequence of engine.running.values()) {
        const chunk = Math.min(remaining, sequence.remainingPrefill);
        sequence.remainingPrefill -= chunk;
        remaining -= chunk;
        prefilled += chunk;
    }
    return prefilled;
}

function cachePrefix(engine: EngineModel, sequence: Sequence): void {
    if (sequence.prefix === "") {
        return;
    }
    engine.cachedPrefixes.delete(sequence.prefix);
    engine.cachedPrefixes.set(sequence.prefix, Math.min(sequence.promptTokens, 256));
    if (engine.cachedPrefixes.size > engine.options.maxCachedPrefixes) {
        const [oldest] = engine.cachedPrefixes.keys();
        engine.cachedPrefixes.delete(oldest);
    }
}
