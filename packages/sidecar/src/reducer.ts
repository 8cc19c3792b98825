/**
 * The one door: every event of a sidecar goes through {@link reduceSidecar}, which changes the state and returns the
 * effects. It reads no clock, no chance and no I/O of its own.
 */
import type { EntryMessage, RandomSource } from "@verbenaspring/coordination";
import { type AttemptId, type EntryIncarnation, InvariantViolation, type Milliseconds } from "@verbenaspring/model";
import {
    forgetAttempt,
    receiveAcknowledge,
    receiveCancel,
    receiveResume,
    receiveRun,
    receiveWithdraw,
    refuse,
    refuseUnstarted,
    sendQueued,
} from "./attempts.js";
import type { SidecarEffect } from "./effect.js";
import type { SidecarEvent } from "./event.js";
import {
    detachReader,
    failGeneration,
    findGeneration,
    forgetGeneration,
    lostOutcome,
    receiveBreak,
    receiveEnd,
    receiveResponse,
    receiveTokens,
    resumeDue,
    tendReader,
} from "./generations.js";
import { announceLoad, closeLink, receiveConfiguration, receiveHello, tendLinks } from "./links.js";
import { defaultSidecarPolicies, type SidecarPolicies } from "./parts.js";
import { startWaiting } from "./starting.js";
import { type Generation, isLeaving, type SidecarAttempt, type SidecarState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

/** How often a waiting caller's entry is told where the attempt stands. */
const queuedInterval: Milliseconds = 1_000;

type BackendEvent = Extract<SidecarEvent, { readonly generationId: unknown; }>;

/**
 * Takes one event. The state is changed in place; the effects are for the caller to perform, in order.
 *
 * @example
 * const effects = reduceSidecar(state, { kind: "tick" }, now, source);
 */
export function reduceSidecar(
    state: SidecarState,
    event: SidecarEvent,
    now: Milliseconds,
    source: RandomSource,
    parts: SidecarPolicies = defaultSidecarPolicies,
): SidecarEffect[] {
    const transaction: Transaction = { state, policies: parts, source, now, effects: [] };
    try {
        takeEvent(transaction, event);
    }
    catch (error) {
        if (!(error instanceof InvariantViolation)) {
            throw error;
        }
        failViolated(transaction, event, error);
    }
    return transaction.effects;
}

function failViolated(transaction: Transaction, event: SidecarEvent, violation: InvariantViolation): void {
    const attemptId = event.kind === "linkMessage" && "attemptId" in event.message
        ? event.message.attemptId
        : undefined;
    transaction.effects.push({ kind: "violated", attemptId, violation });
    if (event.kind === "linkMessage" && attemptId !== undefined) {
        const failureType = "internal";
        send(transaction, event.entry, { kind: "failed", attemptId, failureType, outcome: "outcome_unknown" });
    }
}

function takeEvent(transaction: Transaction, event: SidecarEvent): void {
    const { state } = transaction;
    switch (event.kind) {
        case "linkOpened":
            return receiveHello(transaction, event.entry, event.linkNumber, event.backendServer);
        case "linkMessage":
            return takeMessage(transaction, event.entry, event.linkNumber, event.message);
        case "linkClosed":
            return takeLinkClosed(transaction, event.entry, event.linkNumber);
        case "backendStatus":
            return takeBackendStatus(transaction, event.reachable);
        case "listed":
            state.isListedLeaving = event.leaving;
            return followLeaving(transaction);
        case "stopRequested":
            state.stopRequestedAt ??= transaction.now;
            return followLeaving(transaction);
        case "tick":
            return takeTick(transaction);
        default:
            return takeBackendEvent(transaction, event);
    }
}

function takeMessage(
    transaction: Transaction,
    entry: EntryIncarnation,
    linkNumber: number,
    message: EntryMessage,
): void {
    const { state, policies: parts, now } = transaction;
    const record = state.links.get(entry);
    if (record === undefined || !parts.acceptsFrame(record, linkNumber)) {
        return;
    }
    record.lastReceived = now;
    switch (message.kind) {
        case "run":
            return receiveRun(transaction, record, entry, message);
        case "withdraw":
            return receiveWithdraw(transaction, record, entry, message);
        case "cancel":
            receiveCancel(transaction, message);
            return startWaiting(transaction);
        case "acknowledge":
            return receiveAcknowledge(transaction, message);
        case "resume":
            return receiveResume(transaction, record, entry, message);
        case "configuration":
            receiveConfiguration(transaction, message);
            return followLeaving(transaction);
        case "hello":
        case "heartbeat":
            return;
    }
}

function takeLinkClosed(transaction: Transaction, entry: EntryIncarnation, linkNumber: number): void {
    const record = transaction.state.links.get(entry);
    if (record?.isOpen === true && record.linkNumber === linkNumber) {
        closeLink(transaction, entry, record);
    }
}

function takeBackendStatus(transaction: Transaction, reachable: boolean): void {
    const { state } = transaction;
    if (state.isBackendReachable === reachable) {
        return;
    }
    state.isBackendReachable = reachable;
    announceLoad(transaction);
    startWaiting(transaction);
}

/** Refuses what waits as soon as the backend server is leaving, so that the entries can place it elsewhere. */
function followLeaving(transaction: Transaction): void {
    const { state, policies: parts } = transaction;
    const leaving = isLeaving(state);
    if (state.announcedLeaving !== leaving) {
        state.announcedLeaving = leaving;
        observe(transaction, { event: "leaving", leaving });
        announceLoad(transaction);
    }
    if (!parts.refusesWork(state)) {
        return startWaiting(transaction);
    }
    for (const attempt of queuedAttempts(state)) {
        refuse(transaction, attempt, "leaving");
    }
}

function queuedAttempts(state: SidecarState): SidecarAttempt[] {
    return [...state.queue].map(id => state.attempts.get(id)!);
}

function takeBackendEvent(transaction: Transaction, event: BackendEvent): void {
    const generation = findGeneration(transaction.state, event.generationId);
    if (generation === undefined || generation.endedAt !== undefined) {
        return;
    }
    applyBackendEvent(transaction, generation, event);
    startWaiting(transaction);
}

function applyBackendEvent(transaction: Transaction, generation: Generation, event: BackendEvent): void {
    switch (event.kind) {
        case "generationTokens":
            return receiveTokens(transaction, generation, event.from, event.texts);
        case "generationEnded":
            return receiveEnd(transaction, generation, event.count, event.finishReason);
        case "generationPreempted":
            transaction.state.preemptions++;
            return observe(transaction, { event: "generation_preempted", generationId: generation.id });
        case "generationBroken":
            return receiveBreak(transaction, generation);
        case "generationLost":
            return failGeneration(transaction, generation, "generation_lost", lostOutcome(generation));
        case "backendRefused":
            return refuseUnstarted(transaction, generation);
        case "serviceResponded": {
            const { status, contentType, body } = event;
            return receiveResponse(transaction, generation, { status, contentType, body });
        }
        case "serviceFailed":
            return failGeneration(transaction, generation, "outcome_unknown", "outcome_unknown");
    }
}

function takeTick(transaction: Transaction): void {
    const { state } = transaction;
    tendLinks(transaction);
    tendQueue(transaction);
    for (const generation of [...state.generations.values()]) {
        tendGeneration(transaction, generation);
    }
    boundKeptTokens(transaction);
    forgetAbandonedTombstones(transaction);
    startWaiting(transaction);
    exitWhenDrained(transaction);
}

function tendQueue(transaction: Transaction): void {
    const { state, now } = transaction;
    for (const attempt of queuedAttempts(state)) {
        if (isAbandoned(transaction, attempt.entry)) {
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

/** True where an entry has had no open link for longer than a generation goes on without a reader. */
function isAbandoned(transaction: Transaction, entry: EntryIncarnation): boolean {
    const { state, now } = transaction;
    const record = state.links.get(entry);
    return record === undefined || (!record.isOpen && now - record.lastReceived > state.options.detachedWindow);
}

function tendGeneration(transaction: Transaction, generation: Generation): void {
    const { state, now } = transaction;
    resumeDue(transaction, generation);
    tendReader(transaction, generation);
    if (generation.reader !== undefined && isAbandoned(transaction, generation.reader.entry)) {
        forgetReader(transaction, generation, generation.reader.attemptId);
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

/** Gives a reader up. Its entry may still ask about the attempt, and must then not be told that it has not run. */
function forgetReader(transaction: Transaction, generation: Generation, attemptId: AttemptId): void {
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

function boundKeptTokens(transaction: Transaction): void {
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

function forgetAbandonedTombstones(transaction: Transaction): void {
    for (const attempt of [...transaction.state.attempts.values()]) {
        if (attempt.phase === "withdrawn" && isAbandoned(transaction, attempt.entry)) {
            forgetAttempt(transaction, attempt);
        }
    }
}

function exitWhenDrained(transaction: Transaction): void {
    const { state, policies: parts, now, effects } = transaction;
    if (state.stopRequestedAt === undefined || state.hasExited) {
        return;
    }
    const { stopTimeout } = state.options;
    const isOverdue = stopTimeout > 0 && now - state.stopRequestedAt >= stopTimeout;
    if (isOverdue || parts.mayExit(state)) {
        state.hasExited = true;
        effects.push({ kind: "exit" });
    }
}
