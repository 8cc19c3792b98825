/**
 * Attempts: placing a request with a sidecar, and following it until its answer is whole, refused or lost.
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
import { completeGeneration, completeResponse, failRequest, presentOutcome } from "./requests.js";
import { type EntryAttempt, type EntryLink, type EntryRequest, isDrained } from "./state.js";
import { observe, send, type Transaction } from "./transaction.js";

const mostTries = 6;
/** A request that this many backend servers refused as overloaded is refused. */
const mostRefusals = 2;
/** How long a backend server that can't take work now is not tried again for one request. */
const avoidTime: Milliseconds = 500;
/** Tokens written before they are acknowledged, so that not every run of tokens costs a message. */
const acknowledgeStep = 64;

/** Places a request with a sidecar. Where there is none, the request waits for one until its deadline. */
export function dispatch(transaction: Transaction, request: EntryRequest): void {
    if (request.cursor !== undefined) {
        return dispatchResume(transaction, request);
    }
    const { state, policies: parts, source, now } = transaction;
    const candidates = [...state.links.values()].filter(link => isCandidate(transaction, request, link));
    if (candidates.length === 0) {
        return waitForBackend(transaction, request);
    }
    const chosen = parts.routing(candidates.map(viewOf), source.random);
    const link = state.links.get(chosen.backendServer)!;
    const attempt = addAttempt(transaction, request, link);
    link.sentSinceReport++;
    setWaitReason(request.waits, "queue", now);
    sendRun(transaction, request, attempt, false);
}

function isCandidate({ state, now }: Transaction, request: EntryRequest, link: EntryLink): boolean {
    const { backendServer, instance, phase, leaving } = link;
    const isTaken = [...request.attempts.values()].some(attempt => attempt.backendServer === backendServer);
    const isAvoided = (request.avoidUntil.get(backendServer) ?? 0) > now;
    return phase === "open"
        && instance.service === request.work.service
        && !leaving
        && !instance.leaving
        && !isDrained(state, backendServer)
        && !isTaken
        && !isAvoided;
}

function viewOf(link: EntryLink): SidecarView {
    const { backendServer, load, sentSinceReport } = link;
    return {
        backendServer,
        freeTokens: load?.freeTokens ?? 0,
        expectedWait: load?.expectedWait ?? 0,
        sentSinceReport,
    };
}

function waitForBackend(transaction: Transaction, request: EntryRequest): void {
    if (request.overloadRefusals > 0) {
        return failOverloaded(transaction, request);
    }
    setWaitReason(request.waits, "no_backend_server", transaction.now);
}

function failOverloaded(transaction: Transaction, request: EntryRequest): void {
    const outcome = presentOutcome(request);
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

/** Asks again, over a new link or after a gap, for what an attempt still owes. */
export function askAgain(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt): void {
    if (attempt.isWithdrawing) {
        return withdraw(transaction, attempt);
    }
    if (attempt.isResume) {
        return sendResume(transaction, request, attempt);
    }
    sendRun(transaction, request, attempt, true);
}

/** Asks the sidecar never to start an attempt. From here on the attempt's run is never asked for again. */
export function withdraw(transaction: Transaction, attempt: EntryAttempt): void {
    attempt.isWithdrawing = true;
    const link = transaction.state.links.get(attempt.backendServer);
    send(transaction, link, { kind: "withdraw", attemptId: attempt.id });
}

/** Lets go of an attempt whose answer is not needed. */
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

function settleAttempt(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt, next: number): void {
    const link = transaction.state.links.get(attempt.backendServer);
    send(transaction, link, { kind: "acknowledge", attemptId: attempt.id, next });
    forgetAttempt(transaction, request, attempt);
}

/** The attempt waits at the sidecar. */
export function takeQueued(transaction: Transaction, request: EntryRequest, message: Queued): void {
    request.ahead = message.ahead;
    request.expected = message.expected;
    setWaitReason(request.waits, message.reason, transaction.now);
}

/** The attempt has started. */
export function takeStarted(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: Started,
): void {
    attempt.generationId = message.generationId;
    setWaitReason(request.waits, "generating", transaction.now);
}

/** The attempt has not run and never will: the request goes elsewhere, or its caller is told at once. */
export function takeNotRun(
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
        const outcome = presentOutcome(request);
        return failRequest(transaction, request, "deadline_exceeded", "not started in time", outcome, retryAfter);
    }
    if (failureType === "body_too_large") {
        return failRequest(transaction, request, failureType, "the prompt exceeds the engine", presentOutcome(request));
    }
    if (failureType === "overloaded") {
        return takeOverloaded(transaction, request, attempt.backendServer, retryAfter);
    }
    request.avoidUntil.set(attempt.backendServer, now + avoidTime);
    dispatch(transaction, request);
}

