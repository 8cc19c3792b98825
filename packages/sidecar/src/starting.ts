/**
 * Starts waiting attempts, in the queue's order, as far as admission allows.
 */
import {
    chooseNext,
    type EngineView,
    forecastLength,
    type GenerationView,
    type HeldShares,
    type Work,
} from "@verbenaspring/coordination";
import {
    type GenerationId,
    identifier,
    InvariantViolation,
    type OrganisationId,
    type ServiceDocument,
} from "@verbenaspring/model";
import { type Generation, isLeaving, ownService, type SidecarAttempt, type SidecarState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

/** Starts attempts until none waits or the next one does not fit. */
export function startWaiting(transaction: Transaction): void {
    const { state, parts } = transaction;
    const service = ownService(state);
    if (service === undefined) {
        return;
    }
    while (state.queue.size > 0 && !parts.refusesWork(state)) {
        const next = chooseNext(waitingAttempts(state), heldShares(state), parts.order);
        if (next === undefined || !fits(transaction, service, next.work)) {
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

interface WaitingAttempt extends Pick<Work, "organisation" | "workKind" | "weight"> {
    readonly attempt: SidecarAttempt;
    readonly work: Work;
    readonly arrivedAt: number;
}

function waitingAttempts(state: SidecarState): WaitingAttempt[] {
    return [...state.queue].map(id => {
        const attempt = state.attempts.get(id)!;
        const { organisation, workKind, weight } = attempt.work!;
        return { attempt, work: attempt.work!, organisation, workKind, weight, arrivedAt: attempt.arrivedAt };
    });
}

function heldShares(state: SidecarState): HeldShares {
    const shares = new Map<OrganisationId, number>();
    for (const generation of runningGenerations(state)) {
        const { organisation, weight } = generation.work;
        shares.set(organisation, (shares.get(organisation) ?? 0) + 1 / weight);
    }
    return shares;
}

/** The generations that the backend server works on. */
export function runningGenerations(state: SidecarState): Generation[] {
    return [...state.running].map(id => state.generations.get(id)!);
}

function fits(transaction: Transaction, service: ServiceDocument, work: Work): boolean {
    const { state, parts } = transaction;
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
    const { promptTokens } = work;
    const maximumTokens = Math.min(work.maximumTokens, state.options.maximumOutputTokens);
    return { promptTokens, tokensSoFar: 0, maximumTokens, distribution: forecastLength(state.forecast, work) };
}

function start(transaction: Transaction, attempt: SidecarAttempt, service: ServiceDocument): void {
    const { state, now, source } = transaction;
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
        // Earlier starts are kept longer, so that a full engine pushes aside what has the least done.
        transaction.effects.push({ kind: "startGeneration", generationId, attemptId, work, priority: -now });
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
        reader: { entry: attempt.entry, attemptId: attempt.id, sent: 0, acknowledged: 0, concludedAt: undefined },
        detachedAt: undefined,
        endedAt: undefined,
        resumeTries: 0,
        resumeAt: undefined,
    };
}
