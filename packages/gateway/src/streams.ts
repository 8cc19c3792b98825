/**
 * Streams. The caller gets the events in order, each once, and from one run at a time. When a run is lost, another one
 * continues after the last event: from the replica of its memory or, where the route allows it, as a new run.
 */
import type { AttemptId, EventId, Milliseconds } from "@verbenaspring/model";
import { endsWithTimeLimit, findCheckedAttempt, handleEndReport, startEndCheck } from "./answerEnds.js";
import {
    type AttemptOutcome,
    classifyAnswer,
    endAttempt,
    failAtTimeLimit,
    isByServer,
    loseAttempt,
    recordDeclarations,
    recordHealth,
    retryOrFail,
    settleAnswer,
} from "./attempts.js";
import { recordBegunRun } from "./crashSuspects.js";
import type { DecisionFields } from "./effect.js";
import type { GatewayEvent } from "./event.js";
import { hasOrder, stepBetween } from "./eventIds.js";
import { readServersOften } from "./followers.js";
import { isLeaving } from "./leavingServers.js";
import { recordSignOfLife } from "./liveness.js";
import type { ResponseHead, StreamEvent } from "./messages.js";
import { handleEndAfterStop, migrateAfterFirstEvent, recordFailedTarget } from "./migration.js";
import { type Continuation, expectReplica, findContinuation, recordProduction, replicaState } from "./replicas.js";
import { failRequest, finishAnswered, logAnswered, requestFields } from "./requests.js";
import { recordNoRun } from "./runLedger.js";
import { sendFields, type SendObstacle, sendObstacle, sendTo } from "./sending.js";
import { isSuperseded } from "./serverIncarnations.js";
import { engineOf, recordEventLoad } from "./serverLoad.js";
import { endSilentAttempt } from "./silentAttempts.js";
import {
    type Attempt,
    type GatewayRequest,
    type GatewayState,
    type HeldEvents,
    type LostRun,
    serverEndsAt,
} from "./state.js";
import { recordPartEvent } from "./streamParts.js";
import { holdUntilRecorded } from "./streamRegister.js";
import { logDecision, type Transaction } from "./transaction.js";

type AnswerEndChecked = Extract<GatewayEvent, { readonly kind: "answerEndChecked"; }>;

/** What one stream may keep: a thousand events of ordinary size. */
const maximumHeldBytes = 512 * 1024;
/** What an event takes beside its bytes. */
const eventOverheadBytes = 256;
/** The weight of the newest stream in the moving averages of streams. */
const newestWeight = 0.1;

/** Handles the head of a stream. It is written to the caller together with the first event. */
export function handleStreamOpened(transaction: Transaction, attemptId: AttemptId, head: ResponseHead): void {
    const request = transaction.state.attempts.get(attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt === undefined) {
        return;
    }
    const answerClass = classifyAnswer(request, head);
    if (isByServer(answerClass, head)) {
        recordDeclarations(transaction, attempt, head);
    }
    if (answerClass === "delivered") {
        attempt.head = head;
        // When its server left decides whether the end of the channel may have been the server's exit.
        if (head.endsWithChannel) {
            readServersOften(transaction, serverEndsAt(request));
        }
        return endSilentAttempt(transaction, request, "cancel");
    }
    recordHealth(transaction, attempt, answerClass === "not_run" ? undefined : answerClass);
    endAttempt(transaction, request, attempt, "cancel");
    if (answerClass === "not_run") {
        recordNoRun(request.runs, attemptId);
    }
    retryOrFail(transaction, request, attempt, answerClass === "not_run" ? "refused_by_server" : answerClass);
}

/** Handles events of a run: forwards those that the caller does not have yet. Missing events end the attempt. */
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
        const order = compareToLast(request, attempt, event);
        if (order === "missing" || order === "decreasing") {
            forwardEvents(transaction, request, attempt, newEvents);
            return state.requests.has(request.id) ? rejectRun(transaction, request, attempt, order) : undefined;
        }
        attempt.lastEvent = event.id ?? attempt.lastEvent;
        if (order === "next") {
            recordLastEvent(request, event);
            recordPartEvent(attempt, event.id);
            newEvents.push(event);
        }
    }
    recordProduction(state, request, attempt, now);
    attempt.lastActivityAt = now;
    recordEventLoad(state, request, attempt, events.length);
    if (attempt.firstEventAt === undefined) {
        attempt.firstEventAt = now;
        recordPrefillRate(state, attempt, now);
        recordBegunRun(transaction, request);
    }
    attempt.events += events.length;
    if (!isSuperseded(state, attempt.server)) {
        recordSignOfLife(state, attempt.server.record.id, now);
    }
    forwardEvents(transaction, request, attempt, newEvents);
    migrateAfterFirstEvent(transaction, attempt);
}