function takeOverloaded(
    transaction: Transaction,
    request: EntryRequest,
    backendServer: BackendServerId,
    retryAfter: Milliseconds,
): void {
    request.overloadRefusals++;
    request.expected = Math.max(request.expected, retryAfter);
    if (request.overloadRefusals >= mostRefusals) {
        return failOverloaded(transaction, request);
    }
    request.avoidUntil.set(backendServer, Infinity);
    dispatch(transaction, request);
}

/** A run of tokens has come: forwards what the caller has not had. */
export function takeTokens(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: Tokens,
): void {
    const { policies: parts, now, effects } = transaction;
    const isFirst = request.ledger.pinnedAttempt === undefined;
    const decision = parts.acceptTokens(request.ledger, attempt.id, message.from, message.texts, parts.pinRule);
    if (decision.action === "ask_again") {
        return askAgain(transaction, request, attempt);
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
    acknowledgeDue(transaction, request, acknowledgeStep);
}

function cancelUnpinned(transaction: Transaction, request: EntryRequest): void {
    for (const attempt of [...request.attempts.values()]) {
        if (!transaction.policies.pinRule(request.ledger, attempt.id)) {
            cancelAttempt(transaction, request, attempt, "abandoned");
        }
    }
}

/** Acknowledges what the caller has drained, once it is `step` tokens or more. */
export function acknowledgeDue(transaction: Transaction, request: EntryRequest, step: number): void {
    const { state } = transaction;
    const pinned = request.ledger.pinnedAttempt;
    const attempt = pinned === undefined ? undefined : request.attempts.get(pinned);
    if (attempt === undefined || request.isBlocked || request.writtenTokens - request.acknowledgedTokens < step) {
        return;
    }
    request.acknowledgedTokens = request.writtenTokens;
    const link = state.links.get(attempt.backendServer);
    send(transaction, link, { kind: "acknowledge", attemptId: attempt.id, next: request.writtenTokens });
}

/** The generation is complete: so is the answer, once every token has been written. */
export function takeEnd(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt, message: End): void {
    const { ledger } = request;
    if (ledger.pinnedAttempt !== undefined && ledger.pinnedAttempt !== attempt.id) {
        return;
    }
    if (ledger.next !== message.count) {
        return askAgain(transaction, request, attempt);
    }
    settleAttempt(transaction, request, attempt, message.count);
    completeGeneration(transaction, request, message.finishReason);
}

/** A plain service has answered. */
export function takeResponse(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: Response,
): void {
    settleAttempt(transaction, request, attempt, 1);
    const { status, contentType, body } = message;
    completeResponse(transaction, request, { status, contentType, body });
}

/** The attempt started and its answer can't be had. */
export function takeFailed(
    transaction: Transaction,
    request: EntryRequest,
    attempt: EntryAttempt,
    message: Failed,
): void {
    settleAttempt(transaction, request, attempt, 0);
    afterLoss(transaction, request, attempt, message.failureType);
}

/** The sidecar that held the attempt is gone. */
export function loseAttempt(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt): void {
    const { backendServer } = attempt;
    observe(transaction, { event: "attempt_lost", requestId: request.id, backendServer });
    forgetAttempt(transaction, request, attempt);
    afterLoss(transaction, request, attempt, attempt.isResume ? "generation_not_found" : "generation_lost");
}

/**
 * An attempt came to nothing after it may have started. Where its tokens have reached the caller the answer ends here,
 * since two generations are never spliced; otherwise an idempotent request starts afresh.
 */
function afterLoss(transaction: Transaction, request: EntryRequest, attempt: EntryAttempt, type: FailureType): void {
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
    if (!transaction.policies.mayRunAgain(request) || request.attemptCount >= mostTries) {
        return failLost(transaction, request, type);
    }
    if (isPinned) {
        restartAnswer(request);
    }
    dispatch(transaction, request);
}

function failLost(transaction: Transaction, request: EntryRequest, type: FailureType): void {
    const outcome = presentOutcome(request);
    const isCutOff = outcome === "generation_lost";
    const message = isCutOff ? "the engine was lost in the middle of the answer" : "the outcome is not known";
    const finalType = type === "generation_lost" && !isCutOff ? "outcome_unknown" : type;
    failRequest(transaction, request, finalType, message, outcome);
}

function restartAnswer(request: EntryRequest): void {
    request.ledger.pinnedAttempt = undefined;
    request.ledger.next = 0;
    request.writtenTokens = 0;
    request.acknowledgedTokens = 0;
    request.bufferedTexts = [];
}

/**
 * The link to an attempt's sidecar is down. An idempotent request that has delivered nothing is tried elsewhere as
 * well; whichever answers first is pinned.
 */
export function hedgeAttempt(transaction: Transaction, request: EntryRequest): void {
    setWaitReason(request.waits, "link_silent", transaction.now);
    const mayHedge = request.work.idempotent
        && request.cursor === undefined
        && request.ledger.pinnedAttempt === undefined
        && request.attempts.size < 2
        && request.attemptCount < mostTries;
    if (mayHedge) {
        dispatch(transaction, request);
    }
}
