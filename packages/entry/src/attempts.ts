/**
 * Attempts: sends a request to a sidecar and handles the sidecar's messages until the answer is complete or the attempt
 * is refused or lost.
 */
import {
    assertContinues,
    type End,
    type Failed,
    jitterRetryAfter,
    type NotRun,
    type Queued,
    type Response,
    setWaitReason,
    type SidecarView,
    type Started,
    type Tokens,
} from "@verbenaspring/coordination";
import {
    type AttemptId,
    type BackendServerId,
    type FailureType,
    identifier,
    type Milliseconds,
} from "@verbenaspring/model";
import { completeGeneration, completeResponse, currentOutcome, failRequest } from "./requests.js";
import {
    type EntryAttempt,
    type EntryLink,
    type EntryRequest,
    isDrained,
    isEvacuated,
    isServiceEvacuated,
} from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

const maxAttemptsPerRequest = 6;
/** A request fails as overloaded once this many backend servers have refused it as overloaded. */
const maxOverloadRefusals = 2;
/** The `retryAfter` where all backend servers of a service are evacuated. */
const evacuatedRetryAfter: Milliseconds = 1_000;
/** How long a request avoids a backend server that refused it for a reason other than overload. */
const avoidDuration: Milliseconds = 500;
/** Tokens are acknowledged once this many have been written, so that not every token message costs another. */
const acknowledgeThreshold = 64;

/**
 * Sends a request to the sidecar that the routing policy chooses, or to the one in its cursor if it resumes an answer.
 * Without a candidate the request waits for one until its deadline, or fails at once if a backend server has already
 * refused it as overloaded or all backend servers of its service are evacuated.
 */
export function dispatch(transaction: Transaction, request: EntryRequest): void {
    if (request.cursor !== undefined) {
        return dispatchResume(transaction, request);
    }
    const { state, policies, source, now } = transaction;
    const candidates = [...state.links.values()].filter(link => isCandidate(transaction, request, link));
    if (candidates.length === 0) {
        return waitForBackendServer(transaction, request);
    }
    const chosen = policies.routing(candidates.map(createSidecarView), source.random);
    const link = state.links.get(chosen.backendServer)!;
    const attempt = addAttempt(transaction, request, link);
    link.sentSinceReport++;
    setWaitReason(request.waits, "queue", now);
    sendRun(transaction, request, attempt, false);
}

function isCandidate({ state, now }: Transaction, request: EntryRequest, link: EntryLink): boolean {
    const { backendServer, instance, phase, leaving } = link;
    const hasAttempt = [...request.attempts.values()].some(attempt => attempt.backendServer === backendServer);
    const isAvoided = (request.avoidUntil.get(backendServer) ?? 0) > now;
    return phase === "open"
        && instance.service === request.work.service
        && !leaving
        && !instance.leaving
        && !isDrained(state, backendServer)
        && !isEvacuated(state, instance.failureDomain)
        && !hasAttempt
        && !isAvoided;
}

function createSidecarView(link: EntryLink): SidecarView {
    const { backendServer, load, sentSinceReport } = link;
    return {
        backendServer,
        freeTokens: load?.freeTokens ?? 0,
        expectedWait: load?.expectedWait ?? 0,
        sentSinceReport,
    };
}

function waitForBackendServer(transaction: Transaction, request: EntryRequest): void {
    if (request.overloadRefusals > 0) {
        return failOverloaded(transaction, request);
    }
    if (request.attempts.size === 0 && isServiceEvacuated(transaction.state, request.work.service)) {
        const message = "the failure domains of the service's backend servers are evacuated";
        const retryAfter = jitterRetryAfter(evacuatedRetryAfter, transaction.source.random);
        const outcome = currentOutcome(request);
        return failRequest(transaction, request, "no_backend_server", message, outcome, retryAfter);
    }
    setWaitReason(request.waits, "no_backend_server", transaction.now);
}

