/**
 * Idempotency keys. A non-idempotent request with a key is dispatched only after its claim has been read back from the
 * log as the first one for the key. One append carries the claims of many requests.
 */
import {
    backoff,
    type ClaimAnswer,
    type ClaimResult,
    type ClaimStatement,
    jitterRetryAfter,
    setWaitReason,
} from "@verbenaspring/coordination";
import { type ClaimId, identifier } from "@verbenaspring/model";
import { dispatch } from "./attempts.js";
import { completeResponse, failRequest } from "./requests.js";
import type { EntryRequest } from "./state.js";
import type { Transaction } from "./transaction.js";

const maxStatementsPerAppend = 256;
const maxPendingStatements = 16_384;
/**
 * Answers with a longer body, in characters, are not recorded; repeats of the key then fail with `already_accepted`.
 */
const maxRecordedBodyLength = 4_096;
/** The range of the delay before a failed append is retried, in milliseconds. */
const minRetryDelay = 100;
const maxRetryDelay = 2_000;
/** A request whose claim has not been read back this many milliseconds after it arrived fails. */
const claimTimeout = 3_000;

/** Claims a request's key. Answers at once if the key has a holder, and fails at once while the log is unavailable. */
export function beginClaim(transaction: Transaction, request: EntryRequest): void {
    const { state, now, source } = transaction;
    const key = request.key!;
    const isBackingOff = now < state.claimAppendRetryAt;
    if (!state.claims.caughtUp || state.claimsFollower.failures > 0 || isBackingOff) {
        return failClaim(transaction, request);
    }
    const holder = state.claims.held.get(key.digest);
    if (holder !== undefined) {
        return answerRepeatedKey(transaction, request, holder);
    }
    const claimId: ClaimId = identifier(`${state.options.incarnation}.${source.newIdentifier()}`);
    request.pendingClaimId = claimId;
    state.requestsByClaim.set(claimId, request.id);
    setWaitReason(request.waits, "claim", now);
    const { digest, requestDigest } = key;
    state.pendingStatements.push({ type: "claim", key: digest, claimId, requestDigest });
    appendStatements(transaction);
}

function failClaim(transaction: Transaction, request: EntryRequest): void {
    const retryAfter = jitterRetryAfter(1_000, transaction.source.random);
    const message = "the platform's log is unavailable, so the key can't be claimed";
    failRequest(transaction, request, "log_unavailable", message, "not_run", retryAfter);
}

function answerRepeatedKey(transaction: Transaction, request: EntryRequest, holder: ClaimResult["holder"]): void {
    if (holder.requestDigest !== request.key!.requestDigest) {
        const message = "the key was used for another request";
        return failRequest(transaction, request, "key_reused", message, "already_accepted");
    }
    if (holder.answer !== undefined) {
        return completeResponse(transaction, request, holder.answer);
    }
    const message = "a request with this key was accepted before; its answer is not known yet";
    const retryAfter = jitterRetryAfter(1_000, transaction.source.random);
    failRequest(transaction, request, "already_accepted", message, "already_accepted", retryAfter);
}

/**
 * Handles claims that have been read back from the log. A claim of this entry that won after its request had ended is
 * released, since nothing has run under it.
 */
export function handleClaimResults(transaction: Transaction, results: readonly ClaimResult[]): void {
    const { state } = transaction;
    for (const result of results) {
        const requestId = state.requestsByClaim.get(result.claimId);
        const request = requestId === undefined ? undefined : state.requests.get(requestId);
        if (request?.pendingClaimId === result.claimId) {
            settleClaim(transaction, request, result);
        }
        else if (result.won && result.first && isOwnClaim(transaction, result.claimId)) {
            releaseKey(transaction, result);
        }
    }
}

/** Whether this entry made the claim: claim ids begin with the incarnation of their entry. */
function isOwnClaim({ state }: Transaction, claimId: ClaimId): boolean {
    return claimId.startsWith(`${state.options.incarnation}.`);
}

function settleClaim(transaction: Transaction, request: EntryRequest, result: ClaimResult): void {
    transaction.state.requestsByClaim.delete(result.claimId);
    request.pendingClaimId = undefined;
    if (!result.won) {
        return answerRepeatedKey(transaction, request, result.holder);
    }
    request.wonClaimId = result.claimId;
    setWaitReason(request.waits, undefined, transaction.now);
    dispatch(transaction, request);
}

function releaseKey(transaction: Transaction, result: Pick<ClaimResult, "key" | "claimId">): void {
    addStatement(transaction, { type: "release", key: result.key, claimId: result.claimId });
}

/** Releases the key of a request that has not run, so that the request can be repeated. */
export function releaseClaim(transaction: Transaction, request: EntryRequest): void {
    if (request.wonClaimId !== undefined) {
        releaseKey(transaction, { key: request.key!.digest, claimId: request.wonClaimId });
    }
}

/** Appends the answer of a claimed request to the log, so that every entry can answer repeats of its key. */
export function recordAnswer(transaction: Transaction, request: EntryRequest, answer: ClaimAnswer): void {
    if (request.wonClaimId === undefined || answer.body.length > maxRecordedBodyLength) {
        return;
    }
    addStatement(transaction, { type: "answer", key: request.key!.digest, claimId: request.wonClaimId, answer });
}

function addStatement(transaction: Transaction, statement: ClaimStatement): void {
    const { state } = transaction;
    if (state.pendingStatements.length >= maxPendingStatements) {
        return;
    }
    state.pendingStatements.push(statement);
    appendStatements(transaction);
}

/** Appends the pending statements, one append at a time. Statements that come meanwhile share the next append. */
export function appendStatements(transaction: Transaction): void {
    const { state, now, effects } = transaction;
    const isIdle = state.statementsInFlight === undefined && now >= state.claimAppendRetryAt;
    if (!isIdle || state.pendingStatements.length === 0) {
        return;
    }
    const statements = state.pendingStatements.splice(0, maxStatementsPerAppend);
    state.statementsInFlight = statements;
    effects.push({ kind: "appendClaims", statements });
}

/** Handles a successful append of claim statements. */
export function handleClaimsAppended(transaction: Transaction): void {
    const { state } = transaction;
    state.statementsInFlight = undefined;
    state.claimAppendFailures = 0;
    appendStatements(transaction);
}

/**
 * Handles a failed append, which may have taken effect if only its answer was lost. Statements that are still needed
 * are appended again; a duplicate in the log is harmless.
 */
export function handleClaimsAppendFailed(transaction: Transaction): void {
    const { state, now, source } = transaction;
    const needed = (state.statementsInFlight ?? []).filter(statement => isStillNeeded(transaction, statement));
    state.statementsInFlight = undefined;
    state.claimAppendFailures++;
    state.claimAppendRetryAt = now
        + backoff(state.claimAppendFailures, minRetryDelay, maxRetryDelay, source.random);
    state.pendingStatements.unshift(...needed);
}

function isStillNeeded({ state }: Transaction, statement: ClaimStatement): boolean {
    if (statement.type !== "claim") {
        return true;
    }
    const requestId = state.requestsByClaim.get(statement.claimId);
    return requestId !== undefined && state.requests.has(requestId);
}

/** Fails a request whose claim has not been read back in time, and returns true if it did. */
export function failOverdueClaim(transaction: Transaction, request: EntryRequest): boolean {
    const isOverdue = request.pendingClaimId !== undefined && transaction.now - request.arrivedAt >= claimTimeout;
    if (isOverdue) {
        failClaim(transaction, request);
    }
    return isOverdue;
}
