/**
 * The sidecar's reducer. {@link reduceSidecar} handles every event: it updates the state and returns the effects to
 * perform. It is deterministic: time and randomness are arguments, and it does no I/O.
 */
import type { EntryMessage, RandomSource } from "@verbenaspring/coordination";
import { type AttemptId, type EntryIncarnation, InvariantViolation, type Milliseconds } from "@verbenaspring/model";
import {
    forgetAttempt,
    handleAcknowledge,
    handleBackendRefused,
    handleCancel,
    handleResume,
    handleRun,
    handleWithdraw,
    refuse,
    sendQueued,
} from "./attempts.js";
import type { SidecarEffect } from "./effect.js";
import type { SidecarEvent } from "./event.js";
import {
    checkReader,
    detachReader,
    failGeneration,
    findGeneration,
    forgetGeneration,
    handleEnd,
    handleResponse,
    handleStreamBroken,
    handleTokens,
    outcomeOfLoss,
    resumeIfDue,
} from "./generations.js";
import { announceLoad, checkLinks, closeLink, handleConfiguration, handleLinkOpened } from "./links.js";
import { defaultSidecarPolicies, type SidecarPolicies } from "./policies.js";
import { startQueuedAttempts } from "./scheduling.js";
import { type Generation, isLeaving, type SidecarAttempt, type SidecarState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

/** How often an entry is sent the queue position and expected wait of a queued attempt. */
const queuedInterval: Milliseconds = 1_000;

type BackendEvent = Extract<SidecarEvent, { readonly generationId: unknown; }>;

/**
 * Handles one event. Updates the state in place and returns the effects, to be performed in order. An
 * {@link InvariantViolation} is reported as an effect and fails only the attempt concerned.
 *
 * @example
 * const effects = reduceSidecar(state, { kind: "tick" }, now, source);
 */
export function reduceSidecar(
    state: SidecarState,
    event: SidecarEvent,
    now: Milliseconds,
    source: RandomSource,
    policies: SidecarPolicies = defaultSidecarPolicies,
): SidecarEffect[] {
    const transaction: Transaction = { state, policies, source, now, effects: [] };
    try {
        handleEvent(transaction, event);
    }
    catch (error) {
        if (!(error instanceof InvariantViolation)) {
            throw error;
        }
        handleViolation(transaction, event, error);
    }
    return transaction.effects;
}

function handleViolation(transaction: Transaction, event: SidecarEvent, violation: InvariantViolation): void {
    const attemptId = event.kind === "linkMessage" && "attemptId" in event.message
        ? event.message.attemptId
        : undefined;
    transaction.effects.push({ kind: "violated", attemptId, violation });
    if (event.kind === "linkMessage" && attemptId !== undefined) {
        const failureType = "internal";
        send(transaction, event.entry, { kind: "failed", attemptId, failureType, outcome: "outcome_unknown" });
    }
}

function handleEvent(transaction: Transaction, event: SidecarEvent): void {
    const { state } = transaction;
    switch (event.kind) {
        case "linkOpened":
            return handleLinkOpened(transaction, event.entry, event.linkNumber, event.backendServer);
        case "linkMessage":
            return handleMessage(transaction, event.entry, event.linkNumber, event.message);
        case "linkClosed":
            return handleLinkClosed(transaction, event.entry, event.linkNumber);
        case "backendStatus":
            return handleBackendStatus(transaction, event.reachable);
        case "listed":
            state.isListedLeaving = event.leaving;
            return updateLeaving(transaction);
        case "stopRequested":
            state.stopRequestedAt ??= transaction.now;
            return updateLeaving(transaction);
        case "tick":
            return handleTick(transaction);
        default:
            return handleBackendEvent(transaction, event);
    }
}

function handleMessage(
    transaction: Transaction,
    entry: EntryIncarnation,
    linkNumber: number,
    message: EntryMessage,
): void {
    const { state, policies, now } = transaction;
    const record = state.links.get(entry);
    if (record === undefined || !policies.acceptsFrame(record, linkNumber)) {
        return;
    }
    record.lastReceived = now;
    switch (message.kind) {
        case "run":
            return handleRun(transaction, record, entry, message);
        case "withdraw":
            return handleWithdraw(transaction, record, entry, message);
        case "cancel":
            handleCancel(transaction, message);
            return startQueuedAttempts(transaction);
        case "acknowledge":
            return handleAcknowledge(transaction, message);
        case "resume":
            return handleResume(transaction, record, entry, message);
        case "configuration":
            handleConfiguration(transaction, message);
            return updateLeaving(transaction);
        case "hello":
        case "heartbeat":
            return;
    }
}

function handleLinkClosed(transaction: Transaction, entry: EntryIncarnation, linkNumber: number): void {
    const record = transaction.state.links.get(entry);
    if (record?.isOpen === true && record.linkNumber === linkNumber) {
        closeLink(transaction, entry, record);
    }
}

function handleBackendStatus(transaction: Transaction, reachable: boolean): void {
    const { state } = transaction;
    if (state.isBackendReachable === reachable) {
        return;
    }
    state.isBackendReachable = reachable;
    announceLoad(transaction);
    startQueuedAttempts(transaction);
}

/**
 * Announces a change of the leaving state. A leaving sidecar refuses its queue, so that entries can dispatch it
 * elsewhere.
 */
function updateLeaving(transaction: Transaction): void {
    const { state, policies } = transaction;
    const leaving = isLeaving(state);
    if (state.announcedLeaving !== leaving) {
        state.announcedLeaving = leaving;
        observe(transaction, { event: "leaving", leaving });
        announceLoad(transaction);
    }
    if (!policies.refusesWork(state)) {
        return startQueuedAttempts(transaction);
    }
    for (const attempt of listQueuedAttempts(state)) {
        refuse(transaction, attempt, "leaving");
    }
}

function listQueuedAttempts(state: SidecarState): SidecarAttempt[] {
    return [...state.queue].map(id => state.attempts.get(id)!);
}

function handleBackendEvent(transaction: Transaction, event: BackendEvent): void {
    const generation = findGeneration(transaction.state, event.generationId);
    if (generation === undefined || generation.endedAt !== undefined) {
        return;
    }
    dispatchBackendEvent(transaction, generation, event);
    startQueuedAttempts(transaction);
}

function dispatchBackendEvent(transaction: Transaction, generation: Generation, event: BackendEvent): void {
    switch (event.kind) {
        case "generationTokens":
            return handleTokens(transaction, generation, event.from, event.texts);
        case "generationEnded":
            return handleEnd(transaction, generation, event.count, event.finishReason);
        case "generationPreempted":
            transaction.state.preemptions++;
            return observe(transaction, { event: "generation_preempted", generationId: generation.id });
        case "generationBroken":
            return handleStreamBroken(transaction, generation);
        case "generationLost":
            return failGeneration(transaction, generation, "generation_lost", outcomeOfLoss(generation));
        case "backendRefused":
            return handleBackendRefused(transaction, generation);
        case "serviceResponded": {
            const { status, contentType, body } = event;
            return handleResponse(transaction, generation, { status, contentType, body });
        }
        case "serviceFailed":
            return failGeneration(transaction, generation, "outcome_unknown", "outcome_unknown");
    }
}

function handleTick(transaction: Transaction): void {
    const { state } = transaction;
    checkLinks(transaction);
    checkQueue(transaction);
    for (const generation of [...state.generations.values()]) {
        checkGeneration(transaction, generation);
    }
    enforceKeptTokensLimit(transaction);
    forgetOrphanedTombstones(transaction);
    startQueuedAttempts(transaction);
    checkPlannedStop(transaction);
}

function checkQueue(transaction: Transaction): void {
    const { state, now } = transaction;
    for (const attempt of listQueuedAttempts(state)) {
        if (isEntryGone(transaction, attempt.entry)) {
            forgetAttempt(transaction, attempt);
        }
        else if (now >= attempt.deadline) {
            refuse(transaction, attempt, "deadline_exceeded");
        }
        else if (now - attempt.queuedSentAt >= queuedInterval) {
            sendQueued(transaction, attempt);
        }
    }
}

/** Whether an entry has had no open link for longer than the detached window of a generation. */
function isEntryGone(transaction: Transaction, entry: EntryIncarnation): boolean {
    const { state, now } = transaction;
    const record = state.links.get(entry);
    return record === undefined || (!record.isOpen && now - record.lastReceived > state.options.detachedWindow);
}

function checkGeneration(transaction: Transaction, generation: Generation): void {
    const { state, now } = transaction;
    resumeIfDue(transaction, generation);
    checkReader(transaction, generation);
    if (generation.reader !== undefined && isEntryGone(transaction, generation.reader.entry)) {
        dropReader(transaction, generation, generation.reader.attemptId);
    }
    if (generation.detachedAt === undefined) {
        return;
    }
    const isRunning = generation.endedAt === undefined;
    if (isRunning && (generation.isPlain || now - generation.detachedAt <= state.options.detachedWindow)) {
        return;
    }
    if (!isRunning && now - Math.max(generation.detachedAt, generation.endedAt!) <= state.options.resumeWindow) {
        return;
    }
    forgetGeneration(transaction, generation);
}

/**
 * Drops the reader of a generation whose entry is gone. The entry may still ask about the attempt and must not be told
 * then that it has not run, so the entry's link record keeps that a started attempt was forgotten.
 */
function dropReader(transaction: Transaction, generation: Generation, attemptId: AttemptId): void {
    const { state } = transaction;
    const attempt = state.attempts.get(attemptId);
    detachReader(transaction, generation);
    if (attempt === undefined) {
        return;
    }
    const record = state.links.get(attempt.entry);
    if (record !== undefined) {
        record.forgotStartedAttempt = true;
    }
    forgetAttempt(transaction, attempt);
}

/** Forgets ended generations without a reader, the earliest started first, until the kept tokens are within limits. */
function enforceKeptTokensLimit(transaction: Transaction): void {
    const { state } = transaction;
    if (state.keptTokens <= state.options.keptTokens) {
        return;
    }
    for (const generation of [...state.generations.values()]) {
        if (state.keptTokens <= state.options.keptTokens) {
            return;
        }
        if (generation.endedAt !== undefined && generation.reader === undefined) {
            forgetGeneration(transaction, generation);
        }
    }
}

function forgetOrphanedTombstones(transaction: Transaction): void {
    for (const attempt of [...transaction.state.attempts.values()]) {
        if (attempt.phase === "withdrawn" && isEntryGone(transaction, attempt.entry)) {
            forgetAttempt(transaction, attempt);
        }
    }
}

function checkPlannedStop(transaction: Transaction): void {
    const { state, policies, now, effects } = transaction;
    if (state.stopRequestedAt === undefined || state.hasExited) {
        return;
    }
    const { stopTimeout } = state.options;
    const isOverdue = stopTimeout > 0 && now - state.stopRequestedAt >= stopTimeout;
    if (isOverdue || policies.mayExit(state)) {
        state.hasExited = true;
        effects.push({ kind: "exit" });
    }
}