function failOverloaded(transaction: Transaction, request: EntryRequest): void {
    const outcome = currentOutcome(request);
    const retryAfter = jitterRetryAfter(request.expected, transaction.source.random);
    failRequest(transaction, request, "overloaded", "no backend server can start it in time", outcome, retryAfter);
}

function dispatchResume(transaction: Transaction, request: EntryRequest): void {
    const { state, now } = transaction;
    const cursor = request.cursor!;
    const link = state.links.get(cursor.backendServer);
    const isReplaced = link?.phase === "open" && link.sidecarIncarnation !== cursor.sidecarIncarnation;
    if (link === undefined || isReplaced) {
        const message = "the generation is no longer kept";
        return failRequest(transaction, request, "generation_not_found", message, "generation_lost");
    }
    if (link.phase !== "open") {
        return setWaitReason(request.waits, "link_silent", now);
    }
    const attempt = addAttempt(transaction, request, link);
    sendResume(transaction, request, attempt);
}

function addAttempt(transaction: Transaction, request: EntryRequest, link: EntryLink): EntryAttempt {
    const { state, source } = transaction;
    const attempt: EntryAttempt = {
        id: identifier<AttemptId>(source.newIdentifier()),
        requestId: request.id,
        backendServer: link.backendServer,
        sidecarIncarnation: link.sidecarIncarnation!,
        isResume: request.cursor !== undefined,
        isWithdrawing: false,
        generationId: request.cursor?.generationId,
    };
    request.attemptCount++;
    request.attempts.set(attempt.id, attempt);
    state.attempts.set(attempt.id, attempt);
    return attempt;
}

function sendRun(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt, resent: boolean): void {
    const { state, now } = transaction;
    const isPinned = request.ledger.pinnedAttempt === attempt.id;
    send(transaction, state.links.get(attempt.backendServer), {
        kind: "run",
        ...request.work,
        attemptId: attempt.id,
        sidecarIncarnation: attempt.sidecarIncarnation,
        timeLeft: request.deadline - now,
        from: isPinned ? request.ledger.next : 0,
        resent,
    });
}

function sendResume(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt): void {
    send(transaction, transaction.state.links.get(attempt.backendServer), {
        kind: "resume",
        attemptId: attempt.id,
        sidecarIncarnation: attempt.sidecarIncarnation,
        generationId: request.cursor!.generationId,
        organisation: request.work.organisation,
        from: request.ledger.next,
    });
}

/** Sends an attempt's withdrawal, resume or run again, over a new link or after a gap in the tokens. */
export function resendAttempt(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt): void {
    if (attempt.isWithdrawing) {
        return withdrawAttempt(transaction, attempt);
    }
    if (attempt.isResume) {
        return sendResume(transaction, request, attempt);
    }
    sendRun(transaction, request, attempt, true);
}

/** Asks the sidecar never to start an attempt. The attempt's run message is not sent again after this. */
export function withdrawAttempt(transaction: Transaction, attempt: EntryAttempt): void {
    attempt.isWithdrawing = true;
    const link = transaction.state.links.get(attempt.backendServer);
    send(transaction, link, { kind: "withdraw", attemptId: attempt.id });
}

/** Cancels and forgets an attempt whose answer is not needed. */
export function cancelAttempt(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    reason: "caller_left" | "abandoned",
): void {
    const link = transaction.state.links.get(attempt.backendServer);
    send(transaction, link, { kind: "cancel", attemptId: attempt.id, reason });
    forgetAttempt(transaction, request, attempt);
}

function forgetAttempt({ state }: Transaction, request: EntryRequest, attempt: EntryAttempt): void {
    state.attempts.delete(attempt.id);
    request.attempts.delete(attempt.id);
}

/** Acknowledges the attempt's final message and forgets the attempt. */
function settleAttempt(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt, next: number): void {
    const link = transaction.state.links.get(attempt.backendServer);
    send(transaction, link, { kind: "acknowledge", attemptId: attempt.id, next });
    forgetAttempt(transaction, request, attempt);
}

