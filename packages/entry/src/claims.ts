/**
 * Request keys: a non-idempotent request with a key is dispatched only after its claim has been read back from the log
 * as the key's first. Claims of many requests travel in one append.
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

const mostStatementsInAppend = 256;
const mostPendingStatements = 16_384;
/** Longer answers are not recorded; a repeat is told `already_accepted`. */
const longestRecordedBody = 4_096;
const appendRetryBase = 100;
const appendRetryLongest = 2_000;
/** A claim that has not been read back by then is given up. */
const claimTimeout = 3_000;

/** Claims a request's key, or answers at once where the key is known or the log is out. */
export function beginClaim(transaction: Transaction, request: EntryRequest): void {
    const { state, now, source } = transaction;
    const key = request.key!;
    const isBackingOff = now < state.claimAppendRetryAt;
    if (!state.claims.caughtUp || state.claimsFollower.failures > 0 || isBackingOff) {
        return refuseClaim(transaction, request);
    }
    const holder = state.claims.held.get(key.digest);
    if (holder !== undefined) {
        return answerRepeat(transaction, request, holder);
    }
    const claimId: ClaimId = identifier(`${state.options.incarnation}.${source.newIdentifier()}`);
    request.pendingClaimId = claimId;
    state.requestsByClaim.set(claimId, request.id);
    setWaitReason(request.waits, "claim", now);
    const { digest, requestDigest } = key;
    state.pendingStatements.push({ type: "claim", key: digest, claimId, requestDigest });
    appendStatements(transaction);
}

function refuseClaim(transaction: Transaction, request: EntryRequest): void {
    const retryAfter = jitterRetryAfter(1_000, transaction.source.random);
    const message = "the platform's log is unavailable, so the key can't be claimed";
    failRequest(transaction, request, "log_unavailable", message, "not_run", retryAfter);
}

function answerRepeat(transaction: Transaction, request: EntryRequest, holder: ClaimResult["holder"]): void {
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

/** Settles the claims whose place in the log has been read. */
export function takeVerdicts(transaction: Transaction, verdicts: readonly ClaimResult[]): void {
    const { state } = transaction;
    for (const verdict of verdicts) {
        const requestId = state.requestsByClaim.get(verdict.claimId);
        const request = requestId === undefined ? undefined : state.requests.get(requestId);
        if (request?.pendingClaimId === verdict.claimId) {
            settleClaim(transaction, request, verdict);
        }
        else if (verdict.won && verdict.first && isOwnClaim(transaction, verdict.claimId)) {
            releaseKey(transaction, verdict);
        }
    }
}

/** A claim of this entry that won after its request was given up: nothing ran under it. */
function isOwnClaim({ state }: Transaction, claimId: ClaimId): boolean {
    return claimId.startsWith(`${state.options.incarnation}.`);
}

function settleClaim(transaction: Transaction, request: EntryRequest, verdict: ClaimResult): void {
    transaction.state.requestsByClaim.delete(verdict.claimId);
    request.pendingClaimId = undefined;
    if (!verdict.won) {
        return answerRepeat(transaction, request, verdict.holder);
    }
    request.wonClaimId = verdict.claimId;
    setWaitReason(request.waits, undefined, transaction.now);
    dispatch(transaction, request);
}

function releaseKey(transaction: Transaction, verdict: Pick<ClaimResult, "key" | "claimId">): void {
    addStatement(transaction, { type: "release", key: verdict.key, claimId: verdict.claimId });
}

/** Frees the key of a request that has not run, so that it can be asked for again. */
export function releaseClaim(transaction: Transaction, request: EntryRequest): void {
    if (request.wonClaimId !== undefined) {
        releaseKey(transaction, { key: request.key!.digest, claimId: request.wonClaimId });
    }
}

/** Records the answer of a claimed request for those that repeat it. */
export function recordAnswer(transaction: Transaction, request: EntryRequest, answer: ClaimAnswer): void {
    if (request.wonClaimId === undefined || answer.body.length > longestRecordedBody) {
        return;
    }
    addStatement(transaction, { type: "answer", key: request.key!.digest, claimId: request.wonClaimId, answer });
}

function addStatement(transaction: Transaction, statement: ClaimStatement): void {
    const { state } = transaction;
    if (state.pendingStatements.length >= mostPendingStatements) {
        return;
    }
    state.pendingStatements.push(statement);
    appendStatements(transaction);
}

/** Appends what is pending, one append at a time: what comes meanwhile shares the next. */
export function appendStatements(transaction: Transaction): void {
    const { state, now, effects } = transaction;
    const isIdle = state.statementsInFlight === undefined && now >= state.claimAppendRetryAt;
    if (!isIdle || state.pendingStatements.length === 0) {
        return;
    }
    const statements = state.pendingStatements.splice(0, mostStatementsInAppend);
    state.statementsInFlight = statements;
    effects.push({ kind: "appendClaims", statements });
}

/** The append has taken effect. */
export function takeAppended(transaction: Transaction): void {
    const { state } = transaction;
    state.statementsInFlight = undefined;
    state.claimAppendFailures = 0;
    appendStatements(transaction);
}

/** The append failed or its answer was lost: what is still wanted goes again, which does no harm if it is there. */
export function takeAppendFailed(transaction: Transaction): void {
    const { state, now, source } = transaction;
    const wanted = (state.statementsInFlight ?? []).filter(statement => isWanted(transaction, statement));
    state.statementsInFlight = undefined;
    state.claimAppendFailures++;
    state.claimAppendRetryAt = now
        + backoff(state.claimAppendFailures, appendRetryBase, appendRetryLongest, source.random);
    state.pendingStatements.unshift(...wanted);
}

function isWanted({ state }: Transaction, statement: ClaimStatement): boolean {
    if (statement.type !== "claim") {
        return true;
    }
    const requestId = state.requestsByClaim.get(statement.claimId);
    return requestId !== undefined && state.requests.has(requestId);
}

/** Gives up claims that the log has not shown in time. */
export function tendClaim(transaction: Transaction, request: EntryRequest): boolean {
    const isOverdue = request.pendingClaimId !== undefined && transaction.now - request.arrivedAt >= claimTimeout;
    if (isOverdue) {
        refuseClaim(transaction, request);
    }
    return isOverdue;
}
