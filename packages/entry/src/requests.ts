/**
 * Requests: accepts or rejects each one, and ends it with exactly one final answer.
 */
import {
    type ClaimAnswer,
    createWaitRecord,
    findDocument,
    jitterRetryAfter,
    setWaitReason,
    waitSpans,
    type Work,
} from "@verbenaspring/coordination";
import {
    type Failure,
    failure,
    type FailureType,
    identifier,
    type KeyDigest,
    type Milliseconds,
    type OrganisationDocument,
    type RequestId,
    type RunOutcome,
    type ServiceDocument,
} from "@verbenaspring/model";
import { cancelAttempt, dispatch } from "./attempts.js";
import { beginClaim, recordAnswer, releaseClaim } from "./claims.js";
import type { Call, CallTarget } from "./event.js";
import { type EntryRequest, findOrganisation } from "./state.js";
import { observe, type Transaction } from "./transaction.js";

const maxFinishedWaits = 1_000;
/**
 * Requests that waited less than this in total are not recorded, since dispatchers who list waits have no use for them.
 */
const minRecordedWait: Milliseconds = 100;
/** The output limit of a plain service's call, which has none. */
const unlimitedOutputTokens = 1_048_576;

interface ResolvedTarget {
    readonly service: ServiceDocument;
    readonly routeName: string;
    readonly workKind: "short" | "long";
    readonly deadline: Milliseconds;
    readonly streamed: boolean;
    readonly idempotent: boolean;
}

/** Handles a new request: rejects it with a failure, claims its key, or dispatches it. */
export function handleRequest(transaction: Transaction, requestId: RequestId, call: Call): void {
    const refusal = checkAvailability(transaction);
    if (refusal !== undefined) {
        return rejectRequest(transaction, requestId, refusal);
    }
    const organisation = findOrganisation(transaction.state, call.bearerDigest);
    if (organisation === undefined) {
        return rejectRequest(transaction, requestId, failure("unauthenticated", "unknown bearer key", "not_run"));
    }
    const target = resolveTarget(transaction, call.target);
    if ("type" in target) {
        return rejectRequest(transaction, requestId, target);
    }
    const request = createRequest(transaction, requestId, call, organisation, target);
    transaction.state.requests.set(requestId, request);
    if (request.key !== undefined) {
        return beginClaim(transaction, request);
    }
    dispatch(transaction, request);
}

function checkAvailability(transaction: Transaction): Failure | undefined {
    const { state, now, source } = transaction;
    const { stopRequestedAt, options } = state;
    if (stopRequestedAt !== undefined && now - stopRequestedAt > options.stopGrace) {
        return failure("leaving", "this instance is stopping; ask another", "not_run", 0);
    }
    if (!state.isConfigurationReady) {
        const retryAfter = jitterRetryAfter(1_000, source.random);
        return failure("configuration_unavailable", "no configuration yet", "not_run", retryAfter);
    }
    if (state.requests.size >= options.maximumRequests) {
        const retryAfter = jitterRetryAfter(1_000, source.random);
        return failure("overloaded", "this instance has too many requests in progress", "not_run", retryAfter);
    }
    return undefined;
}

function rejectRequest(transaction: Transaction, requestId: RequestId, reason: Failure): void {
    transaction.effects.push({ kind: "answerFailure", requestId, failure: reason });
}

function resolveTarget(transaction: Transaction, target: CallTarget): ResolvedTarget | Failure {
    return target.kind === "completion"
        ? resolveCompletion(transaction, target)
        : resolveService(transaction, target);
}

function resolveCompletion(
    { state }: Transaction,
    target: Extract<CallTarget, { kind: "completion"; }>,
): ResolvedTarget | Failure {
    const route = findDocument(state.configuration, "route", target.route);
    const service = route && findDocument(state.configuration, "service", route.service);
    if (route === undefined || service?.kind !== "engine") {
        return failure("route_not_found", `no route ${target.route} leads to an engine service`, "not_run");
    }
    return {
        service,
        routeName: route.name,
        workKind: route.workKind,
        deadline: route.deadline,
        streamed: target.streamed,
        idempotent: true,
    };
}

function resolveService(
    { state }: Transaction,
    target: Extract<CallTarget, { kind: "service"; }>,
): ResolvedTarget | Failure {
    const service = findDocument(state.configuration, "service", target.service);
    if (service?.kind !== "plain") {
        return failure("service_not_found", `no plain service ${target.service}`, "not_run");
    }
    const call = `${target.method} ${target.path}`;
    return {
        service,
        routeName: service.name,
        workKind: "short",
        deadline: state.options.serviceDeadline,
        streamed: false,
        idempotent: !service.nonIdempotentCalls.some(prefix => call.startsWith(prefix)),
    };
}

