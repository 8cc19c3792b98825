/**
 * Ends attempts, and decides what happens to the request: its answer is passed on, it is sent again, or it fails. A
 * failure reports whether the request may have run.
 */
import {
    createServerHealth,
    recordErrorResponse,
    recordFailure,
    recordSuccess,
    type ServerHealth,
} from "@verbenaspring/coordination";
import type { AttemptId, Milliseconds } from "@verbenaspring/model";
import { recordAbandonedRun } from "./abandonedRuns.js";
import { continueEndCheck, endsUnframed, endsWithTimeLimit, startEndCheck } from "./answerEnds.js";
import { recordColdStatement } from "./coldServers.js";
import { failSuspended, recordBegunRun, recordLostRun, suspensionOf } from "./crashSuspects.js";
import type { AttemptFailure, GatewayEvent } from "./event.js";
import { recordLeavingNotice } from "./leavingServers.js";
import { probeRestartedServer, probeSilentServer, recordSignOfLife } from "./liveness.js";
import type { BackendAnswer, ResponseHead } from "./messages.js";
import { handleEndAfterStop } from "./migration.js";
import { replicaState } from "./replicas.js";
import { recordRequestLimit } from "./requestLimits.js";
import { failRequest, finishAnswered, logAnswered, requestFields } from "./requests.js";
import { countPossibleRuns, recordNoRun } from "./runLedger.js";
import { canDispatchAgain, dispatch, failIfEvacuated, timeUntilUsable } from "./sending.js";
import { isSuperseded, runFate } from "./serverIncarnations.js";
import { removeLoad } from "./serverLoad.js";
import { recordServerPause } from "./serverPauses.js";
import { checkSilentAttempt, returnToSilentAttempt, setSilentAttemptAside } from "./silentAttempts.js";
import { type Attempt, endsAt, type GatewayRequest } from "./state.js";
import { logPart } from "./streamParts.js";
import { continueFromReplica, passOnWhole } from "./streams.js";
import { logDecision, type Transaction } from "./transaction.js";

type AttemptFailed = Extract<GatewayEvent, { readonly kind: "attemptFailed"; }>;

/**
 * The `retryAfter` where servers refused for lack of capacity. Most requests of plain services finish within this time.
 */
const refusedRetryAfter: Milliseconds = 150;
/**
 * An unanswered idempotent call is sent to another server after this share of the time that was left when it was sent.
 */
const silenceTimeoutShare = 0.45;
/** The same timeout as a multiple of the route's target latency. The longer of the two applies. */
const silenceTimeoutTargets = 3;

/** Handles an answer that is not a stream. One without framing is settled once its server has been asked. */
export function handleAnswer(transaction: Transaction, attemptId: AttemptId, answer: BackendAnswer): void {
    const request = transaction.state.attempts.get(attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt === undefined) {
        return;
    }
    const headClass = classifyAnswer(request, answer);
    if (isByServer(headClass, answer)) {
        recordDeclarations(transaction, attempt, answer);
        if (endsUnframed(answer)) {
            return endsWithTimeLimit(request, transaction.now)
                ? failAtTimeLimit(transaction, request, attempt)
                : startEndCheck(transaction, attempt, answer);
        }
    }
    settleAnswer(transaction, request, attempt, answer);
}

/** Fails a request whose server may have stopped its unframed answer at the end of the time limit. */
export function failAtTimeLimit(transaction: Transaction, request: GatewayRequest, attempt: Attempt): void {
    recordHealth(transaction, attempt, undefined);
    endAttempt(transaction, request, attempt, "ended");
    const message = "the answer ended with its time limit, and may not be complete";
    failRequest(transaction, request, "deadline_exceeded", message);
}

