/**
 * Streams: events are passed on in order, each once, and from one run at a time. When a run is lost another goes on
 * after the last event, from a copy of its memory or, where the route allows it, by a new run.
 */
import type { AttemptId, Milliseconds } from "@verbenaspring/model";
import { type AttemptOutcome, classifyAnswer, endAttempt, recordHealth, retryOrFail } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import { recordSignOfLife } from "./liveness.js";
import type { ResponseHead, StreamEvent } from "./messages.js";
import { migrateAfterFirstEvent } from "./migration.js";
import { finishRequest, requestFields } from "./requests.js";
import { canSendAgain, sendTo } from "./sending.js";
import { engineOf, recordEventLoad } from "./serverLoad.js";
import type { Attempt, GatewayRequest, GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The weight of the newest stream in the moving average of the pace. */
const newestWeight = 0.1;

/**
 * How long a server whose notice became known still takes streams that would else be lost. Notices spread within a
 * second or two, and the platform allows three seconds from the notice to the last request.
 */
const takeoverWindow: Milliseconds = 1_000;

/** Takes the head of a stream. Nothing goes to the caller before the first event. */
export function handleStreamOpened(transaction: Transaction, attemptId: AttemptId, head: ResponseHead): void {
    const request = transaction.state.attempts.get(attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt === undefined) {
        return;
    }
    const answerClass = classifyAnswer(request, head);
    if (answerClass === "delivered") {
        attempt.head = head;
        return;
    }
    recordHealth(transaction, attempt, answerClass === "not_run" ? undefined : answerClass);
    endAttempt(transaction, request, attempt, "cancel");
    if (answerClass === "not_run") {
        request.possibleRuns--;
    }
    retryOrFail(transaction, request, attempt, answerClass === "not_run" ? "refused_by_server" : answerClass);
}

/** Takes events of a run, and passes those on that the caller lacks. */
export function handleStreamEvents(
    transaction: Transaction,
    attemptId: AttemptId,
    events: readonly StreamEvent[],
): void {
    const { state, now } = transaction;
    const request = state.attempts.get(attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt?.head === undefined) {
        return;
    }
    const newEvents: StreamEvent[] = [];
    for (const event of events) {
        const order = compareToLast(request, event);
        if (order === "missing") {
            forwardEvents(transaction, request, attempt, newEvents);
            recordHealth(transaction, attempt, "answer_malformed");
            endAttempt(transaction, request, attempt, "cancel");
            return retryOrFail(transaction, request, attempt, "answer_malformed");
        }
        if (order === "next") {
            request.lastEvent = event.id ?? request.lastEvent;
            newEvents.push(event);
        }
    }
    attempt.lastHeardAt = now;
    recordEventLoad(state, request, attempt, events.length);
    attempt.firstEventAt ??= now;
    attempt.events += events.length;
    recordSignOfLife(state, attempt.server.record.id, now);
    forwardEvents(transaction, request, attempt, newEvents);
    migrateAfterFirstEvent(transaction, attempt);
}

function compareToLast({ lastEvent }: GatewayRequest, { id }: StreamEvent): "next" | "repeated" | "missing" {
    if (id === undefined || lastEvent === undefined) {
        return "next";
    }
    if (id <= lastEvent) {
        return "repeated";
    }
    return id === lastEvent + 1 ? "next" : "missing";
}

function forwardEvents(
    { effects }: Transaction,
    request: GatewayRequest,
    { head }: Attempt,
    events: readonly StreamEvent[],
): void {
    if (events.length === 0 || head === undefined) {
        return;
    }
    if (!request.isHeadWritten) {
        request.isHeadWritten = true;
        effects.push({ kind: "answerHead", requestId: request.id, head });
    }
    effects.push({ kind: "answerEvents", requestId: request.id, events });
}

/** Takes the complete end of a run. */
export function handleStreamEnded(transaction: Transaction, attemptId: AttemptId): void {
    const { state, now, effects } = transaction;
    const request = state.attempts.get(attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt?.head === undefined) {
        return;
    }
    recordHealth(transaction, attempt, undefined);
    recordStreamTimes(transaction, request, attempt);
    endAttempt(transaction, request, attempt, "ended");
    if (!request.isHeadWritten) {
        effects.push({ kind: "answerHead", requestId: request.id, head: attempt.head });
    }
    logDecision(transaction, "debug", "stream_answered", {
        ...requestFields(transaction, request),
        took: Math.round(now - request.arrivedAt),
    });
    effects.push({ kind: "answerEnd", requestId: request.id });
    finishRequest(transaction, request);
}

/** Learns from a whole run how long a token, and a stream, takes. */
function recordStreamTimes({ state, now }: Transaction, { service }: GatewayRequest, attempt: Attempt): void {
    const { firstEventAt, lastHeardAt: lastHeard, events } = attempt;
    state.meanStreamDuration += newestWeight * (now - attempt.startedAt - state.meanStreamDuration);
    const minimumEvents = 8;
    const tokensPerEvent = engineOf(state, service)?.tokensPerEvent ?? 1;
    if (firstEventAt !== undefined && events >= minimumEvents) {
        const pace: Milliseconds = (lastHeard - firstEventAt) / (events * tokensPerEvent);
        state.timePerToken += newestWeight * (pace - state.timePerToken);
    }
}

const outcomesWithoutRun: ReadonlySet<AttemptOutcome> = new Set([
    "refused_by_server",
    "connect_refused",
    "connect_timeout",
]);

/**
 * Goes on from the copy of a lost run's memory. Returns whether it did; a stream that may run again is then left to the
 * usual way of repeating.
 */
export function continueFromReplica(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
): boolean {
    const replica = usableReplica(transaction.state, attempt, transaction.now);
    // A run that never was left no copy.
    if (replica === undefined || outcomesWithoutRun.has(outcome) || !canSendAgain(transaction, request)) {
        return false;
    }
    logDecision(transaction, "info", "stream_continued", {
        ...requestFields(transaction, request),
        from: attempt.server.record.id,
        to: replica.record.id,
    });
    const copy = { source: attempt.server.record.address, name: request.head.callerAttemptId };
    sendTo(transaction, request, { server: replica, continuesFrom: copy });
    return true;
}

/** The server that keeps the copy of a run, where it still takes the run. */
export function usableReplica(
    { servers }: GatewayState,
    { replica }: Attempt,
    now: Milliseconds,
): BackendServer | undefined {
    const known = replica === undefined ? undefined : servers.get(replica.record.id);
    const isSame = known?.incarnation === replica?.incarnation && known?.removedAt === undefined;
    return known !== undefined && isSame && acceptsTakeover(known, now) ? known : undefined;
}

/** Whether a stream that would else be lost may go on at a server. */
export function acceptsTakeover({ leavingSince }: BackendServer, now: Milliseconds): boolean {
    return leavingSince === undefined || now - leavingSince <= takeoverWindow;
}
