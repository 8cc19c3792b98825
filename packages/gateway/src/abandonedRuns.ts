/**
 * Runs at engines that a request has left for another server. A closed channel does not stop a run at every engine, so the
 * engine is asked to stop it.
 */
import type { AttemptOutcome } from "./attempts.js";
import { requestFields } from "./requests.js";
import { isSuperseded } from "./serverIncarnations.js";
import { engineOf } from "./serverLoad.js";
import { isPaused } from "./serverPauses.js";
import type { Attempt, GatewayRequest } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The outcomes after which a server may still work on a request. */
const outcomesWithRun: ReadonlySet<AttemptOutcome> = new Set([
    "channel_lost",
    "answer_truncated",
    "answer_malformed",
    "answer_of_another",
    "body_too_large",
    "silent",
]);

/** Records an attempt without a deliverable answer whose run may go on. A silent attempt that stays open is not abandoned. */
export function recordAbandonedRun(request: GatewayRequest, attempt: Attempt, outcome: AttemptOutcome): void {
    const { runs, silentAttempt } = request;
    const mayRun = runs.newRuns.has(attempt.id) || runs.continuations.has(attempt.id);
    if (mayRun && outcomesWithRun.has(outcome) && silentAttempt?.attempt !== attempt) {
        request.abandonedRun = attempt;
    }
}

/** Stops the abandoned run of a request that was just sent to another server. */
export function stopAbandonedRun(transaction: Transaction, request: GatewayRequest): void {
    const { abandonedRun } = request;
    request.abandonedRun = undefined;
    if (abandonedRun !== undefined) {
        stopRun(transaction, request, abandonedRun);
    }
}

/** Stops the run of an attempt whose request has another server now. */
export function stopRun(transaction: Transaction, request: GatewayRequest, { id, server }: Attempt): void {
    const { state, now, effects } = transaction;
    const next = request.attempt?.server;
    const canStop = engineOf(state, request.service)?.canMigrate === true && !isSuperseded(state, server)
        && !isPaused(state, server.record.id, now);
    // At the same server the request to stop could reach the new run.
    if (next === undefined || next.record.id === server.record.id || !canStop) {
        return;
    }
    logDecision(transaction, "info", "run_abandoned", {
        ...requestFields(transaction, request),
        from: server.record.id,
    });
    // It is stopped by a migration: the copy that this makes at the next server is not used, and expires.
    effects.push({
        kind: "migrateRun",
        attemptId: id,
        callerAttemptId: request.head.callerAttemptId,
        sourceAddress: server.record.address,
        targetAddress: next.record.address,
        isStopping: true,
    });
}