/** Passes on an answer that is whole, sends its request again, or fails it. */
export function settleAnswer(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    answer: BackendAnswer,
): void {
    const headClass = classifyAnswer(request, answer);
    // Only events or an end can follow the first events of a stream.
    const answerClass = headClass === "delivered" && request.origin !== undefined ? "answer_malformed" : headClass;
    recordHealth(
        transaction,
        attempt,
        answerClass === "delivered" || answerClass === "not_run" ? undefined : answerClass,
    );
    endAttempt(transaction, request, attempt, "ended");
    switch (answerClass) {
        case "delivered":
            recordBegunRun(transaction, request);
            logAnswered(transaction, request, "request_answered", { status: answer.status });
            transaction.effects.push({ kind: "answerWhole", requestId: request.id, answer });
            return finishAnswered(transaction, request);
        case "not_run":
            recordNoRun(request.runs, attempt.id);
            return retryOrFail(transaction, request, attempt, "refused_by_server");
        case "server_failed":
            return retryOrFail(transaction, request, attempt, "server_failed", answer);
        default:
            return retryOrFail(transaction, request, attempt, answerClass);
    }
}

type AnswerClass = "delivered" | "not_run" | "server_failed" | "answer_of_another" | "answer_malformed";

/**
 * Classifies an answer by its head: whether it can be delivered, and if not, why. A refusal that names another request,
 * or none on a channel that was used before, may be a late answer to an earlier call; it says nothing about this request,
 * which may have run.
 */
export function classifyAnswer({ head }: GatewayRequest, answer: ResponseHead): AnswerClass {
    const isNamed = answer.callerAttemptId === head.callerAttemptId;
    if (answer.isNotRun && (isNamed || (answer.callerAttemptId === undefined && answer.isFirstOnChannel))) {
        return "not_run";
    }
    if (!isNamed) {
        return "answer_of_another";
    }
    if (!answer.isSealed || answer.isEncoded) {
        return "answer_malformed";
    }
    const firstServerError = 500;
    return answer.status >= firstServerError || signalsNotRun(answer) ? "server_failed" : "delivered";
}

/** The status of a server that is not the one that was called, as when its address is used again. */
const misdirectedStatus = 421;

/** Whether an answer is certain to come from the attempt's server. */
export function isByServer(answerClass: AnswerClass, { status }: ResponseHead): boolean {
    return answerClass === "delivered" || answerClass === "server_failed"
        || (answerClass === "not_run" && status !== misdirectedStatus);
}

/** Records what a server says of itself in the head of an answer. */
export function recordDeclarations(transaction: Transaction, attempt: Attempt, head: ResponseHead): void {
    if (!isSuperseded(transaction.state, attempt.server)) {
        recordRequestLimit(transaction, attempt, head);
        recordServerPause(transaction, attempt, head);
        recordColdStatement(transaction, attempt.server.record, head.coldRemaining);
    }
    if (head.isLeaving) {
        recordLeavingNotice(transaction, attempt.server.record);
    }
}

/**
 * Statuses that tell a caller that its request did not run and never will. A server that did not run a request also
 * marks the head of its answer as not run. Without that mark the request may have run, so the answer is not passed on.
 */
const notRunStatuses: ReadonlySet<number> = new Set([408, misdirectedStatus, 429, 503]);

function signalsNotRun({ status }: ResponseHead): boolean {
    return notRunStatuses.has(status);
}

/** Handles an attempt that ended without an answer. */
export function handleAttemptFailed(transaction: Transaction, event: AttemptFailed): void {
    const request = transaction.state.attempts.get(event.attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt === undefined) {
        return;
    }
    if (handleEndAfterStop(transaction, request, attempt, "lost")) {
        return;
    }
    if (!event.wasSent) {
        recordNoRun(request.runs, attempt.id);
    }
    loseAttempt(transaction, request, attempt, event.failure, event.wasSent);
}

/**
 * Ends an attempt without an answer, and continues, retries or fails the request.
 *
 * @param mayHaveRun whether a run of it may have been lost
 */
export function loseAttempt(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    failure: AttemptFailure,
    mayHaveRun: boolean,
): void {
    recordHealth(transaction, attempt, failure);
    endAttempt(transaction, request, attempt, "ended");
    if (mayHaveRun) {
        recordLostRun(transaction, request, attempt, failure);
    }
    // The blame for a restart that is already known may have ended the request.
    if (transaction.state.requests.has(request.id)) {
        retryOrFail(transaction, request, attempt, failure);
    }
}

