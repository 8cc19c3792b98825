/**
 * Attempts: handles an entry's requests to run, withdraw, cancel, acknowledge or resume one. Only the sidecar decides
 * whether an attempt has run.
 */
import {
    type Acknowledge,
    type Cancel,
    type EntryLinkRecord,
    jitterRetryAfter,
    type NotRun,
    type Resume,
    type Run,
    type Withdraw,
} from "@verbenaspring/coordination";
import { type AttemptId, type EntryIncarnation, type FailureType, InvariantViolation } from "@verbenaspring/model";
import { attachReader, detachReader, forgetGeneration, sendPending } from "./generations.js";
import { forecastQueueWait, forecastWait } from "./queue.js";
import { startQueuedAttempts } from "./scheduling.js";
import { findOwnService, type Generation, type SidecarAttempt } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

/** Handles `Run`: a known attempt is answered with its progress, an unknown one is queued or refused. */
export function handleRun(transaction: Transaction, record: EntryLinkRecord, entry: EntryIncarnation, run: Run): void {
    const { state } = transaction;
    if (run.sidecarIncarnation !== state.options.incarnation) {
        return;
    }
    const known = state.attempts.get(run.attemptId);
    if (known !== undefined) {
        known.linkNumber = record.linkNumber;
        resendProgress(transaction, known, run.from);
        return;
    }
    if (run.resent && record.forgotStartedAttempt) {
        sendOutcomeUnknown(transaction, entry, run.attemptId);
        return;
    }
    const attempt = createAttempt(transaction, record, entry, run);
    state.attempts.set(attempt.id, attempt);
    const refusal = findRefusal(transaction, attempt, run);
    if (refusal !== undefined) {
        refuse(transaction, attempt, refusal);
        return;
    }
    state.queue.add(attempt.id);
    startQueuedAttempts(transaction);
    if (attempt.phase === "queued") {
        sendQueued(transaction, attempt);
    }
}

function createAttempt(
    transaction: Transaction,
    record: EntryLinkRecord,
    entry: EntryIncarnation,
    run: Run,
): SidecarAttempt {
    return {
        id: run.attemptId,
        entry,
        linkNumber: record.linkNumber,
        phase: "queued",
        work: run,
        arrivedAt: transaction.now,
        deadline: transaction.now + run.timeLeft,
        generationId: undefined,
        notRun: undefined,
        queuedSentAt: transaction.now,
    };
}

/** The reason to refuse a new attempt, or undefined if it may be queued. */
function findRefusal(transaction: Transaction, attempt: SidecarAttempt, run: Run): FailureType | undefined {
    const { state, policies } = transaction;
    if (policies.refusesWork(state)) {
        return "leaving";
    }
    if (findOwnService(state) === undefined || run.service !== state.options.service) {
        return "configuration_unavailable";
    }
    if (!state.isBackendReachable) {
        return "no_backend_server";
    }
    if (run.promptTokens >= state.options.memoryTokens) {
        return "body_too_large";
    }
    return isOverloaded(transaction, attempt) ? "overloaded" : undefined;
}

/** Whether the queue is full or the forecast wait exceeds the attempt's deadline. */
function isOverloaded(transaction: Transaction, attempt: SidecarAttempt): boolean {
    const { state, now } = transaction;
    if (state.queue.size >= state.options.maximumQueue) {
        return true;
    }
    const { ahead, expected } = forecastWait(transaction, attempt);
    return ahead > 0 && expected > attempt.deadline - now;
}

/** Sends the progress of a known attempt again, over a new link. */
function resendProgress(transaction: Transaction, attempt: SidecarAttempt, from: number): void {
    if (attempt.phase === "withdrawn") {
        send(transaction, attempt.entry, attempt.notRun!);
        return;
    }
    if (attempt.phase === "queued") {
        sendQueued(transaction, attempt);
        return;
    }
    const generation = transaction.state.generations.get(attempt.generationId!);
    if (generation === undefined) {
        sendOutcomeUnknown(transaction, attempt.entry, attempt.id);
        return;
    }
    attachReader(transaction, generation, attempt.entry, attempt.id, from);
}

