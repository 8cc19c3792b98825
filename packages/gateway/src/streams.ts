/**
 * Streams: events are passed on in order, each once, and from one run at a time. When a run is lost another goes on
 * after the last event, from a copy of its memory or, where the route allows it, by a new run.
 */
import type { AttemptId, Milliseconds } from "@verbenaspring/model";
import { type AttemptOutcome, continueAfter, endAttempt, judge, noteHealth } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import { evacuateStarted } from "./evacuation.js";
import type { ResponseHead, StreamEvent } from "./messages.js";
import { describe, finish } from "./requests.js";
import { canSendAgain, sendTo } from "./sending.js";
import { engineOf, noteEventsLoad } from "./serverLoad.js";
import { noteHeard } from "./silence.js";
import type { Attempt, GatewayRequest, GatewayState } from "./state.js";
import { record, type Transaction } from "./transaction.js";

/** The weight of the newest stream in the moving average of the pace. */
const newestWeight = 0.1;

/**
 * How long a server whose notice became known still takes streams that would else be lost. Notices spread within a
 * second or two, and the platform allows three seconds from the notice to the last request.
 */
const rescueAfterNotice: Milliseconds = 1_000;

/** Takes the head of a stream. Nothing goes to the caller before the first event. */
export function takeStreamOpened(transaction: Transaction, attemptId: AttemptId, head: ResponseHead): void {
    const request = transaction.state.attempts.get(attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt === undefined) {
        return;
    }
    const verdict = judge(request, head);
    if (verdict === "delivered") {
        attempt.head = head;
        return;
    }
    noteHealth(transaction, attempt, verdict === "not_run" ? undefined : verdict);
    endAttempt(transaction, request, attempt, "cancel");
    if (verdict === "not_run") {
        request.possibleRuns--;
    }
    continueAfter(transaction, request, attempt, verdict === "not_run" ? "refused_by_server" : verdict);
}

/** Takes events of a run, and passes those on that the caller lacks. */
export function takeStreamEvents(
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
    const fresh: StreamEvent[] = [];
    for (const event of events) {
        const order = compareToLast(request, event);
        if (order === "missing") {
            passOn(transaction, request, attempt, fresh);
            noteHealth(transaction, attempt, "answer_malformed");
            endAttempt(transaction, request, attempt, "cancel");
            return continueAfter(transaction, request, attempt, "answer_malformed");
        }
        if (order === "next") {
            request.lastEvent = event.id ?? request.lastEvent;
            fresh.push(event);
        }
    }
    attempt.lastHeard = now;
    noteEventsLoad(state, request, attempt, events.length);
    attempt.firstEventAt ??= now;
    attempt.events += events.length;
    noteHeard(state, attempt.server.record.id, now);
    passOn(transaction, request, attempt, fresh);
    evacuateStarted(transaction, attempt);
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

function passOn(
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
export function takeStreamEnded(transaction: Transaction, attemptId: AttemptId): void {
    const { state, now, effects } = transaction;
    const request = state.attempts.get(attemptId);
    const attempt = request?.attempt;
    if (request === undefined || attempt?.head === undefined) {
        return;
    }
    noteHealth(transaction, attempt, undefined);
    notePace(transaction, request, attempt);
    endAttempt(transaction, request, attempt, "ended");
    if (!request.isHeadWritten) {
        effects.push({ kind: "answerHead", requestId: request.id, head: attempt.head });
    }
    record(transaction, "debug", "stream_answered", {
        ...describe(transaction, request),
        took: Math.round(now - request.arrivedAt),
    });
    effects.push({ kind: "answerEnd", requestId: request.id });
    finish(transaction, request);
}

/** Learns from a whole run how long a token, and a stream, takes. */
function notePace({ state, now }: Transaction, { service }: GatewayRequest, attempt: Attempt): void {
    const { firstEventAt, lastHeard, events } = attempt;
    state.streamDuration += newestWeight * (now - attempt.startedAt - state.streamDuration);
    const leastEvents = 8;
    const tokensPerEvent = engineOf(state, service)?.tokensPerEvent ?? 1;
    if (firstEventAt !== undefined && events >= leastEvents) {
        const pace: Milliseconds = (lastHeard - firstEventAt) / (events * tokensPerEvent);
        state.tokenPace += newestWeight * (pace - state.tokenPace);
    }
}

const neverRan: ReadonlySet<AttemptOutcome> = new Set(["refused_by_server", "connect_refused", "connect_timeout"]);

/**
 * Goes on from the copy of a lost run's memory. Returns whether it did; a stream that may run again is then left to the
 * usual way of repeating.
 */
export function continueStream(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
): boolean {
    const replica = liveReplica(transaction.state, attempt, transaction.now);
    // A run that never was left no copy.
    if (replica === undefined || neverRan.has(outcome) || !canSendAgain(transaction, request)) {
        return false;
    }
    record(transaction, "info", "stream_continued", {
        ...describe(transaction, request),
        from: attempt.server.record.id,
        to: replica.record.id,
    });
    const copy = { source: attempt.server.record.address, name: request.head.callerAttemptId };
    sendTo(transaction, request, { server: replica, continuesFrom: copy });
    return true;
}

/** The server that keeps the copy of a run, where it still takes the run. */
export function liveReplica(
    { servers }: GatewayState,
    { replica }: Attempt,
    now: Milliseconds,
): BackendServer | undefined {
    const known = replica === undefined ? undefined : servers.get(replica.record.id);
    const isSame = known?.incarnation === replica?.incarnation && known?.removedAt === undefined;
    return known !== undefined && isSame && takesRescue(known, now) ? known : undefined;
}

/** Whether a stream that would else be lost may go on at a server. */
export function takesRescue({ leavingSince }: BackendServer, now: Milliseconds): boolean {
    return leavingSince === undefined || now - leavingSince <= rescueAfterNotice;
}