/** Why an attempt produced no deliverable answer. */
export type AttemptOutcome =
    | AttemptFailure
    | "refused_by_server"
    | "server_failed"
    | "silent"
    | "server_restarted"
    | "stopped";

/**
 * Handles an attempt without a deliverable answer: continues the stream from its replica, sends the request again,
 * returns to its silent attempt, or ends it. An answer of which a part was received is only followed by the rest of a
 * stream, so that it is never made of two runs.
 *
 * @param answer the server's own error answer, which is passed on if the request can't be sent again
 */
export function retryOrFail(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
    answer?: BackendAnswer,
): void {
    logAttemptFailed(transaction, request, attempt, outcome);
    recordAbandonedRun(transaction, request, attempt, outcome);
    const suspension = suspensionOf(transaction, request);
    const canGoOn = suspension === undefined && request.isContinuable;
    if (canGoOn && request.route.isStream && continueFromReplica(transaction, request, attempt, outcome)) {
        return;
    }
    if (canGoOn && mayRunAgain(request) && canDispatchAgain(transaction, request)) {
        return dispatch(transaction, request);
    }
    if (returnToSilentAttempt(transaction, request)) {
        return;
    }
    if (answer !== undefined && !request.isHeadWritten && !signalsNotRun(answer)) {
        logAnswered(transaction, request, "request_answered", { status: answer.status });
        transaction.effects.push({ kind: "answerWhole", requestId: request.id, answer });
        return finishAnswered(transaction, request);
    }
    if (suspension !== undefined) {
        return failSuspended(transaction, request, suspension);
    }
    if (countPossibleRuns(request.runs) === 0) {
        return failUnrun(transaction, request);
    }
    failRequest(transaction, request, "backend_server_failed", "the server's answer was lost");
}

/** Whether the rules allow another run of a request. */
function mayRunAgain({ route: { isIdempotent, canResume, maximumAttempts }, runs }: GatewayRequest): boolean {
    const possibleRuns = countPossibleRuns(runs);
    return possibleRuns === 0 || ((isIdempotent || canResume) && possibleRuns < maximumAttempts);
}

/** Fails a request that every server refused, or that reached none. */
function failUnrun(transaction: Transaction, request: GatewayRequest): void {
    if (!failIfEvacuated(transaction, request)) {
        const retryAfter = Math.max(refusedRetryAfter, timeUntilUsable(transaction, request) ?? 0);
        failRequest(transaction, request, "overloaded", "no server took the request", retryAfter);
    }
}

function logAttemptFailed(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
): void {
    const { now } = transaction;
    const { firstEventAt } = attempt;
    logDecision(transaction, "info", "attempt_failed", {
        ...requestFields(transaction, request),
        server: attempt.server.record.id,
        outcome,
        took: Math.round(now - attempt.startedAt),
        hasBegun: firstEventAt !== undefined,
        runAge: firstEventAt === undefined ? undefined : Math.round(now - firstEventAt),
        silence: Math.round(now - attempt.lastActivityAt),
        replica: attempt.replica?.record.id,
        replicaState: replicaState(transaction, attempt),
        failedTargets: attempt.failedTargets.size || undefined,
        serverLeavingFor: leavingFor(transaction, attempt),
        sharedParts: request.head.sharedParts.join(","),
    });
}

/** For how long the server of an attempt has been known to leave; undefined if it stays or is not known any more. */
function leavingFor({ state, now }: Transaction, { server }: Attempt): Milliseconds | undefined {
    const leavingSince = state.servers.get(server.record.id)?.leavingSince;
    return leavingSince === undefined ? undefined : Math.round(now - leavingSince);
}

/**
 * Removes an attempt from the state.
 *
 * @param how `cancel` where the call is still open and has to be cancelled
 */
export function endAttempt(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    how: "ended" | "cancel",
): void {
    const { state, effects } = transaction;
    logPart(transaction, request, attempt, how);
    removeLoad(state, attempt);
    state.attempts.delete(attempt.id);
    request.attempt = undefined;
    if (how === "cancel") {
        effects.push({ kind: "cancelAttempt", attemptId: attempt.id });
    }
}

/**
 * Updates the health of the attempt's server.
 *
 * @param failure undefined where the server answered properly, which includes a refusal
 */
