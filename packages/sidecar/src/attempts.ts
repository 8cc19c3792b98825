/**
 * Attempts: an entry asks for one to run, withdraws, acknowledges or resumes it. Whether an attempt has run is decided
 * here and nowhere else.
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
import { startWaiting } from "./starting.js";
import { findOwnService, type Generation, type SidecarAttempt } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";
import { forecastQueueWait, forecastWait } from "./waiting.js";

/** Handles `Run`: a known attempt is continued, an unknown one is queued or refused. */
export function receiveRun(transaction: Transaction, record: EntryLinkRecord, entry: EntryIncarnation, run: Run): void {
    const { state } = transaction;
    if (run.sidecarIncarnation !== state.options.incarnation) {
        return;
    }
    const known = state.attempts.get(run.attemptId);
    if (known !== undefined) {
        known.linkNumber = record.linkNumber;
        repeatAnswer(transaction, known, run.from);
        return;
    }
    if (run.resent && record.forgotStartedAttempt) {
        sendUnknown(transaction, entry, run.attemptId);
        return;
    }
    const attempt = createAttempt(transaction, record, entry, run);
    state.attempts.set(attempt.id, attempt);
    const refusal = refusalOf(transaction, attempt, run);
    if (refusal !== undefined) {
        refuse(transaction, attempt, refusal);
        return;
    }
    state.queue.add(attempt.id);
    startWaiting(transaction);
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

function refusalOf(transaction: Transaction, attempt: SidecarAttempt, run: Run): FailureType | undefined {
    const { state, policies: parts } = transaction;
    if (parts.refusesWork(state)) {
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
    return isHopeless(transaction, attempt) ? "overloaded" : undefined;
}

function isHopeless(transaction: Transaction, attempt: SidecarAttempt): boolean {
    const { state, now } = transaction;
    if (state.queue.size >= state.options.maximumQueue) {
        return true;
    }
    const { ahead, expected } = forecastWait(transaction, attempt);
    return ahead > 0 && expected > attempt.deadline - now;
}

/** Says what an entry should know of an attempt, over a new link. */
function repeatAnswer(transaction: Transaction, attempt: SidecarAttempt, from: number): void {
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
        sendUnknown(transaction, attempt.entry, attempt.id);
        return;
    }
    attachReader(transaction, generation, attempt.entry, attempt.id, from);
}

/** Tells the entry where a queued attempt stands. */
export function sendQueued(transaction: Transaction, attempt: SidecarAttempt): void {
    const { state, now } = transaction;
    attempt.queuedSentAt = now;
    const reason = findOwnService(state)?.kind === "plain" ? "concurrency" : "engine_memory";
    const { ahead, expected } = forecastWait(transaction, attempt);
    send(transaction, attempt.entry, { kind: "queued", attemptId: attempt.id, reason, ahead, expected });
}

/** Makes an attempt a tombstone and says that it has not run. */
export function refuse(transaction: Transaction, attempt: SidecarAttempt, failureType: FailureType): void {
    const { state, policies: parts, source } = transaction;
    if (attempt.phase === "started") {
        throw new InvariantViolation("not_run_never_after_start", attempt.id);
    }
    const retryAfter = jitterRetryAfter(forecastQueueWait(state), source.random);
    const notRun: NotRun = { kind: "notRun", attemptId: attempt.id, failureType, retryAfter };
    attempt.notRun = notRun;
    parts.recordWithdrawal(state, attempt);
    observe(transaction, { event: "attempt_refused", attemptId: attempt.id, reason: failureType });
    send(transaction, attempt.entry, notRun);
}

/** Undoes a start that the backend server refused to take: the work has certainly not run. */
export function refuseUnstarted(transaction: Transaction, generation: Generation): void {
    const attempt = [...transaction.state.attempts.values()].find(each => each.generationId === generation.id);
    forgetGeneration(transaction, { ...generation, endedAt: transaction.now });
    if (attempt === undefined) {
        return;
    }
    attempt.phase = "queued";
    attempt.generationId = undefined;
    refuse(transaction, attempt, "no_backend_server");
}

/** Handles `Withdraw`: after the answer `NotRun` the attempt can never start. */
export function receiveWithdraw(
    transaction: Transaction,
    record: EntryLinkRecord,
    entry: EntryIncarnation,
    withdraw: Withdraw,
): void {
    const { state } = transaction;
    const attempt = state.attempts.get(withdraw.attemptId) ?? unknownAttempt(transaction, record, entry, withdraw);
    if (attempt === undefined) {
        sendUnknown(transaction, entry, withdraw.attemptId);
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

function unknownAttempt(
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

function sendUnknown(transaction: Transaction, entry: EntryIncarnation, attemptId: AttemptId): void {
    send(transaction, entry, {
        kind: "failed",
        attemptId,
        failureType: "outcome_unknown",
        outcome: "outcome_unknown",
    });
}

/** Handles `Cancel`: the entry has settled the attempt. */
export function receiveCancel(transaction: Transaction, cancel: Cancel): void {
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

/** Handles `Acknowledge`: opens the reader's window, and settles the attempt once all is covered. */
export function receiveAcknowledge(transaction: Transaction, acknowledge: Acknowledge): void {
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
    if (reader.conclusionSentAt !== undefined && reader.acknowledgedTokens >= lengthOf(generation)) {
        forgetAttempt(transaction, attempt);
        detachReader(transaction, generation);
        return;
    }
    sendPending(transaction, generation);
}

function lengthOf(generation: Generation): number {
    if (generation.failure !== undefined) {
        return 0;
    }
    return generation.response === undefined ? generation.end!.count : 1;
}

/** Handles `Resume`: a caller came back for its answer through this entry. */
export function receiveResume(
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

/** Forgets an attempt that its entry has settled, or whose entry is gone. */
export function forgetAttempt(transaction: Transaction, attempt: SidecarAttempt): void {
    transaction.state.queue.delete(attempt.id);
    transaction.state.attempts.delete(attempt.id);
}
