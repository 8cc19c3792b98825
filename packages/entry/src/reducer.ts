/**
 * The entry's reducer. {@link reduceEntry} handles every event: it updates the state and returns the effects to
 * perform. It is deterministic: time and randomness are arguments, and it does no I/O.
 */
import {
    expireClaims,
    foldClaims,
    type RandomSource,
    setWaitReason,
    type SidecarMessage,
} from "@verbenaspring/coordination";
import { InvariantViolation, type Milliseconds } from "@verbenaspring/model";
import {
    acknowledgeWritten,
    dispatch,
    handleEnd,
    handleFailed,
    handleNotRun,
    handleQueued,
    handleResponse,
    handleStarted,
    handleTokens,
    withdrawAttempt,
} from "./attempts.js";
import {
    appendStatements,
    failOverdueClaim,
    handleClaimResults,
    handleClaimsAppended,
    handleClaimsAppendFailed,
} from "./claims.js";
import {
    appendDueSnapshot,
    checkPendingChanges,
    handleChangeAppendFailed,
    handleConfigurationRead,
    handleOperatorCall,
    handlePeersAnswered,
    recordRead,
    recordReadFailure,
    startDueReads,
} from "./configuration.js";
import type { EntryEffect } from "./effect.js";
import type { EntryEvent } from "./event.js";
import { checkLinks, closeLink, handleInstancesListed, handleLoad, handleWelcome } from "./links.js";
import { defaultEntryPolicies, type EntryPolicies } from "./policies.js";
import { currentOutcome, failRequest, handleCallerLeft, handleRequest, withdrawalTime } from "./requests.js";
import type { EntryAttempt, EntryLink, EntryRequest, EntryState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

type LinkMessageEvent = Extract<EntryEvent, { readonly kind: "linkMessage"; }>;
type ClaimsRead = Extract<EntryEvent, { readonly kind: "claimsRead"; }>;
type AttemptMessage = Extract<SidecarMessage, { readonly attemptId: unknown; }>;

/**
 * Handles one event. Updates the state in place and returns the effects, to be performed in order. An
 * {@link InvariantViolation} is reported as an effect and fails only the request concerned.
 *
 * @example
 * const effects = reduceEntry(state, { kind: "tick" }, now, source);
 */
export function reduceEntry(
    state: EntryState,
    event: EntryEvent,
    now: Milliseconds,
    source: RandomSource,
    policies: EntryPolicies = defaultEntryPolicies,
): EntryEffect[] {
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

function handleViolation(transaction: Transaction, event: EntryEvent, violation: InvariantViolation): void {
    const { state, policies, effects } = transaction;
    const attempt = event.kind === "linkMessage" && "attemptId" in event.message
        ? policies.findAttempt(state, event.message.attemptId)
        : undefined;
    const request = attempt === undefined ? undefined : state.requests.get(attempt.requestId);
    effects.push({ kind: "violated", requestId: request?.id, violation });
    if (request !== undefined) {
        failRequest(transaction, request, "internal", "an invariant did not hold", currentOutcome(request));
    }
}

function handleEvent(transaction: Transaction, event: EntryEvent): void {
    const { state } = transaction;
    switch (event.kind) {
        case "callerRequested":
            return handleRequest(transaction, event.requestId, event.call);
        case "callerLeft":
        case "callerBlocked":
        case "callerDrained": {
            const request = state.requests.get(event.requestId);
            return request && handleCallerEvent(transaction, request, event.kind);
        }
        case "linkMessage":
            return handleLinkMessage(transaction, event);
        case "linkClosed": {
            const link = state.links.get(event.backendServer);
            const isCurrent = link?.linkNumber === event.linkNumber && link.phase !== "closed";
            return isCurrent ? closeLink(transaction, link, "closed") : undefined;
        }
        case "instancesListed":
            return handleInstancesListed(transaction, event.instances);
        case "operatorCalled":
            return handleOperatorCall(transaction, event.callId, event.call);
        case "stopRequested":
            state.stopRequestedAt ??= transaction.now;
            return observe(transaction, { event: "stopping" });
        case "tick":
            return handleTick(transaction);
        default:
            return handleLogEvent(transaction, event);
    }
}

function handleLogEvent(
    transaction: Transaction,
    event: Extract<EntryEvent, { readonly kind: `${"configuration" | "claims" | "change" | "peers"}${string}`; }>,
): void {
    const { state } = transaction;
    switch (event.kind) {
        case "configurationRead":
            handleConfigurationRead(transaction, event);
            return startDueReads(transaction);
        case "configurationReadFailed":
            recordReadFailure(transaction, state.configurationFollower, "configuration");
            return startDueReads(transaction);
        case "claimsRead":
            handleClaimsRead(transaction, event);
            return startDueReads(transaction);
        case "claimsReadFailed":
            return recordReadFailure(transaction, state.claimsFollower, "claims");
        case "claimsAppended":
            return handleClaimsAppended(transaction);
        case "claimsAppendFailed":
            return handleClaimsAppendFailed(transaction);
        case "changeAppended":
            return;
        case "changeAppendFailed":
            return handleChangeAppendFailed(transaction, event.changeId);
        case "peersAnswered":
            return handlePeersAnswered(transaction, event.snapshots);
    }
}

function handleClaimsRead(transaction: Transaction, event: ClaimsRead): void {
    const { state, policies, now } = transaction;
    recordRead(state.claimsFollower, now);
    const results = foldClaims(state.claims, event.records, now, policies.claimRule);
    state.claims.next = Math.max(state.claims.next, event.earliest);
    state.claims.caughtUp ||= state.claims.next >= event.end;
    handleClaimResults(transaction, results);
}

function handleCallerEvent(
    transaction: Transaction,
    request: EntryRequest,
    kind: "callerLeft" | "callerBlocked" | "callerDrained",
): void {
    if (kind === "callerLeft") {
        return handleCallerLeft(transaction, request);
    }
    request.isBlocked = kind === "callerBlocked";
    acknowledgeWritten(transaction, request, 1);
}

function handleLinkMessage(transaction: Transaction, event: LinkMessageEvent): void {
    const { state, now } = transaction;
    const { message } = event;
    const link = state.links.get(event.backendServer);
    if (link === undefined || link.linkNumber !== event.linkNumber || link.phase === "closed") {
        return;
    }
    link.lastReceived = now;
    if (message.kind === "welcome") {
        return handleWelcome(transaction, link, message);
    }
    if (message.kind === "load") {
        return handleLoad(transaction, link, message);
    }
    if (message.kind !== "heartbeat") {
        handleAttemptMessage(transaction, link, message);
    }
}

/** Handles a message about an attempt. An unknown attempt is cancelled again: the first cancel may have been lost. */
function handleAttemptMessage(transaction: Transaction, link: EntryLink, message: AttemptMessage): void {
    const { state, policies } = transaction;
    const attempt = policies.findAttempt(state, message.attemptId);
    const request = attempt === undefined ? undefined : state.requests.get(attempt.requestId);
    if (attempt === undefined || request === undefined) {
        return send(transaction, link, { kind: "cancel", attemptId: message.attemptId, reason: "abandoned" });
    }
    dispatchAttemptMessage(transaction, request, attempt, message);
}

function dispatchAttemptMessage(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: AttemptMessage,
): void {
    switch (message.kind) {
        case "queued":
            return handleQueued(transaction, request, message);
        case "started":
            return handleStarted(transaction, request, attempt, message);
        case "notRun":
            return handleNotRun(transaction, request, attempt, message);
        case "tokens":
            return handleTokens(transaction, request, attempt, message);
        case "end":
            return handleEnd(transaction, request, attempt, message);
        case "failed":
            return handleFailed(transaction, request, attempt, message);
        case "response":
            return handleResponse(transaction, request, attempt, message);
    }
}

function handleTick(transaction: Transaction): void {
    const { state, now } = transaction;
    startDueReads(transaction);
    checkLinks(transaction);
    checkPendingChanges(transaction);
    appendDueSnapshot(transaction);
    expireClaims(state.claims, now, state.options.keyRetention);
    appendStatements(transaction);
    for (const request of [...state.requests.values()]) {
        checkRequest(transaction, request);
    }
    checkPlannedStop(transaction);
}

function checkRequest(transaction: Transaction, request: EntryRequest): void {
    const { now } = transaction;
    if (now >= request.deadline) {
        const message = "the request's deadline has passed";
        return failRequest(transaction, request, "deadline_exceeded", message, currentOutcome(request));
    }
    if (failOverdueClaim(transaction, request)) {
        return;
    }
    if (now >= withdrawalTime(request)) {
        withdrawUnstarted(transaction, request);
    }
    else if (request.attempts.size === 0 && request.pendingClaimId === undefined) {
        dispatch(transaction, request);
    }
    recordSilentLinks(transaction, request);
    acknowledgeWritten(transaction, request, 1);
    sendDueComment(transaction, request);
}

/** A request counts as waiting for a link after this many missed heartbeats, before the link is closed as silent. */
const maxMissedHeartbeats = 2;

function recordSilentLinks({ state, now }: Transaction, request: EntryRequest): void {
    const maxSilence = maxMissedHeartbeats * state.options.heartbeatInterval;
    for (const { backendServer } of request.attempts.values()) {
        const link = state.links.get(backendServer);
        if (link !== undefined && now - link.lastReceived > maxSilence) {
            setWaitReason(request.waits, "link_silent", now);
        }
    }
}

function withdrawUnstarted(transaction: Transaction, request: EntryRequest): void {
    for (const attempt of request.attempts.values()) {
        if (attempt.generationId === undefined && !attempt.isWithdrawing) {
            withdrawAttempt(transaction, attempt);
        }
    }
}

function sendDueComment({ state, effects, now }: Transaction, request: EntryRequest): void {
    if (now - request.lastWrittenAt < state.options.commentInterval) {
        return;
    }
    request.lastWrittenAt = now;
    const { id: requestId, ahead, expected } = request;
    effects.push({ kind: "answerComment", requestId, reason: request.waits.reason ?? "queue", ahead, expected });
}

function checkPlannedStop({ state, policies, effects, now }: Transaction): void {
    const { stopRequestedAt, hasExited, options } = state;
    if (stopRequestedAt === undefined || hasExited || now - stopRequestedAt < options.stopGrace) {
        return;
    }
    const isOverdue = options.stopTimeout > 0 && now - stopRequestedAt >= options.stopTimeout;
    if (isOverdue || policies.mayExit(state)) {
        state.hasExited = true;
        effects.push({ kind: "exit" });
    }
}
