/**
 * A model of an engine that batches continuously: memory in blocks, preemption by priority, a prefix cache. It knows no
 * clock: {@link stepEngine} says how long the step took. The stand-in's server and the experiments both run on it.
 */

/** The size and speed of an engine. Durations are in milliseconds. */
export interface EngineModelOptions {
    readonly memoryTokens: number;
    readonly blockTokens: number;
    readonly maxBatchSize: number;
    /** Time of a step apart from what follows. */
    readonly baseStepTime: number;
    /** Time that each sequence adds to a step. */
    readonly stepTimePerSequence: number;
    /** Time that each thousand tokens of prompt adds to a step. */
    readonly stepTimePerThousandPromptTokens: number;
    /** Most prompt tokens taken in one step. */
    readonly maxPrefillTokensPerStep: number;
    /** Prompts whose prefix is kept after their sequence has ended. */
    readonly maxCachedPrefixes: number;
}

/** The engine that the demo, the tests and the experiments use. */
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

/** One sequence. */
export interface Sequence {
    readonly id: string;
    readonly priority: number;
    readonly promptTokens: number;
    /** Names the part of the prompt that other prompts share. */
    readonly prefix: string;
    /** The length that the output will have; nobody outside the engine knows it. */
    readonly outputTokens: number;
    generatedTokens: number;
    /** Prompt and output tokens that must be computed before the next token. */
    remainingPrefill: number;
    preemptions: number;
}

/** The engine's state. */
export interface EngineModel {
    readonly options: EngineModelOptions;
    readonly running: Map<string, Sequence>;
    readonly waiting: Map<string, Sequence>;
    readonly prefixes: Map<string, number>;
    preemptions: number;
    /** Tokens computed that had been computed before a preemption. */
    recomputedTokens: number;
}

/** What one step did. */
export interface EngineStep {
    readonly duration: number;
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
        prefixes: new Map(),
        preemptions: 0,
        recomputedTokens: 0,
    };
}

/** Adds a sequence; it starts when there is room. */
export function addSequence(
    engine: EngineModel,
    request: Pick<Sequence, "id" | "priority" | "promptTokens" | "prefix" | "outputTokens">,
): Sequence {
    const sequence: Sequence = { ...request, generatedTokens: 0, remainingPrefill: 0, preemptions: 0 };
    engine.waiting.set(sequence.id, sequence);
    return sequence;
}

/** Removes a sequence wherever it is. */
export function removeSequence(engine: EngineModel, id: string): void {
    engine.waiting.delete(id);
    engine.running.delete(id);
}

/** Tokens of memory in use, in whole blocks. */
export function usedTokens(engine: EngineModel): number {
    return [...engine.running.values()].reduce((sum, sequence) => sum + heldTokens(engine, sequence), 0);
}

function heldTokens(engine: EngineModel, sequence: Sequence): number {
    const { blockTokens } = engine.options;
    return Math.ceil((sequence.promptTokens + sequence.generatedTokens + 1) / blockTokens) * blockTokens;
}

/**
 * Runs one step: admits what fits, preempts where memory has run out, and gives each ready sequence one token.
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
            rememberPrefix(engine, sequence);
        }
    }
    return { duration: stepDuration(engine, prefilled, produced.length), produced, ended, preempted };
}

function stepDuration({ options }: EngineModel, prefilled: number, sequences: number): number {
    const {
        baseStepTime: stepBase,
        stepTimePerSequence: stepPerSequence,
        stepTimePerThousandPromptTokens: stepPerThousandPromptTokens,
    } = options;
    return stepBase + stepPerSequence * sequences + stepPerThousandPromptTokens * prefilled / 1_000;
}

function preemptUntilFit(engine: EngineModel): Sequence[] {
    const preempted: Sequence[] = [];
    while (engine.running.size > 1 && usedTokens(engine) > engine.options.memoryTokens) {
        const victim = lowestPriority(engine);
        engine.running.delete(victim.id);
        engine.waiting.set(victim.id, victim);
        victim.preemptions++;
        engine.preemptions++;
        preempted.push(victim);
    }
    return preempted;
}

function lowestPriority(engine: EngineModel): Sequence {
    return [...engine.running.values()].reduce((lowest, each) => each.priority < lowest.priority ? each : lowest);
}

function admitWaiting(engine: EngineModel): void {
    const { maxBatchSize: maximumBatch, memoryTokens } = engine.options;
    let used = usedTokens(engine);
    for (const sequence of [...engine.waiting.values()].sort((one, other) => other.priority - one.priority)) {
        const needed = heldTokens(engine, sequence);
        const fits = engine.running.size === 0 || used + needed <= memoryTokens;
        if (engine.running.size >= maximumBatch || !fits) {
            return;
        }
        used += needed;
        engine.waiting.delete(sequence.id);
        engine.running.set(sequence.id, sequence);
        startPrefill(engine, sequence);
    }
}

function startPrefill(engine: EngineModel, sequence: Sequence): void {
    const cached = engine.prefixes.get(sequence.prefix) ?? 0;
    engine.recomputedTokens += sequence.generatedTokens;
    sequence.remainingPrefill = Math.max(1, sequence.promptTokens - cached) + sequence.generatedTokens;
}

function prefill(engine: EngineModel): number {
    let budget = engine.options.maxPrefillTokensPerStep;
    let done = 0;
    for (const sequence of engine.running.values()) {
        const taken = Math.min(budget, sequence.remainingPrefill);
        sequence.remainingPrefill -= taken;
        budget -= taken;
        done += taken;
    }
    return done;
}

function rememberPrefix(engine: EngineModel, sequence: Sequence): void {
    if (sequence.prefix === "") {
        return;
    }
    engine.prefixes.delete(sequence.prefix);
    engine.prefixes.set(sequence.prefix, Math.min(sequence.promptTokens, 256));
    if (engine.prefixes.size > engine.options.maxCachedPrefixes) {
        const [oldest] = engine.prefixes.keys();
        engine.prefixes.delete(oldest);
    }
}
