/**
 * Silent attempts of requests that were sent elsewhere. Such an attempt stays open until another server has accepted the
 * request: if that server refuses it, or the silent run goes on first, the request returns to the silent attempt.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { abandonRun, stopAbandonedRuns } from "./abandonedRuns.js";
import { classifyAnswer, endAttempt, recordHealth } from "./attempts.js";
import { recordLostRun } from "./crashSuspects.js";
import type { GatewayEvent } from "./event.js";
import { requestProbe } from "./liveness.js";
import type { ResponseHead } from "./messages.js";
import { requestFields } from "./requests.js";
import { recordNoRun } from "./runLedger.js";
import { addLoad, removeLoad, setMigrationTarget } from "./serverLoad.js";
import type { Attempt, GatewayRequest } from "./state.js";
import { logPart } from "./streamParts.js";
import { logDecision, type Transaction } from "./transaction.js";

/** An attempt that was silent when its request was sent elsewhere. */
export interface SilentAttempt {
    readonly attempt: Attempt;
    /** Whether its server is taken to work on it, so that another run soon works beside it. */
    readonly isRunning: boolean;
}

/** An event of an attempt. */
export type AttemptEvent = Extract<
    GatewayEvent,
    { readonly kind: `attempt${string}` | `stream${"Opened" | "Events" | "Ended"}`; }
>;

type AttemptFailed = Extract<GatewayEvent, { readonly kind: "attemptFailed"; }>;

/**
 * A server that is alive refuses a request within this time. After it the silent attempt is cancelled, so that its server
 * and another one do not both work on the request for longer.
 */
const acceptanceTimeout: Milliseconds = 150;

/** Takes a silent attempt from its request, which is then to be sent elsewhere. */
export function setSilentAttemptAside(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    isRunning: boolean,
): void {
    const { state } = transaction;
    logPart(transaction, request, attempt, "setAside");
    setMigrationTarget(state, attempt, undefined);
    removeLoad(state, attempt);
    state.attempts.delete(attempt.id);
    request.attempt = undefined;
    request.silentAttempt = { attempt, isRunning };
    state.silentAttempts.set(attempt.id, request);
}

/**
 * Ends the silent attempt of a request, if it has one.
 *
 * @param how `cancel` where the call is still open and has to be cancelled
 */
export function endSilentAttempt(
    transaction: Transaction,
    request: GatewayRequest,
    how: "ended" | "cancel",
): void {
    const { state, effects } = transaction;
    const attempt = request.silentAttempt?.attempt;
    if (attempt === undefined) {
        return;
    }
    state.silentAttempts.delete(attempt.id);
    request.silentAttempt = undefined;
    if (how === "cancel") {
        effects.push({ kind: "cancelAttempt", attemptId: attempt.id });
        abandonRun(transaction, request, attempt);
        stopAbandonedRuns(transaction, request);
    }
}

/** Returns a request to its silent attempt, and cancels the newer one. Returns false if it has no silent attempt. */
export function returnToSilentAttempt(transaction: Transaction, request: GatewayRequest): boolean {
    const { state, now, effects } = transaction;
    const attempt = request.silentAttempt?.attempt;
    if (attempt === undefined) {
        return false;
    }
    const newer = request.attempt;
    if (newer !== undefined) {
        endAttempt(transaction, request, newer, "cancel");
    }
    endSilentAttempt(transaction, request, "ended");
    attempt.returnedAt = now;
    request.attempt = attempt;
    if (newer !== undefined) {
        abandonRun(transaction, request, newer);
    }
    stopAbandonedRuns(transaction, request);
    state.attempts.set(attempt.id, request);
    state.heldRequests.delete(request.id);
    addLoad(state, attempt);
    effects.push({ kind: "returnToAttempt", requestId: request.id, attemptId: attempt.id });
    logDecision(transaction, "info", "returned_to_silent", requestFields(transaction, request));
    return true;
}

/**
 * Cancels the silent attempt of a request whose newer one was neither accepted nor refused in time. While the newer one's
 * server shows no sign of life, it does not run the request either, so the silent attempt is kept.
 */
export function checkSilentAttempt(transaction: Transaction, request: GatewayRequest): void {
    const { state, now } = transaction;
    const { attempt, silentAttempt } = request;
    if (silentAttempt === undefined || attempt === undefined || now - attempt.startedAt < acceptanceTimeout) {
        return;
    }
    const { record } = attempt.server;
    const lastSignOfLifeAt = state.liveness.get(record.id)?.lastSignOfLifeAt ?? -Infinity;
    if (silentAttempt.isRunning || lastSignOfLifeAt - attempt.startedAt >= acceptanceTimeout) {
        return endSilentAttempt(transaction, request, "cancel");
    }
    requestProbe(transaction, record);
}

/**
 * Handles an event of a silent attempt: a failure or a refusal ends it, and the request returns to it for any other event.
 * The end of a stream without framing counts as a failure, since the channel of a server that is killed ends in the same way.
 * Returns whether the event needs no more handling.
 */
export function settleSilentAttempt(transaction: Transaction, event: AttemptEvent): boolean {
    const request = transaction.state.silentAttempts.get(event.attemptId);
    const attempt = request?.silentAttempt?.attempt;
    if (request === undefined || attempt === undefined) {
        return false;
    }
    if (event.kind === "attemptFailed") {
        loseSilentAttempt(transaction, request, attempt, event);
        return true;
    }
    if (event.kind === "streamEnded" && attempt.head?.endsWithChannel === true) {
        loseSilentAttempt(transaction, request, attempt, { failure: "answer_truncated", wasSent: true });
        return true;
    }
    const answerClass = event.kind === "streamOpened" || event.kind === "attemptAnswered"
        ? classifyAnswer(request, headOf(event))
        : "delivered";
    if (answerClass === "delivered") {
        returnToSilentAttempt(transaction, request);
        return false;
    }
    endSilentAttempt(transaction, request, event.kind === "streamOpened" ? "cancel" : "ended");
    if (answerClass === "not_run") {
        recordNoRun(request.runs, attempt.id);
    }
    return true;
}

function loseSilentAttempt(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    { failure, wasSent }: Pick<AttemptFailed, "failure" | "wasSent">,
): void {
    recordHealth(transaction, attempt, failure);
    endSilentAttempt(transaction, request, "ended");
    if (wasSent) {
        recordLostRun(transaction, request, attempt, failure);
    }
    else {
        recordNoRun(request.runs, attempt.id);
    }
}

function headOf(event: Extract<AttemptEvent, { readonly kind: "streamOpened" | "attemptAnswered"; }>): ResponseHead {
    return event.kind === "streamOpened" ? event.head : event.answer;
}