/**
 * Ids need only increase. Within a run nothing goes missing on the way, so any larger id is next, also where the run has
 * first repeated the caller's last event. The first event of another run is next if the step to it is no longer than the
 * stream's steps were, or if none of them is known. An event without an id belongs to the place of the one before it.
 */
function compareToLast(
    { route, lastEvent, longestStep }: GatewayRequest,
    attempt: Attempt,
    { id }: StreamEvent,
): "next" | "repeated" | "missing" | "decreasing" {
    // The answer of another route is passed on whole, whatever it contains.
    if (!route.isStream) {
        return "next";
    }
    // What a caller names may have no order among the ids: then the server decides what comes after it.
    const last = lastEvent !== undefined && hasOrder(lastEvent) ? lastEvent : undefined;
    if (id === undefined) {
        return isBefore(attempt.lastEvent, last) ? "repeated" : "next";
    }
    if (isBefore(id, attempt.lastEvent)) {
        return "decreasing";
    }
    const step = stepBetween(last, id);
    if (last !== undefined && step <= 0) {
        return "repeated";
    }
    const isNext = attempt.lastEvent === undefined
        ? last === undefined || longestStep === undefined || step <= longestStep
        : isSamePlace(attempt.lastEvent, last);
    return isNext ? "next" : "missing";
}

function isBefore(one: EventId | undefined, other: EventId | undefined): boolean {
    return one !== undefined && other !== undefined && stepBetween(one, other) > 0;
}

function isSamePlace(one: EventId | undefined, other: EventId | undefined): boolean {
    return one === undefined || other === undefined ? one === other : stepBetween(one, other) === 0n;
}

/** Records an event that the caller is to get. */
function recordLastEvent(request: GatewayRequest, event: StreamEvent): void {
    const { lastEvent, longestStep = 1n } = request;
    if (event.id !== undefined) {
        const step = lastEvent !== undefined && !hasOrder(lastEvent) ? 0n : stepBetween(lastEvent, event.id);
        request.longestStep = step > longestStep ? step : longestStep;
        request.lastEvent = event.id;
    }
    request.eventCount += event.isComment === true ? 0 : 1;
    request.isContinuable = isContinuableAfter(request, event);
}

/** Ends a run whose ids can't be right. Where they decrease, the last one may be wrong, so no other run goes on after it. */
function rejectRun(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    order: "missing" | "decreasing",
): void {
    request.isContinuable &&= order !== "decreasing";
    recordHealth(transaction, attempt, "answer_malformed");
    endAttempt(transaction, request, attempt, "cancel");
    retryOrFail(transaction, request, attempt, "answer_malformed");
}

/** Whether another run can go on after an event. A comment leaves that as it was. */
function isContinuableAfter({ route, isContinuable }: GatewayRequest, { id, isComment }: StreamEvent): boolean {
    return route.isStream && (isComment === true ? isContinuable : id !== undefined);
}

function forwardEvents(
    transaction: Transaction,
    request: GatewayRequest,
    { head, server }: Attempt,
    events: readonly StreamEvent[],
): void {
    if (events.length === 0 || head === undefined) {
        return;
    }
    const isBeginning = request.origin === undefined;
    request.origin ??= { softwareVersion: server.record.softwareVersion };
    const isUnrecorded = holdUntilRecorded(transaction, request, isBeginning);
    if (isUnrecorded || request.isHeldUntilEnd) {
        request.held ??= { head, events: [], bytes: 0, hasEnded: false, isUnrecorded, hasFailed: false };
        return holdEvents(transaction, request, request.held, events);
    }
    writeEvents(transaction, request, head, events);
}

/** Keeps events. A stream that has too many fails, since nothing else would bound them. */
function holdEvents(
    transaction: Transaction,
    request: GatewayRequest,
    held: HeldEvents,
    events: readonly StreamEvent[],
): void {
    held.events.push(...events);
    held.bytes += events.reduce((sum, { bytes }) => sum + bytes.length + eventOverheadBytes, 0);
    if (held.bytes <= maximumHeldBytes) {
        return;
    }
    if (held.isUnrecorded) {
        return failRequest(
            transaction,
            request,
            "log_unavailable",
            "the record of the stream could not be stored in time",
        );
    }
    failRequest(transaction, request, "leaving", "the instance is stopping, and the stream is too large to be held");
}

function writeEvents(
    { now, effects }: Transaction,
    request: GatewayRequest,
    head: ResponseHead,
    events: readonly StreamEvent[],
): void {
    if (!request.isHeadWritten) {
        request.isHeadWritten = true;
        request.firstEventAge = now - request.arrivedAt;
        effects.push({ kind: "answerHead", requestId: request.id, head });
    }
    request.longestPause = Math.max(request.longestPause, now - (request.lastEventAt ?? now));
    request.lastEventAt = now;
    effects.push({ kind: "answerEvents", requestId: request.id, events });
}

