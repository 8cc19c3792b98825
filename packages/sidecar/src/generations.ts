/**
 * Generations: keeps the tokens that arrive from the backend server, and sends them to the reader within its window.
 */
import { backoff, type ForecastSubject, recordLength, type SidecarMessage } from "@verbenaspring/coordination";
import type { AttemptId, EntryIncarnation, FailureType, GenerationId, RunOutcome } from "@verbenaspring/model";
import type { Generation, Reader, SidecarState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

/** Resumes without a new token after which a generation is lost. */
const maxResumes = 4;
/** The range of the delay before a broken stream is resumed, in milliseconds. */
const minResumeDelay = 100;
const maxResumeDelay = 1_000;
/** How often an unacknowledged conclusion is sent again, in milliseconds. */
const conclusionResendInterval = 3_000;
/** The weight of the newest generation in the exponentially weighted mean duration. */
const durationWeight = 0.1;

/** Attaches a reader that has every token below index `from`, and sends it the rest. */
export function attachReader(
    transaction: Transaction,
    generation: Generation,
    entry: EntryIncarnation,
    attemptId: AttemptId,
    from: number,
): void {
    generation.reader = { entry, attemptId, sentTokens: from, acknowledgedTokens: from, conclusionSentAt: undefined };
    generation.detachedAt = undefined;
    send(transaction, entry, { kind: "started", attemptId, generationId: generation.id });
    sendPending(transaction, generation);
}

/** Removes the reader of a generation, which starts its detached window. */
export function detachReader(transaction: Transaction, generation: Generation): void {
    generation.reader = undefined;
    generation.detachedAt ??= transaction.now;
}

/** Sends the reader the remaining tokens as far as its window allows, and the conclusion after the last one. */
export function sendPending(transaction: Transaction, generation: Generation): void {
    const reader = generation.reader;
    if (reader === undefined) {
        return;
    }
    const limit = Math.min(
        generation.texts.length,
        reader.acknowledgedTokens + transaction.state.options.unacknowledgedTokens,
    );
    if (reader.sentTokens < limit) {
        const texts = generation.texts.slice(reader.sentTokens, limit);
        const { attemptId, sentTokens: from } = reader;
        if (send(transaction, reader.entry, { kind: "tokens", attemptId, generationId: generation.id, from, texts })) {
            reader.sentTokens = limit;
        }
    }
    sendConclusion(transaction, generation);
}

function sendConclusion(transaction: Transaction, generation: Generation): void {
    const reader = generation.reader;
    if (reader === undefined || reader.conclusionSentAt !== undefined) {
        return;
    }
    const conclusion = createConclusion(generation, reader);
    if (conclusion !== undefined && send(transaction, reader.entry, conclusion)) {
        reader.conclusionSentAt = transaction.now;
    }
}

/** The final message to a reader; undefined while it still lacks tokens or the generation is running. */
function createConclusion(generation: Generation, reader: Reader): SidecarMessage | undefined {
    const { attemptId } = reader;
    if (generation.failure !== undefined) {
        const { type, outcome } = generation.failure;
        return { kind: "failed", attemptId, failureType: type, outcome };
    }
    if (generation.response !== undefined) {
        return { kind: "response", attemptId, ...generation.response };
    }
    if (generation.end !== undefined && reader.sentTokens >= generation.end.count) {
        return { kind: "end", attemptId, ...generation.end };
    }
    return undefined;
}

/**
 * Sends what could not be sent earlier for want of an open link. Sends a conclusion again that the entry has not
 * acknowledged, since it may have been lost with a link.
 */
export function checkReader(transaction: Transaction, generation: Generation): void {
    const { reader } = generation;
    if (
        reader?.conclusionSentAt !== undefined && transaction.now - reader.conclusionSentAt >= conclusionResendInterval
    ) {
        reader.conclusionSentAt = undefined;
    }
    sendPending(transaction, generation);
}

/** Handles tokens from the engine. Duplicates are dropped; after a gap the missing tokens are requested again. */
export function handleTokens(
    transaction: Transaction,
    generation: Generation,
    from: number,
    texts: readonly string[],
): void {
    if (from > generation.texts.length) {
        requestMissingTokens(transaction, generation);
        return;
    }
    const newTexts = texts.slice(generation.texts.length - from);
    generation.texts.push(...newTexts);
    generation.resumeCount = 0;
    transaction.state.keptTokens += newTexts.length;
    sendPending(transaction, generation);
}

/** Handles the engine's end marker. If tokens are missing they are requested first. */
export function handleEnd(
    transaction: Transaction,
    generation: Generation,
    count: number,
    finishReason: string,
): void {
    if (count !== generation.texts.length) {
        requestMissingTokens(transaction, generation);
        return;
    }
    generation.end = { count, finishReason };
    recordLength(transaction.state.forecast, forecastSubject(generation), count);
    observe(transaction, { event: "generation_ended", generationId: generation.id, tokens: count });
    finishGeneration(transaction, generation);
}

/** Handles the whole answer of a plain service. */
export function handleResponse(
    transaction: Transaction,
    generation: Generation,
    response: NonNullable<Generation["response"]>,
): void {
    generation.response = response;
    observe(transaction, { event: "generation_ended", generationId: generation.id, tokens: 1 });
    finishGeneration(transaction, generation);
}

/** Ends a generation whose answer is not available. */
export function failGeneration(
    transaction: Transaction,
    generation: Generation,
    type: FailureType,
    outcome: RunOutcome,
): void {
    if (generation.endedAt !== undefined) {
        return;
    }
    generation.failure = { type, outcome };
    observe(transaction, { event: "generation_failed", generationId: generation.id, reason: type });
    finishGeneration(transaction, generation);
}

function finishGeneration(transaction: Transaction, generation: Generation): void {
    const { state, now } = transaction;
    state.running.delete(generation.id);
    generation.endedAt = now;
    generation.resumeAt = undefined;
    const { workKind } = generation.work;
    state.meanDurations[workKind] += durationWeight * (now - generation.startedAt - state.meanDurations[workKind]);
    sendPending(transaction, generation);
}

function requestMissingTokens(transaction: Transaction, generation: Generation): void {
    transaction.effects.push({
        kind: "resumeGeneration",
        generationId: generation.id,
        from: generation.texts.length,
    });
}

/** Handles a broken stream: schedules a resume from the next token, or fails the generation after too many resumes. */
export function handleStreamBroken(transaction: Transaction, generation: Generation): void {
    if (generation.endedAt !== undefined) {
        return;
    }
    generation.resumeCount++;
    if (generation.resumeCount > maxResumes) {
        failGeneration(transaction, generation, "generation_lost", outcomeOfLoss(generation));
        return;
    }
    generation.resumeAt = transaction.now
        + backoff(generation.resumeCount, minResumeDelay, maxResumeDelay, transaction.source.random);
}

/** Resumes a broken stream whose delay has passed. */
export function resumeIfDue(transaction: Transaction, generation: Generation): void {
    if (generation.resumeAt === undefined || generation.resumeAt > transaction.now) {
        return;
    }
    generation.resumeAt = undefined;
    requestMissingTokens(transaction, generation);
}

/** The run outcome to report for a generation that was lost. */
export function outcomeOfLoss(generation: Generation): RunOutcome {
    return generation.texts.length > 0 ? "generation_lost" : "outcome_unknown";
}

/** Forgets a generation and its tokens, and cancels it at the engine if it is still running. */
export function forgetGeneration(transaction: Transaction, generation: Generation): void {
    const { state, effects } = transaction;
    if (generation.endedAt === undefined) {
        effects.push({ kind: "cancelGeneration", generationId: generation.id });
    }
    state.running.delete(generation.id);
    state.generations.delete(generation.id);
    state.keptTokens -= generation.texts.length;
}

/** Finds the generation that an event of the backend server concerns. */
export function findGeneration(state: SidecarState, generationId: GenerationId): Generation | undefined {
    return state.generations.get(generationId);
}

/** The properties that select the pool in which a generation's length is recorded. */
export function forecastSubject(generation: Pick<Generation, "work">): ForecastSubject {
    return generation.work;
}
