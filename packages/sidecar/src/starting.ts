/**
 * Starts waiting attempts, in the queue's order, as far as admission allows.
 */
import {
    chooseNext,
    type EngineView,
    forecastLength,
    type GenerationView,
    type Work,
} from "@verbenaspring/coordination";
import { type GenerationId, identifier, InvariantViolation, type ServiceDocument } from "@verbenaspring/model";
import { findOwnService, type Generation, isLeaving, type SidecarAttempt, type SidecarState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";
import { heldShares, runningGenerations, type WaitingAttempt, waitingAttempts } from "./waiting.js";

/** Starts attempts until none waits or the next one does not fit. */
export function startWaiting(transaction: Transaction): void {
    const { state, policies: parts } = transaction;
    const service = findOwnService(state);
    if (service === undefined) {
        return;
    }
    while (state.queue.size > 0 && !parts.refusesWork(state)) {
        const choice = {
            queue: waitingAttempts(state),
            shares: heldShares(state),
            order: parts.queueOrder,
            fits: ({ work }: WaitingAttempt) => fits(transaction, service, work),
            shortShare: parts.shortWorkMayPass ? shortShare(state) : 1,
        };
        const next = chooseNext(choice);
        if (next === undefined) {
            return;
        }
        startOrFail(transaction, next.attempt, service);
    }
}

/** An attempt that must not start is taken out of the queue and fails loudly; the others go on. */
function startOrFail(transaction: Transaction, attempt: SidecarAttempt, service: ServiceDocument): void {
    const { state, effects } = transaction;
    try {
        start(transaction, attempt, service);
    }
    catch (error) {
        if (!(error instanceof InvariantViolation)) {
            throw error;
        }
        state.queue.delete(attempt.id);
        effects.push({ kind: "violated", attemptId: attempt.id, violation: error });
        const { id: attemptId, entry } = attempt;
        send(transaction, entry, { kind: "failed", attemptId, failureType: "internal", outcome: "outcome_unknown" });
    }
}

/** The share of the engine's memory that short work holds now. */
function shortShare(state: SidecarState): number {
    const short = runningGenerations(state).filter(({ work }) => work.workKind === "short");
    const tokens = short.reduce((sum, { work, texts }) => sum + work.promptTokens + texts.length, 0);
    return tokens / state.options.memoryTokens;
}

function fits(transaction: Transaction, service: ServiceDocument, work: Work): boolean {
    const { state, policies: parts } = transaction;
    if (service.kind === "plain") {
        return state.running.size < service.concurrency;
    }
    const admits = parts.admission(service.objective);
    return admits(engineView(state), candidateView(state, work));
}

/** The engine as admission sees it. */
export function engineView(state: SidecarState): EngineView {
    const running = runningGenerations(state).map(generation => ({
        ...candidateView(state, generation.work),
        tokensSoFar: generation.texts.length,
    }));
    return { memoryTokens: state.options.memoryTokens, running };
}

function candidateView(state: SidecarState, work: Work): GenerationView {
    const { promptTokens, workKind } = work;
    const maximumTokens = Math.min(work.maximumTokens, state.options.maximumOutputTokens);
    const distribution = forecastLength(state.forecast, work);
    return { workKind, promptTokens, tokensSoFar: 0, maximumTokens, distribution };
}

function start(transaction: Transaction, attempt: SidecarAttempt, service: ServiceDocument): void {
    const { state, policies: parts, now, source } = transaction;
    assertMayStart(state, attempt);
    const generationId: GenerationId = identifier(source.newIdentifier());
    const work = attempt.work!;
    state.queue.delete(attempt.id);
    attempt.phase = "started";
    attempt.generationId = generationId;
    state.generations.set(generationId, createGeneration(generationId, attempt, service, now));
    state.running.add(generationId);
    const { id: attemptId } = attempt;
    if (service.kind === "plain") {
        const timeLeft = attempt.deadline - now;
        transaction.effects.push({ kind: "callService", generationId, attemptId, work, timeLeft });
    }
    else {
        const priority = parts.priority(work, now);
        transaction.effects.push({ kind: "startGeneration", generationId, attemptId, work, priority });
    }
    observe(transaction, {
        event: "attempt_started",
        attemptId,
        organisation: work.organisation,
        waited: now - attempt.arrivedAt,
    });
    send(transaction, attempt.entry, { kind: "started", attemptId, generationId });
}

function assertMayStart(state: SidecarState, attempt: SidecarAttempt): void {
    if (attempt.phase === "started") {
        throw new InvariantViolation("one_start_an_attempt", attempt.id);
    }
    if (attempt.phase === "withdrawn" || attempt.notRun !== undefined) {
        throw new InvariantViolation("withdrawn_attempt_never_starts", attempt.id);
    }
    if (isLeaving(state)) {
        throw new InvariantViolation("no_start_while_leaving", attempt.id);
    }
}

function createGeneration(
    id: GenerationId,
    attempt: SidecarAttempt,
    service: ServiceDocument,
    now: number,
): Generation {
    const work = attempt.work!;
    return {
        id,
        isPlain: service.kind === "plain",
        work,
        organisation: work.organisation,
        startedAt: now,
        texts: [],
        end: undefined,
        response: undefined,
        failure: undefined,
        reader: {
            entry: attempt.entry,
            attemptId: attempt.id,
            sentTokens: 0,
            acknowledgedTokens: 0,
            conclusionSentAt: undefined,
        },
        detachedAt: undefined,
        endedAt: undefined,
        resumeCount: 0,
        resumeAt: undefined,
    };
}