/** Handles `Queued`: the attempt waits at the sidecar. */
export function handleQueued(transaction: Transaction, request: EntryRequest, message: Queued): void {
    request.ahead = message.ahead;
    request.expected = message.expected;
    setWaitReason(request.waits, message.reason, transaction.now);
}

/** Handles `Started`: the attempt has started and has a generation. */
export function handleStarted(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: Started,
): void {
    attempt.generationId = message.generationId;
    setWaitReason(request.waits, "generating", transaction.now);
}

/**
 * Handles `NotRun`: the attempt has not run and never will. The request is dispatched to another backend server, or
 * fails at once.
 */
export function handleNotRun(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: NotRun,
): void {
    const { now } = transaction;
    settleAttempt(transaction, request, attempt, 0);
    if (request.attempts.size > 0) {
        return;
    }
    const { failureType, retryAfter } = message;
    if (failureType === "deadline_exceeded" || attempt.isWithdrawing) {
        const outcome = currentOutcome(request);
        return failRequest(transaction, request, "deadline_exceeded", "not started in time", outcome, retryAfter);
    }
    if (failureType === "body_too_large") {
        return failRequest(transaction, request, failureType, "the prompt exceeds the engine", currentOutcome(request));
    }
    if (failureType === "overloaded") {
        return handleOverloaded(transaction, request, attempt.backendServer, retryAfter);
    }
    request.avoidUntil.set(attempt.backendServer, now + avoidDuration);
    dispatch(transaction, request);
}

function handleOverloaded(
    transaction: Transaction,
    request: EntryRequest,
    backendServer: BackendServerId,
    retryAfter: Milliseconds,
): void {
    request.overloadRefusals++;
    request.expected = Math.max(request.expected, retryAfter);
    if (request.overloadRefusals >= maxOverloadRefusals) {
        return failOverloaded(transaction, request);
    }
    request.avoidUntil.set(backendServer, Infinity);
    dispatch(transaction, request);
}

/** Handles `Tokens`: forwards those that the caller has not been sent yet. */
export function handleTokens(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: Tokens,
): void {
    const { policies, now, effects } = transaction;
    const isFirst = request.ledger.pinnedAttempt === undefined;
    const decision = policies.acceptTokens(request.ledger, attempt.id, message.from, message.texts, policies.pinRule);
    if (decision.action === "ask_again") {
        return resendAttempt(transaction, request, attempt);
    }
    if (decision.action === "drop") {
        return;
    }
    assertContinues(request.ledger, request.writtenTokens, decision.from, attempt.id);
    if (isFirst) {
        observe(transaction, { event: "first_token", requestId: request.id, after: now - request.arrivedAt });
        cancelUnpinned(transaction, request);
    }
    request.writtenTokens += decision.texts.length;
    attempt.generationId = message.generationId;
    setWaitReason(request.waits, "generating", now);
    if (request.streamed) {
        request.lastWrittenAt = now;
        const { backendServer, sidecarIncarnation } = attempt;
        const generation = { backendServer, sidecarIncarnation, generationId: message.generationId };
        const { from, texts } = decision;
        effects.push({ kind: "answerTokens", requestId: request.id, generation, from, texts });
    }
    else {
        request.bufferedTexts.push(...decision.texts);
    }
    acknowledgeWritten(transaction, request, acknowledgeThreshold);
}

/** Cancels the attempts that the answer does not come from. */
function cancelUnpinned(transaction: Transaction, request: EntryRequest): void {
    for (const attempt of [...request.attempts.values()]) {
        if (!transaction.policies.pinRule(request.ledger, attempt.id)) {
            cancelAttempt(transaction, request, attempt, "abandoned");
        }
    }
}

/**
 * Acknowledges the tokens written since the last acknowledgement, once there are `threshold` of them. A blocked caller
 * delays this until it has drained.
 */
