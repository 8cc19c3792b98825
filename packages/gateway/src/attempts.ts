/**
 * Sends requests to backend servers, and decides what follows when an attempt ends: the answer, another attempt, or an
 * honest failure.
 */
import {
    chooseCopyHolder,
    chooseServer,
    createServerHealth,
    noteFailedAnswer,
    noteFailure,
    noteRepeat,
    noteSuccess,
    repeatsLeft,
    type ServerHealth,
} from "@verbenaspring/coordination";
import { type AttemptId, identifier, type Milliseconds } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import type { AttemptFailure, GatewayEvent } from "./event.js";
import type { BackendAnswer, BackendHead, RunCopy } from "./messages.js";
import { liveInstances } from "./peers.js";
import { describe, failRequest, finish } from "./requests.js";
import { addLoad, copyView, engineOf, expectedMemory, placementView, removeLoad, usableServers } from "./serverLoad.js";
import { noteHeard, tendStream } from "./silence.js";
import type { Attempt, GatewayRequest } from "./state.js";
import { continueStream } from "./streams.js";
import { record, type Transaction } from "./transaction.js";
import { hasRoom, waitForRoom } from "./waiting.js";

type AttemptFailed = Extract<GatewayEvent, { readonly kind: "attemptFailed"; }>;

/** Sends of one request at most, counting those that servers refused. */
const mostSends = 4;
/** The same for streams, which go on elsewhere each time that their server leaves. */
const mostStreamSends = 8;
/** With less time than this left a request is not sent again. */
const leastTimeForSend: Milliseconds = 20;
/** When to come back where servers refused for lack of room; most work of plain services is done by then. */
const refusedReturn: Milliseconds = 150;
/** When to come back where a service has no server in use. */
const noServerReturn: Milliseconds = 500;
/** An idempotent call without an answer is tried elsewhere after this share of the time that it has. */
const patience = 0.45;
/** The same as a multiple of the target latency, whichever comes later. */
const patienceTargets = 3;

/** Where an attempt goes, and what it goes on from. */
export interface Placement {
    readonly server: BackendServer;
    readonly continuesFrom: RunCopy | undefined;
}

/** Sends a request to the best server, or ends it where it can't be sent. */
export function dispatch(transaction: Transaction, request: GatewayRequest): void {
    const { state, now, source } = transaction;
    if (request.finishBy - now < leastTimeForSend) {
        return failRequest(transaction, request, "deadline_exceeded", "the time for the request is over");
    }
    const usable = usableServers(state, request.service, now);
    const untried = usable.filter(server => !request.triedServers.has(server.record.id));
    const open = untried.length > 0 ? untried : usable;
    const candidates = request.sends > 0 ? open : open.filter(server => hasRoom(transaction, server, request));
    if (candidates.length === 0 && open.length > 0) {
        return waitForRoom(transaction, request);
    }
    const server = chooseServer(candidates, candidate => placementView(state, candidate, now), source.random);
    if (server === undefined) {
        return failRequest(transaction, request, "no_backend_server", "the service has no server", noServerReturn);
    }
    sendTo(transaction, request, { server, continuesFrom: undefined });
}

/** Sends a request to a server. */
export function sendTo(transaction: Transaction, request: GatewayRequest, placement: Placement): void {
    const { state, now, source, effects } = transaction;
    const { server, continuesFrom } = placement;
    const { head, route, organisation } = request;
    if (request.sends > 0) {
        noteRepeat(state.budget, request.service, now);
    }
    const replica = chooseReplica(transaction, request, server);
    const attempt: Attempt = {
        id: identifier(source.newIdentifier()),
        server,
        startedAt: now,
        replica,
        continuesFrom,
        head: undefined,
        firstEventAt: undefined,
        events: 0,
        memoryTokens: expectedMemory(request),
        waitingTokens: continuesFrom === undefined ? head.promptTokens : 0,
        moveTarget: undefined,
        lastHeard: now,
    };
    request.attempt = attempt;
    request.sends++;
    request.possibleRuns++;
    request.triedServers.add(server.record.id);
    state.attempts.set(attempt.id, request);
    addLoad(state, attempt);
    record(transaction, "debug", "attempt_sent", {
        ...describe(transaction, request),
        replica: replica?.record.id,
        copy: continuesFrom?.name,
    });
    effects.push({
        kind: "sendAttempt",
        requestId: request.id,
        call: {
            attemptId: attempt.id,
            backendServer: server.record.id,
            address: server.record.address,
            head,
            timeLeft: Math.max(1, Math.floor(request.finishBy - now)),
            organisation: organisation?.id,
            priority: engineOf(state, request.service) === undefined
                ? undefined
                : organisation?.priority ?? route.priority,
            replicaAddress: replica?.record.address,
            lastEvent: request.lastEvent,
            continuesFrom,
            needsFreshChannel: !route.isIdempotent && !route.canResume,
        },
    });
}

/** A stream that may not run twice keeps a copy of its memory elsewhere, where memory is free for it. */
function chooseReplica(
    { state, now }: Transaction,
    request: GatewayRequest,
    server: BackendServer,
): BackendServer | undefined {
    const engine = engineOf(state, request.service);
    if (engine === undefined || !engine.canReplicate || !request.route.isStream || request.route.canResume) {
        return undefined;
    }
    const others = usableServers(state, request.service, now).filter(other => other.record.id !== server.record.id);
    const share = expectedMemory(request) / engine.memoryTokens;
    return chooseCopyHolder(others, other => copyView(state, other, server, now), share);
}

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
export function judge({ head }: GatewayRequest, answer: BackendHead): AnswerVerdict {
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
    return answer.status >= firstServerError ? "server_failed" : "delivered";
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
    if (answer !== undefined && !request.isHeadWritten) {
        transaction.effects.push({ kind: "answerWhole", requestId: request.id, answer });
        return finish(transaction, request);
    }
    if (request.possibleRuns === 0) {
        return failRequest(transaction, request, "overloaded", "no server took the request", refusedReturn);
    }
    failRequest(transaction, request, "backend_server_failed", "the server's answer was lost");
}

/** Whether time, sends and the retry budget allow another send. */
export function canSendAgain({ state, now }: Transaction, request: GatewayRequest): boolean {
    return request.sends < (request.route.isStream ? mostStreamSends : mostSends)
        && request.finishBy - now >= leastTimeForSend
        && repeatsLeft(state.budget, request.service, liveInstances(state, now), now) >= 1;
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
        return noteSuccess(health, (attempt.firstEventAt ?? now) - attempt.startedAt);
    }
    if (failure === "server_failed") {
        noteHeard(state, id, now);
        return noteFailedAnswer(health, now - attempt.startedAt);
    }
    if (noteFailure(health, now, failure === "connect_refused")) {
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