/** Passes on the events that were kept until the record of their stream was stored, and the end if they are all. */
export function writeHeldEvents(transaction: Transaction, request: GatewayRequest): void {
    const { held } = request;
    if (held === undefined) {
        return;
    }
    held.isUnrecorded = false;
    if (request.isHeldUntilEnd && !held.hasEnded) {
        return;
    }
    request.held = undefined;
    writeEvents(transaction, request, held.head, held.events);
    if (held.hasEnded) {
        transaction.effects.push({ kind: "answerEnd", requestId: request.id });
        finishAnswered(transaction, request);
    }
}

/**
 * Passes on a stream of which all events are kept, though its record may not be stored: no caller takes up a whole answer.
 * Returns whether it is one.
 */
export function passOnWhole(transaction: Transaction, request: GatewayRequest): boolean {
    if (request.held?.hasEnded !== true) {
        return false;
    }
    writeHeldEvents(transaction, request);
    return true;
}

/** Handles the end of a run's answer, which is complete if it has framing. */
export function handleStreamEnded(transaction: Transaction, attemptId: AttemptId): void {
    const request = transaction.state.attempts.get(attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt?.head === undefined) {
        return;
    }
    if (!attempt.head.endsWithChannel) {
        return completeStream(transaction, request, attempt, attempt.head);
    }
    // A stream without framing ends in the same way when its run is stopped.
    if (handleEndAfterStop(transaction, request, attempt, "ended")) {
        return;
    }
    if (endsWithTimeLimit(request, transaction.now)) {
        return failAtTimeLimit(transaction, request, attempt);
    }
    startEndCheck(transaction, attempt);
}

/** Handles what the server of an answer without framing says after its channel has ended. */
export function handleAnswerEndChecked(transaction: Transaction, event: AnswerEndChecked): void {
    const checked = findCheckedAttempt(transaction, event.attemptId);
    if (checked === undefined) {
        return;
    }
    const { request, attempt, endCheck } = checked;
    const verdict = handleEndReport(transaction, request, attempt, endCheck, event);
    if (verdict !== "unknown" && endCheck.answer !== undefined) {
        transaction.effects.push({ kind: "cancelAttempt", attemptId: attempt.id });
    }
    if (verdict === "complete" && endCheck.answer !== undefined) {
        return settleAnswer(transaction, request, attempt, endCheck.answer);
    }
    if (verdict === "complete" && attempt.head !== undefined) {
        return completeStream(transaction, request, attempt, attempt.head);
    }
    if (verdict === "cut") {
        loseAttempt(transaction, request, attempt, "answer_truncated", true);
    }
}

/** Ends a stream that is complete. */
function completeStream(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    head: ResponseHead,
): void {
    const { state, effects } = transaction;
    recordHealth(transaction, attempt, undefined);
    recordStreamTimes(transaction, request, attempt);
    endAttempt(transaction, request, attempt, "ended");
    if (!request.isHeadWritten && request.held === undefined) {
        effects.push({ kind: "answerHead", requestId: request.id, head });
    }
    logAnswered(transaction, request, "stream_answered", streamTimeFields(state, request, attempt));
    if (request.held !== undefined) {
        request.held.hasEnded = true;
        // A whole answer can't be taken up, so it does not wait for a store that refuses its record.
        const isReady = !request.held.isUnrecorded || request.held.hasFailed;
        return isReady ? writeHeldEvents(transaction, request) : undefined;
    }
    effects.push({ kind: "answerEnd", requestId: request.id });
    finishAnswered(transaction, request);
}

/** How long the caller waited for the first event, how fast the last run was, and the longest pause of the answer. */
function streamTimeFields(state: GatewayState, request: GatewayRequest, attempt: Attempt): DecisionFields {
    const timePerToken = timePerTokenOf(state, request, attempt);
    return {
        events: attempt.events,
        firstEventAge: request.firstEventAge === undefined ? undefined : Math.round(request.firstEventAge),
        targetLatency: request.route.targetLatency,
        firstEventAfter: Math.round((attempt.firstEventAt ?? attempt.startedAt) - attempt.startedAt),
        timePerToken: timePerToken === undefined ? undefined : Math.round(10 * timePerToken) / 10,
        longestPause: Math.round(request.longestPause),
    };
}

/** The mean time per token of a run; undefined if it was too short to tell. */
function timePerTokenOf(
    state: GatewayState,
    { service }: GatewayRequest,
    { firstEventAt, lastActivityAt, events }: Attempt,
): Milliseconds | undefined {
    const minimumEvents = 8;
    const tokensPerEvent = engineOf(state, service)?.tokensPerEvent ?? 1;
    return firstEventAt === undefined || events < minimumEvents
        ? undefined
        : (lastActivityAt - firstEventAt) / (events * tokensPerEvent);
}

