/**
 * Sends requests to backend servers, and decides what follows when an attempt ends: the answer, another attempt, or an
 * honest failure.
 */
import {
    createServerHealth,
    recordErrorResponse,
    recordFailure,
    recordSuccess,
    type ServerHealth,
} from "@verbenaspring/coordination";
import type { AttemptId, Milliseconds } from "@verbenaspring/model";
import type { AttemptFailure, GatewayEvent } from "./event.js";
import type { BackendAnswer, ResponseHead } from "./messages.js";
import { describe, failRequest, finish } from "./requests.js";
import { canSendAgain, dispatch } from "./sending.js";
import { removeLoad } from "./serverLoad.js";
import { noteHeard, tendStream } from "./silence.js";
import type { Attempt, GatewayRequest } from "./state.js";
import { continueStream } from "./streams.js";
import { record, type Transaction } from "./transaction.js";

type AttemptFailed = Extract<GatewayEvent, { readonly kind: "attemptFailed"; }>;

/** When to come back where servers refused for lack of room; most work of plain services is done by then. */
const refusedReturn: Milliseconds = 150;
/** An idempotent call without an answer is tried elsewhere after this share of the time that it has. */
const patience = 0.45;
/** The same as a multiple of the target latency, whichever comes later. */
const patienceTargets = 3;

/** Takes a whole answer. */
export function takeAnswer(transaction: Transaction, attemptId: AttemptId, answer: BackendAnswer): void {
    const { state, now, effects } = transaction;
    const request = state.attempts.get(attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt === undefined) {
        return;
    }
    const verdict = judge(request, answer);
    noteHealth(transaction, attempt, verdict === "delivered" || verdict === "not_run" ? undefined : verdict);
    endAttempt(transaction, request, attempt, "ended");
    switch (verdict) {
        case "delivered":
            record(transaction, "debug", "request_answered", {
                ...describe(transaction, request),
                status: answer.status,
                took: Math.round(now - request.arrivedAt),
            });
            effects.push({ kind: "answerWhole", requestId: request.id, answer });
            return finish(transaction, request);
        case "not_run":
            request.possibleRuns--;
            return continueAfter(transaction, request, attempt, "refused_by_server");
        case "server_failed":
            return continueAfter(transaction, request, attempt, "server_failed", answer);
        default:
            return continueAfter(transaction, request, attempt, verdict);
    }
}

type AnswerVerdict = "delivered" | "not_run" | "server_failed" | "answer_of_another" | "answer_malformed";

/** What an answer's head says of the attempt. */
export function judge({ head }: GatewayRequest, answer: ResponseHead): AnswerVerdict {
    if (answer.isNotRun) {
        return "not_run";
    }
    if (answer.callerAttemptId !== head.callerAttemptId) {
        return "answer_of_another";
    }
    if (!answer.isSealed || answer.isEncoded) {
        return "answer_malformed";
    }
    const firstServerError = 500;
    return answer.status >= firstServerError || promisesNoRun(answer) ? "server_failed" : "delivered";
}

/** Statuses by which callers take it for sure that a request did not run and never will. */
const noRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function promisesNoRun({ status }: ResponseHead): boolean {
    return noRunStatuses.has(status);
}

/** Takes an attempt that ended without an answer. */
export function takeAttemptFailed(transaction: Transaction, event: AttemptFailed): void {
    const request = transaction.state.attempts.get(event.attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt === undefined) {
        return;
    }
    noteHealth(transaction, attempt, event.failure);
    endAttempt(transaction, request, attempt, "ended");
    if (!event.wasSent) {
        request.possibleRuns--;
    }
    continueAfter(transaction, request, attempt, event.failure);
}

/** Why an attempt did not give the answer. */
export type AttemptOutcome = AttemptFailure | "refused_by_server" | "server_failed" | "silent";

/**
 * What follows an attempt that did not give the answer.
 *
 * @param answer the server's own failure, which is passed on where nothing better can be had
 */
export function continueAfter(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
    answer?: BackendAnswer,
): void {
    record(transaction, "info", "attempt_failed", {
        ...describe(transaction, request),
        server: attempt.server.record.id,
        outcome,
        took: Math.round(transaction.now - attempt.startedAt),
    });
    if (request.route.isStream && continueStream(transaction, request, attempt, outcome)) {
        return;
    }
    const { isIdempotent, canResume, maximumAttempts } = request.route;
    const mayRunAgain = request.possibleRuns === 0
        || ((isIdempotent || canResume) && request.possibleRuns < maximumAttempts);
    if (mayRunAgain && canSendAgain(transaction, request)) {
        return dispatch(transaction, request);
    }
    if (answer !== undefined && !request.isHeadWritten && !promisesNoRun(answer)) {
        transaction.effects.push({ kind: "answerWhole", requestId: request.id, answer });
        return finish(transaction, request);
    }
    if (request.possibleRuns === 0) {
        return failRequest(transaction, request, "overloaded", "no server took the request", refusedReturn);
    }
    failRequest(transaction, request, "backend_server_failed", "the server's answer was lost");
}

/** Takes an attempt from the state, and ends its call where it still runs. */
export function endAttempt(
    { state, effects }: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    how: "ended" | "cancel",
): void {
    removeLoad(state, attempt);
    state.attempts.delete(attempt.id);
    request.attempt = undefined;
    if (how === "cancel") {
        effects.push({ kind: "cancelAttempt", attemptId: attempt.id });
    }
}

/** Counts how an attempt ended for the server's health. */
export function noteHealth(transaction: Transaction, attempt: Attempt, failure: AttemptOutcome | undefined): void {
    const { state, now } = transaction;
    const { id } = attempt.server.record;
    const health: ServerHealth = state.health.get(id) ?? createServerHealth();
    state.health.set(id, health);
    if (failure === undefined) {
        noteHeard(state, id, now);
        return recordSuccess(health, (attempt.firstEventAt ?? now) - attempt.startedAt);
    }
    if (failure === "server_failed") {
        noteHeard(state, id, now);
        return recordErrorResponse(health, now - attempt.startedAt);
    }
    if (recordFailure(health, now, failure === "connect_refused")) {
        record(transaction, "warn", "server_left_out", {
            server: id,
            failure,
            failureShare: Math.round(health.failureShare * 100) / 100,
            duration: Math.round(health.ejectedUntil - now),
        });
    }
}

/** Ends requests whose time is over, and tries those elsewhere whose server has been silent for too long. */
export function tendRequests(transaction: Transaction): void {
    for (const request of [...transaction.state.requests.values()]) {
        tendRequest(transaction, request);
    }
}

function tendRequest(transaction: Transaction, request: GatewayRequest): void {
    const { now } = transaction;
    if (now >= request.finishBy) {
        return failRequest(transaction, request, "deadline_exceeded", "no complete answer within the time allowed");
    }
    const { attempt, route } = request;
    if (attempt === undefined) {
        return;
    }
    if (route.isStream) {
        return tendStream(transaction, request, attempt);
    }
    const limit = Math.max(patienceTargets * route.targetLatency, patience * (request.finishBy - attempt.startedAt));
    const canRepeat = route.isIdempotent && request.possibleRuns < route.maximumAttempts;
    if (now - attempt.startedAt >= limit && canRepeat && canSendAgain(transaction, request)) {
        abandon(transaction, request, attempt);
    }
}

/** Gives up an attempt whose server is silent. */
export function abandon(transaction: Transaction, request: GatewayRequest, attempt: Attempt): void {
    noteHealth(transaction, attempt, "silent");
    endAttempt(transaction, request, attempt, "cancel");
    continueAfter(transaction, request, attempt, "silent");
}
