/**
 * Runs at engines that a request has left for another server. A closed channel does not stop a run at every engine, so the
 * engine is asked to stop it, and asked again until an answer shows that it has no such run any more: a call that is
 * refused or lost stops nothing.
 */
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import type { AttemptOutcome } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import { certainRunTime } from "./drainLimit.js";
import type { GatewayEvent, MigrationResult } from "./event.js";
import { requestFields } from "./requests.js";
import { isSuperseded } from "./serverIncarnations.js";
import { engineOf } from "./serverLoad.js";
import { isPaused } from "./serverPauses.js";
import { type Attempt, cutAt, type GatewayRequest, type GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

type MigrationAnswered = Extract<GatewayEvent, { readonly kind: "migrationAnswered"; }>;

/** A run that may go on though its request has left it. */
export interface AbandonedRun {
    readonly request: GatewayRequest;
    readonly attempt: Attempt;
    readonly abandonedAt: Milliseconds;
    /** The last other server that the request was sent to; undefined before it was sent to one. */
    next: BackendServer | undefined;
    /** How often its server was asked to stop it. */
    asks: number;
    /** How many of these calls were refused, or ended without an answer. */
    failures: number;
    nextAskAt: Milliseconds;
    /** Whether the last call to its server ended without an answer. */
    isUnanswered: boolean;
}

/** The outcomes after which a server may still work on a request. */
const outcomesWithRun: ReadonlySet<AttemptOutcome> = new Set([
    "channel_lost",
    "answer_truncated",
    "answer_malformed",
    "answer_of_another",
    "body_too_large",
    "silent",
]);

/** A server that has not answered for this long is asked again: the call or its answer may be lost. */
const firstAskInterval: Milliseconds = 150;
/** A server that refused a call, or could not be reached, is asked again after this time: it may be copying the run. */
const firstFailurePause: Milliseconds = 50;
/** Both intervals double, up to this one. */
const longestAskInterval: Milliseconds = 1_000;

/** The time limit of a run begins at its server, up to this much later than it was sent. */
const timeLimitSlack: Milliseconds = 1_000;

/** The server has no such run. */
const noRunStatus = 404;
/** There is no room for the memory of the run, which is stopped if the answer names what the server keeps of it. */
const noRoomStatus = 503;

/** Records an attempt without a deliverable answer whose run may go on. A silent attempt that stays open is not abandoned. */
export function recordAbandonedRun(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    outcome: AttemptOutcome,
): void {
    const { runs, silentAttempt } = request;
    const mayRun = runs.newRuns.has(attempt.id) || runs.continuations.has(attempt.id);
    if (mayRun && outcomesWithRun.has(outcome) && silentAttempt?.attempt !== attempt) {
        abandonRun(transaction, request, attempt);
    }
}

/** Records that a request leaves a run that may go on. It is stopped once the request has been sent to another server. */
export function abandonRun({ state, now }: Transaction, request: GatewayRequest, attempt: Attempt): void {
    if (engineOf(state, request.service)?.canMigrate !== true) {
        return;
    }
    // A migration may have asked the server to stop the run.
    const { isStopping } = attempt;
    state.abandonedRuns.set(attempt.id, {
        request,
        attempt,
        abandonedAt: now,
        next: undefined,
        asks: isStopping ? 1 : 0,
        failures: 0,
        nextAskAt: isStopping ? now + firstAskInterval : now,
        isUnanswered: false,
    });
}

/** Whether an earlier run of a request may go on at a server, which then can't be asked to stop just that one. */
export function mayStillRunAt({ abandonedRuns }: GatewayState, request: GatewayRequest, id: BackendServerId): boolean {
    return request.silentAttempt?.attempt.server.record.id === id
        || [...abandonedRuns.values()].some(run => run.request === request && serverOf(run) === id);
}

/** Stops the runs that a request has left, after it was sent to a server or has returned to one. */
export function stopAbandonedRuns(transaction: Transaction, request: GatewayRequest): void {
    const server = request.attempt?.server;
    for (const run of transaction.state.abandonedRuns.values()) {
        if (run.request === request && server !== undefined && server.record.id !== serverOf(run)) {
            run.next = server;
            askIfDue(transaction, run);
        }
    }
}

/** Asks again for runs that are due, and forgets those that have ended by other means. */
export function checkAbandonedRuns(transaction: Transaction): void {
    const { state: { abandonedRuns } } = transaction;
    for (const [id, run] of abandonedRuns) {
        const end = findEnd(transaction, run);
        if (end === undefined) {
            askIfDue(transaction, run);
            continue;
        }
        abandonedRuns.delete(id);
        if (run.next !== undefined) {
            logRun(transaction, "warn", "run_not_stopped", run, { reason: end });
        }
    }
}

/** Why a run needs no request to stop it, or can't be asked for any more; undefined if neither is the case. */
function findEnd(
    { state, now }: Transaction,
    { request, attempt: { server }, next }: AbandonedRun,
): "server_restarted" | "server_gone" | "time_limit" | "not_continued" | undefined {
    const known = state.servers.get(server.record.id);
    if (isSuperseded(state, server)) {
        return "server_restarted";
    }
    // The address of a server that has ended may be that of another one.
    if (known === undefined || (known.removedAt !== undefined && certainRunTime(state, known, now) <= 0)) {
        return "server_gone";
    }
    if (now >= cutAt(request) + timeLimitSlack) {
        return "time_limit";
    }
    return next === undefined && !state.requests.has(request.id) ? "not_continued" : undefined;
}

function askIfDue(transaction: Transaction, run: AbandonedRun): void {
    const { state, now, effects } = transaction;
    const { request, attempt: { id, server }, next } = run;
    // At the server that has the request again, the call could stop the new run.
    const hasReturned = request.attempt?.server.record.id === server.record.id;
    if (
        next === undefined || now < run.nextAskAt || hasReturned || findEnd(transaction, run) !== undefined
        || isPaused(state, server.record.id, now) || waitsForAnother(state, run)
    ) {
        return;
    }
    if (run.asks === 0) {
        logRun(transaction, "info", "run_abandoned", run, {});
    }
    run.asks++;
    run.nextAskAt = now + doubled(firstAskInterval, run.asks - 2);
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

/** Whether a run waits for the call about another one: a server that does not answer is asked about one run at a time. */
function waitsForAnother({ abandonedRuns }: GatewayState, run: AbandonedRun): boolean {
    return run.isUnanswered
        && [...abandonedRuns.values()].find(other => other.isUnanswered && serverOf(other) === serverOf(run)) !== run;
}

function doubled(interval: Milliseconds, times: number): Milliseconds {
    return Math.min(longestAskInterval, interval * 2 ** Math.max(0, times));
}

/** Handles an answer about a run that its request has left. Returns false if it is about another one. */
export function handleAbandonedAnswered(
    transaction: Transaction,
    { attemptId, result, isStopping }: MigrationAnswered,
): boolean {
    const { state: { abandonedRuns }, now } = transaction;
    const run = abandonedRuns.get(attemptId);
    if (run === undefined) {
        return false;
    }
    const isStopped = isStopping && showsNoRun(run.attempt, result);
    logRun(transaction, "info", "run_stop_answered", run, {
        step: isStopping ? "stop" : "copy",
        isStopped,
        result: result.kind,
        status: result.kind === "refused" ? result.status : undefined,
        detail: result.kind === "failed" ? result.detail : undefined,
    });
    run.isUnanswered = result.kind === "failed";
    if (!run.isUnanswered) {
        askUnanswered(abandonedRuns.values(), serverOf(run), now);
    }
    if (isStopped) {
        abandonedRuns.delete(attemptId);
        return true;
    }
    // A server that copies a run refuses to stop it until the copy has ended.
    run.nextAskAt = isStopping ? Math.min(run.nextAskAt, now + doubled(firstFailurePause, run.failures++)) : now;
    askIfDue(transaction, run);
    return true;
}

/** A server that answers again is asked about all runs at once. */
function askUnanswered(runs: Iterable<AbandonedRun>, id: BackendServerId, now: Milliseconds): void {
    for (const run of runs) {
        if (run.isUnanswered && serverOf(run) === id) {
            run.isUnanswered = false;
            run.nextAskAt = now;
        }
    }
}

/**
 * Whether the answer to a request to stop a run shows that it does not go on. Of a run that waits for a place its server
 * knows nothing.
 */
export function showsNoRun({ firstEventAt }: Attempt, result: MigrationResult): boolean {
    if (result.kind !== "refused") {
        return result.kind === "moved";
    }
    return result.status === noRunStatus
        ? firstEventAt !== undefined
        : result.status === noRoomStatus && result.handle !== undefined;
}

function serverOf({ attempt: { server } }: AbandonedRun): BackendServerId {
    return server.record.id;
}

function logRun(
    transaction: Transaction,
    level: "info" | "warn",
    event: string,
    run: AbandonedRun,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
): void {
    logDecision(transaction, level, event, {
        ...requestFields(transaction, run.request),
        from: serverOf(run),
        asks: run.asks,
        abandonedFor: Math.round(transaction.now - run.abandonedAt),
        ...fields,
    });
}