export function acknowledgeWritten(transaction: Transaction, request: EntryRequest, threshold: number): void {
    const { state } = transaction;
    const pinned = request.ledger.pinnedAttempt;
    const attempt = pinned === undefined ? undefined : request.attempts.get(pinned);
    if (attempt === undefined || request.isBlocked || request.writtenTokens - request.acknowledgedTokens < threshold) {
        return;
    }
    request.acknowledgedTokens = request.writtenTokens;
    const link = state.links.get(attempt.backendServer);
    send(transaction, link, { kind: "acknowledge", attemptId: attempt.id, next: request.writtenTokens });
}

/** Handles `End`: completes the answer if every token has been written, and requests the missing ones otherwise. */
export function handleEnd(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt, message: End): void {
    const { ledger } = request;
    if (ledger.pinnedAttempt !== undefined && ledger.pinnedAttempt !== attempt.id) {
        return;
    }
    if (ledger.next !== message.count) {
        return resendAttempt(transaction, request, attempt);
    }
    settleAttempt(transaction, request, attempt, message.count);
    completeGeneration(transaction, request, message.finishReason);
}

/** Handles `Response`: the whole answer of a plain service. */
export function handleResponse(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: Response,
): void {
    settleAttempt(transaction, request, attempt, 1);
    const { status, contentType, body } = message;
    completeResponse(transaction, request, { status, contentType, body });
}

/** Handles `Failed`: the attempt may have started, and its answer is not available. */
export function handleFailed(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: Failed,
): void {
    settleAttempt(transaction, request, attempt, 0);
    recoverFromLoss(transaction, request, attempt, message.failureType);
}

/** Handles the loss of the sidecar that held an attempt. */
export function handleAttemptLost(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt): void {
    const { backendServer } = attempt;
    observe(transaction, { event: "attempt_lost", requestId: request.id, backendServer });
    forgetAttempt(transaction, request, attempt);
    recoverFromLoss(transaction, request, attempt, attempt.isResume ? "generation_not_found" : "generation_lost");
}

/**
 * Fails or retries a request after an attempt that may have run was lost. If tokens of it have reached the caller the
 * answer fails, since tokens of two generations are never joined; otherwise an idempotent request is dispatched again.
 */
function recoverFromLoss(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    type: FailureType,
): void {
    request.mayHaveRun = true;
    if (attempt.isResume) {
        const message = "the generation can't be continued";
        const resumeType = type === "generation_lost" ? "generation_not_found" : type;
        return failRequest(transaction, request, resumeType, message, "generation_lost");
    }
    const isPinned = request.ledger.pinnedAttempt === attempt.id;
    if (!isPinned && request.attempts.size > 0) {
        return;
    }
    if (!transaction.policies.mayRunAgain(request) || request.attemptCount >= maxAttemptsPerRequest) {
        return failLost(transaction, request, type);
    }
    if (isPinned) {
        resetAnswer(request);
    }
    dispatch(transaction, request);
}

function failLost(transaction: Transaction, request: EntryRequest, type: FailureType): void {
    const outcome = currentOutcome(request);
    const isTruncated = outcome === "generation_lost";
    const message = isTruncated ? "the engine was lost in the middle of the answer" : "the outcome is not known";
    const finalType = type === "generation_lost" && !isTruncated ? "outcome_unknown" : type;
    failRequest(transaction, request, finalType, message, outcome);
}

function resetAnswer(request: EntryRequest): void {
    request.ledger.pinnedAttempt = undefined;
    request.ledger.next = 0;
    request.writtenTokens = 0;
    request.acknowledgedTokens = 0;
    request.bufferedTexts = [];
}

/**
 * Hedges a request when the link to its attempt's sidecar goes down: an idempotent request without tokens so far gets
 * one more attempt at another backend server. The first attempt to send tokens is pinned.
 */
export function hedgeRequest(transaction: Transaction, request: EntryRequest): void {
    setWaitReason(request.waits, "link_silent", transaction.now);
    const mayHedge = request.work.idempotent
        && request.cursor === undefined
        && request.ledger.pinnedAttempt === undefined
        && request.attempts.size < 2
        && request.attemptCount < maxAttemptsPerRequest;
    if (mayHedge) {
        dispatch(transaction, request);
    }
}