function createRequest(
    { now }: Transaction,
    id: RequestId,
    call: Call,
    organisation: OrganisationDocument,
    target: ResolvedTarget,
): EntryRequest {
    const isKeyed = call.idempotency !== undefined && !target.idempotent;
    const next = call.cursor?.next ?? 0;
    return {
        id,
        work: createWork(call, organisation, target),
        routeName: target.routeName,
        streamed: target.streamed,
        isPlain: target.service.kind === "plain",
        cursor: call.cursor,
        arrivedAt: now,
        deadline: now + Math.min(call.timeLimit ?? Infinity, target.deadline),
        key: isKeyed
            ? {
                digest: identifier<KeyDigest>(`${organisation.name}/${call.idempotency!.keyDigest}`),
                requestDigest: call.idempotency!.requestDigest,
            }
            : undefined,
        pendingClaimId: undefined,
        wonClaimId: undefined,
        attempts: new Map(),
        attemptCount: 0,
        overloadRefusals: 0,
        avoidUntil: new Map(),
        mayHaveRun: false,
        ledger: { next },
        writtenTokens: next,
        bufferedTexts: [],
        acknowledgedTokens: next,
        isBlocked: false,
        lastWrittenAt: now,
        ahead: 0,
        expected: 0,
        waits: createWaitRecord(now),
    };
}

function createWork(call: Call, organisation: OrganisationDocument, target: ResolvedTarget): Work {
    const isCompletion = call.target.kind === "completion";
    return {
        organisation: organisation.name,
        service: target.service.name,
        workKind: target.workKind,
        idempotent: target.idempotent,
        weight: organisation.weight,
        promptTokens: isCompletion ? call.target.promptTokens : 0,
        maximumTokens: isCompletion ? call.target.maximumTokens : unlimitedOutputTokens,
        method: isCompletion ? "POST" : call.target.method,
        path: isCompletion ? "/v1/completions" : call.target.path,
        contentType: call.contentType,
        body: call.body,
        traceparent: call.traceparent,
    };
}

/** Ends a request with a failure. The claim of a request that has not run is released. */
export function failRequest(
    transaction: Transaction,
    request: EntryRequest,
    type: FailureType,
    message: string,
    outcome: RunOutcome,
    retryAfter?: Milliseconds,
): void {
    transaction.effects.push({
        kind: "answerFailure",
        requestId: request.id,
        failure: failure(type, message, outcome, retryAfter),
    });
    if (outcome === "not_run") {
        releaseClaim(transaction, request);
    }
    finishRequest(transaction, request, type);
}

/** Ends a request whose tokens have all been written. */
export function completeGeneration(transaction: Transaction, request: EntryRequest, finishReason: string): void {
    const { effects } = transaction;
    const requestId = request.id;
    if (request.streamed) {
        effects.push({ kind: "answerEnd", requestId, count: request.writtenTokens, finishReason });
    }
    else {
        effects.push({ kind: "answerWhole", requestId, texts: request.bufferedTexts, finishReason });
    }
    finishRequest(transaction, request, "completed");
}

/** Ends a request with the response of a plain service, or with the one recorded for the same key. */
export function completeResponse(transaction: Transaction, request: EntryRequest, answer: ClaimAnswer): void {
    transaction.effects.push({ kind: "answerResponse", requestId: request.id, answer });
    recordAnswer(transaction, request, answer);
    finishRequest(transaction, request, "completed");
}

function finishRequest(transaction: Transaction, request: EntryRequest, result: string): void {
    const { state, now } = transaction;
    for (const attempt of [...request.attempts.values()]) {
        cancelAttempt(transaction, request, attempt, "abandoned");
    }
    if (request.pendingClaimId !== undefined) {
        state.requestsByClaim.delete(request.pendingClaimId);
    }
    state.requests.delete(request.id);
    setWaitReason(request.waits, undefined, now);
    recordFinishedWaits(transaction, request);
    observe(transaction, {
        event: "request_finished",
        requestId: request.id,
        organisation: request.work.organisation,
        result,
        duration: now - request.arrivedAt,
        tokens: request.writtenTokens,
        waits: request.waits.spans,
    });
}

function recordFinishedWaits({ state, now }: Transaction, request: EntryRequest): void {
    const spans = waitSpans(request.waits, now).filter(span => span.reason !== "generating");
    const total = spans.reduce((sum, span) => sum + span.duration, 0);
    if (total < minRecordedWait) {
        return;
    }
    const { id: requestId, routeName: route } = request;
    state.finishedWaits.push({ requestId, organisation: request.work.organisation, route, finished: true, spans });
    if (state.finishedWaits.length > maxFinishedWaits) {
        state.finishedWaits.shift();
    }
}

/** The run outcome to report if the request fails now. */
export function currentOutcome(request: EntryRequest): RunOutcome {
    if (request.streamed && request.writtenTokens > (request.cursor?.next ?? 0)) {
        return "generation_lost";
    }
    return request.attempts.size > 0 || request.mayHaveRun || request.cursor !== undefined
        ? "outcome_unknown"
        : "not_run";
}

/** Handles a caller's disconnect. A keyed request continues, so that its answer is recorded for a repeat of the key. */
export function handleCallerLeft(transaction: Transaction, request: EntryRequest): void {
    if (request.key !== undefined) {
        return;
    }
    for (const attempt of [...request.attempts.values()]) {
        cancelAttempt(transaction, request, attempt, "caller_left");
    }
    finishRequest(transaction, request, "caller_left");
}

const maxWithdrawalLead: Milliseconds = 1_000;

/**
 * When to withdraw attempts that have not started: early enough before the deadline that the caller can be told in time
 * whether the request ran.
 */
export function withdrawalTime(request: EntryRequest): Milliseconds {
    return request.deadline - Math.min(maxWithdrawalLead, (request.deadline - request.arrivedAt) / 4);
}
