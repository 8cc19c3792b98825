/**
 * The one door: every event of an entry goes through {@link reduceEntry}, which changes the state and returns the
 * effects. It reads no clock, no chance and no I/O of its own.
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
    acknowledgeDue,
    dispatch,
    takeEnd,
    takeFailed,
    takeNotRun,
    takeQueued,
    takeResponse,
    takeStarted,
    takeTokens,
    withdraw,
} from "./attempts.js";
import { appendStatements, takeAppended, takeAppendFailed, takeVerdicts, tendClaim } from "./claims.js";
import {
    noteRead,
    noteReadFailed,
    takeChangeAppendFailed,
    takeConfigurationRead,
    takeOperatorCall,
    takePeersAnswered,
    tendChanges,
    tendFollowers,
    tendSnapshot,
} from "./configuration.js";
import type { EntryEffect } from "./effect.js";
import type { EntryEvent } from "./event.js";
import { takeInstances, takeLinkDown, takeLoad, takeWelcome, tendLinks } from "./links.js";
import { defaultEntryPolicies, type EntryPolicies } from "./parts.js";
import { failRequest, leaveRequest, presentOutcome, takeRequest, withdrawTime } from "./requests.js";
import type { EntryAttempt, EntryLink, EntryRequest, EntryState } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

type LinkMessageEvent = Extract<EntryEvent, { readonly kind: "linkMessage"; }>;
type ClaimsRead = Extract<EntryEvent, { readonly kind: "claimsRead"; }>;
type AttemptMessage = Extract<SidecarMessage, { readonly attemptId: unknown; }>;

/**
 * Takes one event. The state is changed in place; the effects are for the caller to perform, in order.
 *
 * @example
 * const effects = reduceEntry(state, { kind: "tick" }, now, source);
 */