/** Sends the entry the queue position and expected wait of an attempt. */
export function sendQueued(transaction: Transaction, attempt: SidecarAttempt): void {
    const { state, now } = transaction;
    attempt.queuedSentAt = now;
    const reason = findOwnService(state)?.kind === "plain" ? "concurrency" : "engine_memory";
    const { ahead, expected } = forecastWait(transaction, attempt);
    send(transaction, attempt.entry, { kind: "queued", attemptId: attempt.id, reason, ahead, expected });
}

/** Turns an attempt into a tombstone and tells its entry that it has not run. */
export function refuse(transaction: Transaction, attempt: SidecarAttempt, failureType: FailureType): void {
    const { state, policies, source } = transaction;
    if (attempt.phase === "started") {
        throw new InvariantViolation("not_run_never_after_start", attempt.id);
    }
    const retryAfter = jitterRetryAfter(forecastQueueWait(state), source.random);
    const notRun: NotRun = { kind: "notRun", attemptId: attempt.id, failureType, retryAfter };
    attempt.notRun = notRun;
    policies.recordWithdrawal(state, attempt);
    observe(transaction, { event: "attempt_refused", attemptId: attempt.id, reason: failureType });
    send(transaction, attempt.entry, notRun);
}

/**
 * Handles a start whose connection the backend server refused. The work has certainly not run, so the start is undone
 * and the attempt refused.
 */
export function handleBackendRefused(transaction: Transaction, generation: Generation): void {
    const attempt = [...transaction.state.attempts.values()].find(each => each.generationId === generation.id);
    // As ended, so that no cancel is sent to the backend server.
    forgetGeneration(transaction, { ...generation, endedAt: transaction.now });
    if (attempt === undefined) {
        return;
    }
    attempt.phase = "queued";
    attempt.generationId = undefined;
    refuse(transaction, attempt, "no_backend_server");
}

/** Handles `Withdraw`: after the answer `NotRun` the attempt can never start. */
export function handleWithdraw(
    transaction: Transaction,
    record: EntryLinkRecord,
    entry: EntryIncarnation,
    withdraw: Withdraw,
): void {
    const { state } = transaction;
    const attempt = state.attempts.get(withdraw.attemptId) ?? createUnseenAttempt(transaction, record, entry, withdraw);
    if (attempt === undefined) {
        sendOutcomeUnknown(transaction, entry, withdraw.attemptId);
        return;
    }
    attempt.linkNumber = record.linkNumber;
    if (attempt.phase === "started") {
        const { id: attemptId, generationId } = attempt;
        send(transaction, entry, { kind: "started", attemptId, generationId: generationId! });
        return;
    }
    if (attempt.notRun !== undefined) {
        send(transaction, entry, attempt.notRun);
        return;
    }
    observe(transaction, { event: "attempt_withdrawn", attemptId: attempt.id });
    refuse(transaction, attempt, "deadline_exceeded");
}

/**
 * Creates the attempt of a `Withdraw` that came before its `Run`. Returns undefined if a started attempt of the entry
 * was forgotten, since this one may then have run.
 */
function createUnseenAttempt(
    transaction: Transaction,
    record: EntryLinkRecord,
    entry: EntryIncarnation,
    withdraw: Withdraw,
): SidecarAttempt | undefined {
    if (record.forgotStartedAttempt) {
        return undefined;
    }
    const attempt: SidecarAttempt = {
        id: withdraw.attemptId,
        entry,
        linkNumber: record.linkNumber,
        phase: "queued",
        work: undefined,
        arrivedAt: transaction.now,
        deadline: transaction.now,
        generationId: undefined,
        notRun: undefined,
        queuedSentAt: transaction.now,
    };
    transaction.state.attempts.set(attempt.id, attempt);
    return attempt;
}

function sendOutcomeUnknown(transaction: Transaction, entry: EntryIncarnation, attemptId: AttemptId): void {
    send(transaction, entry, {
        kind: "failed",
        attemptId,
        failureType: "outcome_unknown",
        outcome: "outcome_unknown",
    });
}

