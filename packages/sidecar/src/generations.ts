/**
 * Generations: tokens come in from the backend server, are kept, and go out to the reader within its window.
 */
import { backoff, type ForecastSubject, recordLength, type SidecarMessage } from "@verbenaspring/coordination";
import type { AttemptId, EntryIncarnation, FailureType, GenerationId, RunOutcome } from "@verbenaspring/model";
import type { Generation, Reader, SidecarState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

const mostResumeTries = 4;
const resumeBase = 100;
const resumeLongest = 1_000;
/** How often an unacknowledged conclusion is sent again, in milliseconds. */
const conclusionInterval = 3_000;
/** Weight of the newest generation in the mean duration. */
const durationWeight = 0.1;

/** Attaches a reader that has every token below `from`, and sends what it lacks. */
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

/** Leaves a generation without a reader. */
export function detachReader(transaction: Transaction, generation: Generation): void {
    generation.reader = undefined;
    generation.detachedAt ??= transaction.now;
}

/** Sends the reader what it lacks, as far as its window allows. */
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
    const conclusion = conclusionOf(generation, reader);
    if (conclusion !== undefined && send(transaction, reader.entry, conclusion)) {
        reader.conclusionSentAt = transaction.now;
    }
}

function conclusionOf(generation: Generation, reader: Reader): SidecarMessage | undefined {
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
 * Sends what no open link could carry when it came, and again a conclusion that the entry has not acknowledged: it may
 * have been lost with a link.
 */
export function tendReader(transaction: Transaction, generation: Generation): void {
    const { reader } = generation;
    if (reader?.conclusionSentAt !== undefined && transaction.now - reader.conclusionSentAt >= conclusionInterval) {
        reader.conclusionSentAt = undefined;
    }
    sendPending(transaction, generation);
}

/** Takes tokens from the engine. Tokens had before are dropped; a gap is asked for again. */
export function receiveTokens(
    transaction: Transaction,
    generation: Generation,
    from: number,
    texts: readonly string[],
): void {
    if (from > generation.texts.length) {
        requestMissing(transaction, generation);
        return;
    }
    const fresh = texts.slice(generation.texts.length - from);
    generation.texts.push(...fresh);
    generation.resumeCount = 0;
    transaction.state.keptTokens += fresh.length;
    sendPending(transaction, generation);
}

/** Takes the engine's end marker. */
export function receiveEnd(
    transaction: Transaction,
    generation: Generation,
    count: number,
    finishReason: string,
): void {
    if (count !== generation.texts.length) {
        requestMissing(transaction, generation);
        return;
    }
    generation.end = { count, finishReason };
    recordLength(transaction.state.forecast, forecastSubject(generation), count);
    observe(transaction, { event: "generation_ended", generationId: generation.id, tokens: count });
    finish(transaction, generation);
}

/** Takes the whole answer of a plain service. */
export function receiveResponse(
    transaction: Transaction,
    generation: Generation,
    response: NonNullable<Generation["response"]>,
): void {
    generation.response = response;
    observe(transaction, { event: "generation_ended", generationId: generation.id, tokens: 1 });
    finish(transaction, generation);
}

/** Ends a generation whose answer can't be had. */
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
    finish(transaction, generation);
}

function finish(transaction: Transaction, generation: Generation): void {
    const { state, now } = transaction;
    state.running.delete(generation.id);
    generation.endedAt = now;
    generation.resumeAt = undefined;
    const { workKind } = generation.work;
    state.meanDurations[workKind] += durationWeight * (now - generation.startedAt - state.meanDurations[workKind]);
    sendPending(transaction, generation);
}

function requestMissing(transaction: Transaction, generation: Generation): void {
    transaction.effects.push({
        kind: "resumeGeneration",
        generationId: generation.id,
        from: generation.texts.length,
    });
}

/** The engine's stream broke: tries to go on from the next token, and gives the generation up after a few tries. */
export function receiveBreak(transaction: Transaction, generation: Generation): void {
    if (generation.endedAt !== undefined) {
        return;
    }
    generation.resumeCount++;
    if (generation.resumeCount > mostResumeTries) {
        failGeneration(transaction, generation, "generation_lost", lostOutcome(generation));
        return;
    }
    generation.resumeAt = transaction.now
        + backoff(generation.resumeCount, resumeBase, resumeLongest, transaction.source.random);
}

/** Resumes a broken generation whose delay has passed. */
export function resumeDue(transaction: Transaction, generation: Generation): void {
    if (generation.resumeAt === undefined || generation.resumeAt > transaction.now) {
        return;
    }
    generation.resumeAt = undefined;
    requestMissing(transaction, generation);
}

/** What is true of a generation that was lost. */
export function lostOutcome(generation: Generation): RunOutcome {
    return generation.texts.length > 0 ? "generation_lost" : "outcome_unknown";
}

/** Forgets a generation and its tokens, and stops it at the engine where it still runs. */
export function forgetGeneration(transaction: Transaction, generation: Generation): void {
    const { state, effects } = transaction;
    if (generation.endedAt === undefined) {
        effects.push({ kind: "cancelGeneration", generationId: generation.id });
    }
    state.running.delete(generation.id);
    state.generations.delete(generation.id);
    state.keptTokens -= generation.texts.length;
}

/** Finds a generation that the backend server speaks of. */
export function findGeneration(state: SidecarState, generationId: GenerationId): Generation | undefined {
    return state.generations.get(generationId);
}

/** The pool that a generation's length is recorded in. */
export function forecastSubject(generation: Pick<Generation, "work">): ForecastSubject {
    return generation.work;
}