export function reduceEntry(
    state: EntryState,
    event: EntryEvent,
    now: Milliseconds,
    source: RandomSource,
    parts: EntryPolicies = defaultEntryPolicies,
): EntryEffect[] {
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

function failViolated(transaction: Transaction, event: EntryEvent, violation: InvariantViolation): void {
    const { state, policies: parts, effects } = transaction;
    const attempt = event.kind === "linkMessage" && "attemptId" in event.message
        ? parts.findAttempt(state, event.message.attemptId)
        : undefined;
    const request = attempt === undefined ? undefined : state.requests.get(attempt.requestId);
    effects.push({ kind: "violated", requestId: request?.id, violation });
    if (request !== undefined) {
        failRequest(transaction, request, "internal", "an invariant did not hold", presentOutcome(request));
    }
}

function takeEvent(transaction: Transaction, event: EntryEvent): void {
    const { state } = transaction;
    switch (event.kind) {
        case "callerRequested":
            return takeRequest(transaction, event.requestId, event.call);
        case "callerLeft":
        case "callerBlocked":
        case "callerDrained": {
            const request = state.requests.get(event.requestId);
            return request && takeCallerEvent(transaction, request, event.kind);
        }
        case "linkMessage":
            return takeLinkMessage(transaction, event);
        case "linkClosed": {
            const link = state.links.get(event.backendServer);
            const isCurrent = link?.linkNumber === event.linkNumber && link.phase !== "closed";
            return isCurrent ? takeLinkDown(transaction, link, "closed") : undefined;
        }
        case "instancesListed":
            return takeInstances(transaction, event.instances);
        case "operatorCalled":
            return takeOperatorCall(transaction, event.callId, event.call);
        case "stopRequested":
            state.stopRequestedAt ??= transaction.now;
            return observe(transaction, { event: "stopping" });
        case "tick":
            return takeTick(transaction);
        default:
            return takeLogEvent(transaction, event);
    }
}

function takeLogEvent(
    transaction: Transaction,
    event: Extract<EntryEvent, { readonly kind: `${"configuration" | "claims" | "change" | "peers"}${string}`; }>,
): void {
    const { state } = transaction;
    switch (event.kind) {
        case "configurationRead":
            takeConfigurationRead(transaction, event);
            return tendFollowers(transaction);
        case "configurationReadFailed":
            noteReadFailed(transaction, state.configurationFollower, "configuration");
            return tendFollowers(transaction);
        case "claimsRead":
            takeClaimsRead(transaction, event);
            return tendFollowers(transaction);
        case "claimsReadFailed":
            return noteReadFailed(transaction, state.claimsFollower, "claims");
        case "claimsAppended":
            return takeAppended(transaction);
        case "claimsAppendFailed":
            return takeAppendFailed(transaction);
        case "changeAppended":
            return;
        case "changeAppendFailed":
            return takeChangeAppendFailed(transaction, event.changeId);
        case "peersAnswered":
            return takePeersAnswered(transaction, event.snapshots);
    }
}

function takeClaimsRead(transaction: Transaction, event: ClaimsRead): void {
    const { state, policies: parts, now } = transaction;
    noteRead(state.claimsFollower, now);
    const verdicts = foldClaims(state.claims, event.records, now, parts.claimRule);
    state.claims.next = Math.max(state.claims.next, event.earliest);
    state.claims.caughtUp ||= state.claims.next >= event.end;
    takeVerdicts(transaction, verdicts);
}

function takeCallerEvent(
    transaction: Transaction,
    request: EntryRequest,
    kind: "callerLeft" | "callerBlocked" | "callerDrained",
): void {
    if (kind === "callerLeft") {
        return leaveRequest(transaction, request);
    }
    request.isBlocked = kind === "callerBlocked";
    acknowledgeDue(transaction, request, 1);
}

function takeLinkMessage(transaction: Transaction, event: LinkMessageEvent): void {
    const { state, now } = transaction;
    const { message } = event;
    const link = state.links.get(event.backendServer);
    if (link === undefined || link.linkNumber !== event.linkNumber || link.phase === "closed") {
        return;
    }
    link.lastReceived = now;
    if (message.kind === "welcome") {
        return takeWelcome(transaction, link, message);
    }
    if (message.kind === "load") {
        return takeLoad(transaction, link, message);
    }
    if (message.kind !== "heartbeat") {
        takeAttemptMessage(transaction, link, message);
    }
}

/** An attempt that this entry has let go of is cancelled once more: the first word of it may have been lost. */
function takeAttemptMessage(transaction: Transaction, link: EntryLink, message: AttemptMessage): void {
    const { state, policies: parts } = transaction;
    const attempt = parts.findAttempt(state, message.attemptId);
    const request = attempt === undefined ? undefined : state.requests.get(attempt.requestId);
    if (attempt === undefined || request === undefined) {
        return send(transaction, link, { kind: "cancel", attemptId: message.attemptId, reason: "abandoned" });
    }
    applyAttemptMessage(transaction, request, attempt, message);
}

function applyAttemptMessage(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: AttemptMessage,
): void {
    switch (message.kind) {
        case "queued":
            return takeQueued(transaction, request, message);
        case "started":
            return takeStarted(transaction, request, attempt, message);
        case "notRun":
            return takeNotRun(transaction, request, attempt, message);
        case "tokens":
            return takeTokens(transaction, request, attempt, message);
        case "end":
            return takeEnd(transaction, request, attempt, message);
        case "failed":
            return takeFailed(transaction, request, attempt, message);
        case "response":
            return takeResponse(transaction, request, attempt, message);
    }
}

function takeTick(transaction: Transaction): void {
    const { state, now } = transaction;
    tendFollowers(transaction);
    tendLinks(transaction);
    tendChanges(transaction);
    tendSnapshot(transaction);
    expireClaims(state.claims, now, state.options.keyRetention);
    appendStatements(transaction);
    for (const request of [...state.requests.values()]) {
        tendRequest(transaction, request);
    }
    exitWhenDrained(transaction);
}

function tendRequest(transaction: Transaction, request: EntryRequest): void {
    const { now } = transaction;
    if (now >= request.deadline) {
        const message = "the request's deadline has passed";
        return failRequest(transaction, request, "deadline_exceeded", message, presentOutcome(request));
    }
    if (tendClaim(transaction, request)) {
        return;
    }
    if (now >= withdrawTime(request)) {
        withdrawUnstarted(transaction, request);
    }
    else if (request.attempts.size === 0 && request.pendingClaimId === undefined) {
        dispatch(transaction, request);
    }
    noteSilentLink(transaction, request);
    acknowledgeDue(transaction, request, 1);
    breakSilence(transaction, request);
}

/** Heartbeats missed before a request counts as waiting for a link, sooner than the link is given up. */
const missedHeartbeats = 2;

function noteSilentLink({ state, now }: Transaction, request: EntryRequest): void {
    const silence = missedHeartbeats * state.options.heartbeatInterval;
    for (const { backendServer } of request.attempts.values()) {
        const link = state.links.get(backendServer);
        if (link !== undefined && now - link.lastReceived > silence) {
            setWaitReason(request.waits, "link_silent", now);
        }
    }
}

function withdrawUnstarted(transaction: Transaction, request: EntryRequest): void {
    for (const attempt of request.attempts.values()) {
        if (attempt.generationId === undefined && !attempt.isWithdrawing) {
            withdraw(transaction, attempt);
        }
    }
}

function breakSilence({ state, effects, now }: Transaction, request: EntryRequest): void {
    if (now - request.lastWrittenAt < state.options.commentInterval) {
        return;
    }
    request.lastWrittenAt = now;
    const { id: requestId, ahead, expected } = request;
    effects.push({ kind: "answerComment", requestId, reason: request.waits.reason ?? "queue", ahead, expected });
}

function exitWhenDrained({ state, policies: parts, effects, now }: Transaction): void {
    const { stopRequestedAt, hasExited: exited, options } = state;
    if (stopRequestedAt === undefined || exited || now - stopRequestedAt < options.stopGrace) {
        return;
    }
    const isOverdue = options.stopTimeout > 0 && now - stopRequestedAt >= options.stopTimeout;
    if (isOverdue || parts.mayExit(state)) {
        state.hasExited = true;
        effects.push({ kind: "exit" });
    }
}
