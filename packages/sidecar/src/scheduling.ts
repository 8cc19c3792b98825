/**
 * Scheduling: starts queued attempts in the queue's order, as far as admission allows.
 */
import {
    chooseNext,
    type EngineView,
    forecastLength,
    type GenerationView,
    type Work,
} from "@verbenaspring/coordination";
import { type GenerationId, identifier, InvariantViolation, type ServiceDocument } from "@verbenaspring/model";
import { listRunningGenerations, listWaitingAttempts, sumHeldShares, type WaitingAttempt } from "./queue.js";
import { findOwnService, type Generation, isLeaving, type SidecarAttempt, type SidecarState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

/** Starts queued attempts until the queue is empty or admission refuses the next one. */
export function startQueuedAttempts(transaction: Transaction): void {
    const { state, policies } = transaction;
    const service = findOwnService(state);
    if (service === undefined) {
        return;
    }
    while (state.queue.size > 0 && !policies.refusesWork(state)) {
        const choice = {
            queue: listWaitingAttempts(state),
            shares: sumHeldShares(state),
            order: policies.queueOrder,
            fits: ({ work }: WaitingAttempt) => hasCapacity(transaction, service, work),
            shortShare: policies.shortWorkMayPass ? shortShare(state) : 1,
        };
        const next = chooseNext(choice);
        if (next === undefined) {
            return;
        }
        startAttemptOrFail(transaction, next.attempt, service);
    }
}

/** Starts an attempt. If that violates an invariant the violation is reported and only this attempt fails. */
function startAttemptOrFail(transaction: Transaction, attempt: SidecarAttempt, service: ServiceDocument): void {
    const { state, effects } = transaction;
    try {
        startAttempt(transaction, attempt, service);
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

/** The share of the engine's memory that running short work uses. */
function shortShare(state: SidecarState): number {
    const short = listRunningGenerations(state).filter(({ work }) => work.workKind === "short");
    const tokens = short.reduce((sum, { work, texts }) => sum + work.promptTokens + texts.length, 0);
    return tokens / state.options.memoryTokens;
}

function hasCapacity(transaction: Transaction, service: ServiceDocument, work: Work): boolean {
    const { state, policies } = transaction;
    if (service.kind === "plain") {
        return state.running.size < service.concurrency;
    }
    const admits = policies.admission(service.objective);
    return admits(createEngineView(state), createGenerationView(state, work));
}

/** Creates the view of the engine that admission decides by. */
export function createEngineView(state: SidecarState): EngineView {
    const running = listRunningGenerations(state).map(generation => ({
        ...createGenerationView(state, generation.work),
        tokensSoFar: generation.texts.length,
    }));
    return { memoryTokens: state.options.memoryTokens, running };
}

function createGenerationView(state: SidecarState, work: Work): GenerationView {
    const { promptTokens, workKind } = work;
    const maximumTokens = Math.min(work.maximumTokens, state.options.maximumOutputTokens);
    const distribution = forecastLength(state.forecast, work);
    return { workKind, promptTokens, tokensSoFar: 0, maximumTokens, distribution };
}

function startAttempt(transaction: Transaction, attempt: SidecarAttempt, service: ServiceDocument): void {
    const { state, policies, now, source } = transaction;
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
        const priority = policies.priority(work, now);
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