export function recordHealth(transaction: Transaction, attempt: Attempt, failure: AttemptOutcome | undefined): void {
    const { state, now } = transaction;
    const { id } = attempt.server.record;
    if (isSuperseded(state, attempt.server)) {
        return;
    }
    const health: ServerHealth = state.health.get(id) ?? createServerHealth();
    state.health.set(id, health);
    if (failure === undefined) {
        recordSignOfLife(state, id, now);
        return recordSuccess(health, (attempt.firstEventAt ?? now) - attempt.startedAt);
    }
    if (failure === "server_failed") {
        recordSignOfLife(state, id, now);
        return recordErrorResponse(health, now - attempt.startedAt);
    }
    if (recordFailure(health, now, failure === "connect_refused")) {
        logDecision(transaction, "warn", "server_left_out", {
            server: id,
            failure,
            failureShare: Math.round(health.failureShare * 100) / 100,
            duration: Math.round(health.ejectedUntil - now),
        });
    }
}

/**
 * Fails requests that are past their deadline, retries idempotent calls whose server has been silent for too long, and
 * probes the servers of silent streams.
 */
export function checkRequests(transaction: Transaction): void {
    const { requests } = transaction.state;
    for (const request of [...requests.values()]) {
        // The end of one request may end others.
        if (requests.has(request.id)) {
            checkRequest(transaction, request);
        }
    }
}

function checkRequest(transaction: Transaction, request: GatewayRequest): void {
    const { state, now } = transaction;
    if (now >= endsAt(request)) {
        return passOnWhole(transaction, request)
            ? undefined
            : failRequest(transaction, request, "deadline_exceeded", "no complete answer within the time allowed");
    }
    checkSilentAttempt(transaction, request);
    const { attempt, route } = request;
    if (attempt === undefined) {
        return;
    }
    const fate = runFate(state, attempt, now);
    if (fate === "lost") {
        return loseRestartedRun(transaction, request, attempt);
    }
    if (fate === "uncertain") {
        probeRestartedServer(transaction, attempt);
    }
    if (attempt.endCheck !== undefined) {
        return continueEndCheck(transaction, attempt);
    }
    if (route.isStream) {
        return probeSilentServer(transaction, request, attempt);
    }
    const timeout = Math.max(
        silenceTimeoutTargets * route.targetLatency,
        silenceTimeoutShare * (request.deadline - attempt.startedAt),
    );
    const canRepeat = request.isContinuable && route.isIdempotent
        && countPossibleRuns(request.runs) < route.maximumAttempts;
    const waitedSince = attempt.returnedAt ?? attempt.startedAt;
    if (now - waitedSince >= timeout && canRepeat && canDispatchAgain(transaction, request)) {
        sendElsewhere(transaction, request, attempt, true);
    }
}

/** Ends an attempt whose run was lost when its server restarted, and continues, retries or fails the request. */
export function loseRestartedRun(transaction: Transaction, request: GatewayRequest, attempt: Attempt): void {
    endAttempt(transaction, request, attempt, "cancel");
    recordLostRun(transaction, request, attempt, "server_restarted");
    // The blame for the restart may have ended the request.
    if (transaction.state.requests.has(request.id)) {
        retryOrFail(transaction, request, attempt, "server_restarted");
    }
}

/** Cancels an attempt whose server is silent, and retries or fails the request. */
export function abandonAttempt(transaction: Transaction, request: GatewayRequest, attempt: Attempt): void {
    recordHealth(transaction, attempt, "silent");
    endAttempt(transaction, request, attempt, "cancel");
    retryOrFail(transaction, request, attempt, "silent");
}

/**
 * Sends a silent request elsewhere. Its attempt stays open until another server has accepted the request.
 *
 * @param isRunning whether its server is taken to work on it
 */
export function sendElsewhere(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    isRunning: boolean,
): void {
    if (request.silentAttempt !== undefined) {
        return abandonAttempt(transaction, request, attempt);
    }
    recordHealth(transaction, attempt, "silent");
    setSilentAttemptAside(transaction, request, attempt, isRunning);
    retryOrFail(transaction, request, attempt, "silent");
}
