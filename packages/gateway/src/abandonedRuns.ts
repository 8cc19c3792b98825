/**
 * Runs at engines that a request has left for another server. A closed channel does not stop a run at every engine, so the
 * engine is asked to stop it, and asked again until an answer shows that it has no such run any more: a call that is
 * refused or lost stops nothing.
 */
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import type { AttemptOutcome } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import { certainRunTime } from "./drainLimit.js";
import type { GatewayEvent } from "./event.js";
import { answerFields, recordStopAnswer, requestMigration, showsNoRun } from "./migrationCalls.js";
import { requestFields } from "./requests.js";
import { isSuperseded } from "./serverIncarnations.js";
import { engineOf } from "./serverLoad.js";
import { isPaused } from "./serverPauses.js";
import { type Attempt, cutAt, type GatewayRequest, type GatewayState } from "./state.js";
import { askAtOnce, recordAsk, recordFailure, scheduleStop, type StopSchedule } from "./stopSchedule.js";
import { logDecision, type Transaction } from "./transaction.js";

type MigrationAnswered = Extract<GatewayEvent, { readonly kind: "migrationAnswered"; }>;

/** A run that may go on though its request has left it. */
export interface AbandonedRun {
    readonly request: GatewayRequest;
    readonly attempt: Attempt;
    readonly abandonedAt: Milliseconds;
    /** The last other server that the request was sent to; undefined before it was sent to one. */
    next: BackendServer | undefined;
    schedule: StopSchedule;
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

/** The time limit of a run begins at its server, up to this much later than it was sent. */
const timeLimitSlack: Milliseconds = 1_000;

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
    state.abandonedRuns.set(attempt.id, {
        request,
        attempt,
        abandonedAt: now,
        next: undefined,
        // A migration may have asked the server to stop the run.
        schedule: scheduleStop(attempt.isStopping, now),
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
    const { state, now, source } = transaction;
    const { request, attempt, next } = run;
    const { server } = attempt;
    // At the server that has the request again, the call could stop the new run.
    const hasReturned = request.attempt?.server.record.id === server.record.id;
    if (
        next === undefined || now < run.schedule.nextAskAt || hasReturned || findEnd(transaction, run) !== undefined
        || isPaused(state, server.record.id, now) || waitsForAnother(state, run)
    ) {
        return;
    }
    if (run.schedule.asks === 0) {
        logRun(transaction, "info", "run_abandoned", run, {});
    }
    run.schedule = recordAsk(run.schedule, now, source.random);
    // The copy that this makes at the next server is not used, and expires.
    requestMigration(transaction, request, attempt, next, true);
}

/** Whether a run waits for the call about another one: a server that does not answer is asked about one run at a time. */
function waitsForAnother({ abandonedRuns }: GatewayState, run: AbandonedRun): boolean {
    return run.isUnanswered
        && [...abandonedRuns.values()].find(other => other.isUnanswered && serverOf(other) === serverOf(run)) !== run;
}

/** Handles an answer about a run that its request has left. Returns false if it is about another one. */
export function handleAbandonedAnswered(
    transaction: Transaction,
    { attemptId, result, isStopping }: MigrationAnswered,
): boolean {
    const { state: { abandonedRuns }, now, source } = transaction;
    const run = abandonedRuns.get(attemptId);
    if (run === undefined) {
        return false;
    }
    if (isStopping) {
        recordStopAnswer(run.request, run.attempt, result);
    }
    const isStopped = isStopping && showsNoRun(run.attempt, result);
    logRun(transaction, "info", "run_stop_answered", run, {
        ...answerFields(result, isStopping),
        isStopped,
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
    run.schedule = isStopping ? recordFailure(run.schedule, now, source.random) : askAtOnce(run.schedule, now);
    askIfDue(transaction, run);
    return true;
}

/** A server that answers again is asked about all runs at once. */
function askUnanswered(runs: Iterable<AbandonedRun>, id: BackendServerId, now: Milliseconds): void {
    for (const run of runs) {
        if (run.isUnanswered && serverOf(run) === id) {
            run.isUnanswered = false;
            run.schedule = askAtOnce(run.schedule, now);
        }
    }
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
        asks: run.schedule.asks,
        abandonedFor: Math.round(transaction.now - run.abandonedAt),
        ...fields,
    });
}