/** Updates the average rate at which prompts are processed. A run that continues another one processes no prompt. */
function recordPrefillRate(state: GatewayState, attempt: Attempt, now: Milliseconds): void {
    const duration = now - attempt.startedAt;
    if (attempt.continuesFrom === undefined && attempt.promptBacklog > 0 && duration > 0) {
        state.prefillRate += newestWeight * (attempt.promptBacklog / duration - state.prefillRate);
    }
}

/** Updates the average duration of a stream, and the average time per token unless the run was too short to tell. */
function recordStreamTimes({ state, now }: Transaction, request: GatewayRequest, attempt: Attempt): void {
    state.meanStreamDuration += newestWeight * (now - attempt.startedAt - state.meanStreamDuration);
    const timePerToken = timePerTokenOf(state, request, attempt);
    if (timePerToken !== undefined) {
        state.timePerToken += newestWeight * (timePerToken - state.timePerToken);
    }
}

const outcomesWithoutRun: ReadonlySet<AttemptOutcome> = new Set([
    "refused_by_server",
    "connect_refused",
    "connect_timeout",
]);

/**
 * Continues a lost run from what is left of its memory. A refused continuation leaves the run as it was, which then
 * continues from the next place that may hold its memory. Returns false if that is not possible; the caller of this
 * function then decides whether the request runs again.
 */
export function continueFromReplica(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
): boolean {
    const lost = runToContinue(transaction.state, attempt, outcome);
    if (lost === undefined) {
        return false;
    }
    const next = findContinuation(transaction, request, lost.attempt, lost.tried);
    const obstacle = sendObstacle(transaction, request);
    if (next === undefined || obstacle !== undefined) {
        logNotContinued(transaction, request, lost, next, obstacle);
        return false;
    }
    if (lost.attempt !== attempt) {
        recordFailedTarget(lost.attempt, attempt.server.record.id, transaction.now);
    }
    const { server: source } = lost.attempt;
    logDecision(transaction, "info", "stream_continued", {
        ...requestFields(transaction, request),
        from: source.record.id,
        fromVersion: source.record.softwareVersion,
        to: next.server.record.id,
        toVersion: next.server.record.softwareVersion,
        memory: next.from,
    });
    sendTo(transaction, request, {
        server: next.server,
        continuesFrom: { source: source.record.address, name: next.name },
        replicaEvidence: next.from === "replica" ? "events" : "moved",
        lostRun: { attempt: lost.attempt, tried: new Set([...lost.tried, next.from]) },
        memory: next.from,
    });
    return true;
}

/** Logs what a lost run lacks to be continued. Streams that may run again need no memory of it. */
function logNotContinued(
    transaction: Transaction,
    request: GatewayRequest,
    { attempt, tried }: LostRun,
    next: Continuation | undefined,
    obstacle: SendObstacle | undefined,
): void {
    if (request.route.canResume) {
        return;
    }
    const { now } = transaction;
    const expectation = expectReplica(transaction, request, attempt);
    logDecision(transaction, "info", "stream_not_continued", {
        ...requestFields(transaction, request),
        lacking: next === undefined ? "memory" : obstacle,
        memory: next?.from,
        tried: [...tried].join(",") || undefined,
        replica: attempt.replica?.record.id,
        replicaState: replicaState(transaction, attempt),
        replicaLack: expectation?.lack,
        producingTime: expectation && Math.round(expectation.producingTime),
        completeAfter: expectation && Math.round(expectation.completeAfter),
        runAge: attempt.firstEventAt === undefined ? undefined : Math.round(now - attempt.firstEventAt),
        copyAge: attempt.copy && Math.round(now - attempt.copy.requestedAt),
        ...sendFields(transaction, request),
    });
}

/**
 * The run that an attempt leaves to be continued: its own, or the one that it was to continue if it did not run, or if its
 * server exited before it generated anything.
 */
function runToContinue(state: GatewayState, attempt: Attempt, outcome: AttemptOutcome): LostRun | undefined {
    if (outcomesWithoutRun.has(outcome)) {
        return attempt.lostRun;
    }
    const isEmpty = attempt.firstEventAt === undefined && attempt.copy === undefined;
    // A server that stays may have lost its answer only, and have run the request or do so still.
    const hasExited = outcome === "server_restarted"
        || (outcomesOfExits.has(outcome) && isLeaving(state, attempt.server));
    return (isEmpty && hasExited ? attempt.lostRun : undefined) ?? { attempt, tried: new Set() };
}

const outcomesOfExits: ReadonlySet<AttemptOutcome> = new Set(["channel_lost", "answer_truncated"]);