/**
 * Handles `Cancel`: the entry needs no answer. An abandoned generation is stopped, unless it is a plain service's call;
 * one whose caller left goes on for the detached window, so that the caller can resume it.
 */
export function handleCancel(transaction: Transaction, cancel: Cancel): void {
    const { state } = transaction;
    const attempt = state.attempts.get(cancel.attemptId);
    if (attempt === undefined) {
        return;
    }
    forgetAttempt(transaction, attempt);
    const generation = attempt.generationId === undefined ? undefined : state.generations.get(attempt.generationId);
    if (generation?.reader?.attemptId !== attempt.id) {
        return;
    }
    detachReader(transaction, generation);
    if (cancel.reason === "abandoned" && !generation.isPlain) {
        forgetGeneration(transaction, generation);
    }
}

/**
 * Handles `Acknowledge`: moves the reader's window, and forgets the attempt once its refusal or its whole answer is
 * acknowledged.
 */
export function handleAcknowledge(transaction: Transaction, acknowledge: Acknowledge): void {
    const { state } = transaction;
    const attempt = state.attempts.get(acknowledge.attemptId);
    if (attempt === undefined) {
        return;
    }
    if (attempt.phase === "withdrawn") {
        forgetAttempt(transaction, attempt);
        return;
    }
    const generation = attempt.generationId === undefined ? undefined : state.generations.get(attempt.generationId);
    const reader = generation?.reader;
    if (generation === undefined || reader?.attemptId !== attempt.id) {
        return;
    }
    reader.acknowledgedTokens = Math.max(reader.acknowledgedTokens, acknowledge.next);
    if (reader.conclusionSentAt !== undefined && reader.acknowledgedTokens >= answerLength(generation)) {
        forgetAttempt(transaction, attempt);
        detachReader(transaction, generation);
        return;
    }
    sendPending(transaction, generation);
}

/** The value of `next` that acknowledges the whole answer. */
function answerLength(generation: Generation): number {
    if (generation.failure !== undefined) {
        return 0;
    }
    return generation.response === undefined ? generation.end!.count : 1;
}

/** Handles `Resume`: a caller resumes its answer through this entry, which replaces any earlier reader. */
export function handleResume(
    transaction: Transaction,
    record: EntryLinkRecord,
    entry: EntryIncarnation,
    resume: Resume,
): void {
    const { state } = transaction;
    const generation = state.generations.get(resume.generationId);
    const isForeign = resume.sidecarIncarnation !== state.options.incarnation
        || generation?.organisation !== resume.organisation;
    if (generation === undefined || isForeign || resume.from > generation.texts.length) {
        const failureType = "generation_not_found";
        send(transaction, entry, {
            kind: "failed",
            attemptId: resume.attemptId,
            failureType,
            outcome: "outcome_unknown",
        });
        return;
    }
    replaceReader(transaction, generation, resume.attemptId);
    state.attempts.set(resume.attemptId, {
        ...createAttempt(transaction, record, entry, {
            ...generation.work,
            ...resume,
            kind: "run",
            timeLeft: 0,
            resent: true,
        }),
        phase: "started",
        generationId: generation.id,
    });
    attachReader(transaction, generation, entry, resume.attemptId, resume.from);
}

function replaceReader(transaction: Transaction, generation: Generation, attemptId: AttemptId): void {
    const { state } = transaction;
    for (const attempt of [...state.attempts.values()]) {
        if (attempt.generationId !== generation.id || attempt.id === attemptId) {
            continue;
        }
        forgetAttempt(transaction, attempt);
        send(transaction, attempt.entry, {
            kind: "failed",
            attemptId: attempt.id,
            failureType: "resumed_elsewhere",
            outcome: "outcome_unknown",
        });
    }
}

/** Forgets an attempt whose entry has acknowledged its end, has cancelled it, or is gone. */
export function forgetAttempt(transaction: Transaction, attempt: SidecarAttempt): void {
    transaction.state.queue.delete(attempt.id);
    transaction.state.attempts.delete(attempt.id);
}
