/**
 * Migrates streams away from a server that leaves or is evacuated. The memory of a stream is copied to another engine
 * while it runs. Then its server is asked to stop the run and to copy what was generated meanwhile, and the stream
 * continues from the copy once the run has stopped. A closed channel would not stop the run at every server. Each server
 * has one migration at a time, since all of them share its network link.
 *
 * At a server that leaves, a stream needs no migration if a new run can continue it, or if a server that stays holds a
 * usable replica of it, or will before the server may exit. That is decided again until the stream has left its server.
 * An evacuated server goes on, so its streams are migrated to empty the failure domain: those that would be lost with it
 * first, and only with memory and retries that others leave unused.
 */
import { chooseReplicaHost, migrationPlacement, replicaPlacement } from "@verbenaspring/coordination";
import type { BackendServerId, Milliseconds } from "@verbenaspring/model";
import { abandonRun, handleAbandonedAnswered, mayStillRunAt } from "./abandonedRuns.js";
import { endAttempt, retryOrFail } from "./attempts.js";
import type { BackendServer } from "./backendServers.js";
import { certainRunTime } from "./drainLimit.js";
import { isEvacuated } from "./evacuations.js";
import type { GatewayEvent, MigrationResult } from "./event.js";
import { expectedOutput } from "./messages.js";
import { answerFields, hadNoRoom, hasNoRun, recordStopAnswer, requestMigration, showsNoRun } from "./migrationCalls.js";
import { expectReplica, findStayingHolder, replicaState, usableCopyHolder } from "./replicas.js";
import { requestFields } from "./requests.js";
import { canSendAgain } from "./sending.js";
import { isSuperseded } from "./serverIncarnations.js";
import { engineOf, otherServers, replicaView, setMigrationTarget } from "./serverLoad.js";
import { isPaused } from "./serverPauses.js";
import type { Attempt, GatewayRequest, GatewayState, RunCopy } from "./state.js";
import { handleStreamEnded } from "./streams.js";
import { logDecision, type Transaction } from "./transaction.js";

type MigrationAnswered = Extract<GatewayEvent, { readonly kind: "migrationAnswered"; }>;

/** Why streams are migrated away from a server. */
type MigrationReason = "leaving" | "evacuated";

/** Why a stream is not migrated from a server that leaves or is evacuated. */
export type MigrationObstacle =
    | "not_begun"
    | "not_continuable"
    | "stop_requested"
    | "stream_ended"
    | "server_restarted"
    | "not_supported"
    | "targets_failed"
    | "ends_soon"
    | "safe"
    | "no_retry"
    | "no_target";

interface MigratableStream {
    readonly request: GatewayRequest;
    readonly attempt: Attempt;
    /** Whether it could continue elsewhere if its server failed. */
    readonly isSafe: boolean;
}

/** A stream that is expected to end sooner is not migrated, if its server is certain to keep running for as long. */
const minimumRemainingTime: Milliseconds = 700;
/** A stream that is expected to end sooner is never migrated, since that takes as long. */
const shortestMigration: Milliseconds = 200;

/** How often streams at evacuated servers are checked: their forecasts and the memory of other engines change. */
const evacuationCheckInterval: Milliseconds = 1_000;
/** Streams that end sooner stay at an evacuated server, where the settings name no bound. */
const defaultEvacuationLimit: Milliseconds = 5_000;
/** Retries that migrations from evacuated servers leave for requests that fail. */
const reservedRetries = 1;

/**
 * How often streams at leaving servers are checked: the holder of a replica may leave too, a run may exceed its estimate,
 * and a target may become usable. A change of a server is followed by a check at the next tick.
 */
const leavingCheckInterval: Milliseconds = 200;

/** A continuation is admitted before other requests: one without an event after this time waits for a place. */
const admissionTime: Milliseconds = 200;

/** Events that a server made are read within this time. */
const longestEventDelay: Milliseconds = 600;

/** For this long a stream is not migrated again to a target at which its migration failed. */
const failedTargetTimeout: Milliseconds = 1_000;
/** With this many such targets a stream waits: more attempts would take the link from other streams. */
const maximumMigrationTargets = 4;

/**
 * Starts the next migration from a server that leaves or is evacuated: streams that would be lost with it first, of these
 * those that have begun, and of these the longest remaining one. While the server wants no calls, its migrations wait.
 */
export function migrateStreams(transaction: Transaction, id: BackendServerId): void {
    const { state, now } = transaction;
    const reason = migrationReason(state, id);
    if (reason === undefined || isPaused(state, id, now)) {
        return;
    }
    const atServer = [...state.requests.values()].filter(({ attempt }) => attempt?.server.record.id === id);
    if (atServer.some(({ attempt }) => attempt?.migrationTarget !== undefined)) {
        return;
    }
    const underWay = [...state.attempts.values()].filter(({ attempt }) =>
        attempt?.migrationTarget !== undefined && !attempt.isStopRequested
    );
    const streams = atServer.flatMap(request => migratableStreams(transaction, request, reason, underWay.length));
    const inOrder = streams.sort((one, other) =>
        Number(one.isSafe) - Number(other.isSafe)
        || Number(isWaiting(one.attempt)) - Number(isWaiting(other.attempt))
        || remainingTime(transaction, other.request) - remainingTime(transaction, one.request)
    );
    // A stream without a target must not block the others.
    inOrder.some(stream => startMigration(transaction, stream, reason));
}

/** Whether a run has not begun: its server may not know it. */
function isWaiting({ firstEventAt }: Attempt): boolean {
    return firstEventAt === undefined;
}

/** Why the streams of a server are migrated away; undefined if they stay. A server that is not known any more has left. */
function migrationReason(state: GatewayState, id: BackendServerId): MigrationReason | undefined {
    const server = state.servers.get(id);
    if (server === undefined || server.leavingSince !== undefined) {
        return "leaving";
    }
    return isEvacuated(state, server.record) ? "evacuated" : undefined;
}

/**
 * Starts the migrations that are due: what decided that a stream stays may have changed since its server began to leave
 * or was evacuated.
 */
export function checkMigrations(transaction: Transaction): void {
    const { state, now } = transaction;
    if (now >= state.nextLeavingCheckAt) {
        state.nextLeavingCheckAt = now + leavingCheckInterval;
        migrateForReason(transaction, "leaving");
    }
    if (state.evacuations.size > 0 && now >= state.nextEvacuationCheckAt) {
        state.nextEvacuationCheckAt = now + evacuationCheckInterval;
        migrateForReason(transaction, "evacuated");
    }
}

function migrateForReason(transaction: Transaction, reason: MigrationReason): void {
    const { state } = transaction;
    const ids = new Set(
        [...state.attempts.values()].flatMap(({ attempt, route }) =>
            attempt === undefined || !route.isStream ? [] : [attempt.server.record.id]
        ),
    );
    [...ids].filter(id => migrationReason(state, id) === reason).forEach(id => migrateStreams(transaction, id));
}

/** Checks the streams at leaving servers at the next tick, since a server has changed that may hold a replica of one. */
export function checkStreamsSoon({ state, now }: Transaction): void {
    state.nextLeavingCheckAt = now;
}

/** Starts a migration for a stream whose first event came after its server began to leave. */
export function migrateAfterFirstEvent(transaction: Transaction, attempt: Attempt): void {
    const server = transaction.state.servers.get(attempt.server.record.id);
    const isFirst = attempt.migrationTarget === undefined && attempt.firstEventAt === transaction.now;
    if (isFirst && server?.leavingSince !== undefined) {
        migrateStreams(transaction, attempt.server.record.id);
    }
}

/** @param underWay the copies under way, each of which needs a retry when it is complete */
function migratableStreams(
    transaction: Transaction,
    request: GatewayRequest,
    reason: MigrationReason,
    underWay: number,
): MigratableStream[] {
    const { attempt, route } = request;
    if (attempt === undefined || !route.isStream) {
        return [];
    }
    const isSafe = route.canResume || isReplicatedInTime(transaction, request, attempt);
    const stream = { request, attempt, isSafe };
    const obstacle = migrationObstacle(transaction, stream, reason, underWay);
    if (obstacle !== undefined) {
        logObstacle(transaction, stream, obstacle, "debug");
        return [];
    }
    return [stream];
}

/**
 * Whether a server that stays holds a replica of a run, or will before the run's own server may exit. An incomplete
 * replica counts for that long, since it grows while the run produces events.
 */
function isReplicatedInTime(transaction: Transaction, request: GatewayRequest, attempt: Attempt): boolean {
    if (findStayingHolder(transaction, request, attempt) === undefined) {
        return false;
    }
    const { state, now } = transaction;
    const known = state.servers.get(attempt.server.record.id);
    const expectation = expectReplica(transaction, request, attempt);
    if (known !== undefined && known.leavingSince === undefined) {
        return true;
    }
    const missing = expectation === undefined ? 0 : expectation.completeAfter - expectation.producingTime;
    const runTime = known === undefined ? 0 : certainRunTime(state, known, now);
    return !isWaiting(attempt) && missing <= runTime;
}

function migrationObstacle(
    transaction: Transaction,
    { request, attempt, isSafe }: MigratableStream,
    reason: MigrationReason,
    underWay: number,
): MigrationObstacle | undefined {
    const { state, now } = transaction;
    if (isWaiting(attempt) && !canMoveBeforeFirstEvent(request, attempt, reason, now)) {
        return "not_begun";
    }
    const obstacle = runObstacle(state, request, attempt);
    if (obstacle !== undefined) {
        return obstacle;
    }
    if (countFailedTargets(attempt, now) >= maximumMigrationTargets) {
        return "targets_failed";
    }
    const remaining = remainingTime(transaction, request);
    if (reason === "evacuated") {
        // A stream is cut at its deadline, wherever it runs.
        const isLong = Math.min(remaining, request.deadline - now)
            > (state.options.evacuationLimit ?? defaultEvacuationLimit);
        return isLong ? retryObstacle(transaction, request, reservedRetries + underWay) : "ends_soon";
    }
    if (isSafe) {
        return "safe";
    }
    if (!isWaiting(attempt) && remaining <= endsSoonWithin(transaction, attempt)) {
        return "ends_soon";
    }
    // A copy is of no use before the stream may be sent again, and is repeated then.
    return attempt.copy === undefined ? undefined : retryObstacle(transaction, request, 0);
}

/** Why a run can't be migrated, whatever the reason to do so. */
function runObstacle(
    state: GatewayState,
    { service, isContinuable }: GatewayRequest,
    attempt: Attempt,
): MigrationObstacle | undefined {
    if (!isContinuable) {
        return "not_continuable";
    }
    if (isSuperseded(state, attempt.server)) {
        return "server_restarted";
    }
    if (attempt.endCheck !== undefined) {
        return "stream_ended";
    }
    // A run that may have been stopped continues from its copy as soon as its end is seen.
    if (attempt.isStopRequested && !goesOnAfterStop(attempt)) {
        return "stop_requested";
    }
    return engineOf(state, service)?.canMigrate === true ? undefined : "not_supported";
}

/**
 * Whether a run that waits for its first event is to be migrated from a server that leaves. One that continues another
 * run can be: it has a last event to go on from. Its server knows no such run while it waits for a place, so it is asked
 * again after a pause.
 */
function canMoveBeforeFirstEvent(
    { lastEvent }: GatewayRequest,
    { continuesFrom, startedAt, migrationStartedAt = -Infinity }: Attempt,
    reason: MigrationReason,
    now: Milliseconds,
): boolean {
    return reason === "leaving" && continuesFrom !== undefined && lastEvent !== undefined
        && now - startedAt >= admissionTime && now - migrationStartedAt >= failedTargetTimeout;
}

/**
 * Whether events show that a run goes on though its server was asked to stop it. Earlier ones may have been on their way.
 */
function goesOnAfterStop({ stopUnansweredAt, lastActivityAt }: Attempt): boolean {
    return stopUnansweredAt !== undefined && lastActivityAt - stopUnansweredAt >= longestEventDelay;
}

/** A stream at a leaving server that is expected to end within this time is left to end there. */
function endsSoonWithin({ state, now }: Transaction, { server }: Attempt): Milliseconds {
    const known = state.servers.get(server.record.id);
    const runTime = known === undefined ? 0 : certainRunTime(state, known, now);
    return Math.max(shortestMigration, Math.min(minimumRemainingTime, runTime));
}

function retryObstacle(
    transaction: Transaction,
    request: GatewayRequest,
    reserved: number,
): MigrationObstacle | undefined {
    return canSendAgain(transaction, request, reserved) ? undefined : "no_retry";
}

/** Logs why a stream is not migrated, once until that changes. */
function logObstacle(
    transaction: Transaction,
    { request, attempt }: MigratableStream,
    obstacle: MigrationObstacle,
    level: "debug" | "warn",
): void {
    if (attempt.loggedObstacle === obstacle) {
        return;
    }
    attempt.loggedObstacle = obstacle;
    logDecision(transaction, level, obstacle === "no_target" ? "move_without_target" : "move_not_due", {
        ...requestFields(transaction, request),
        server: attempt.server.record.id,
        obstacle,
        replica: attempt.replica?.record.id,
        replicaState: replicaState(transaction, attempt),
        remaining: Math.round(remainingTime(transaction, request)),
        silence: Math.round(transaction.now - attempt.lastActivityAt),
    });
}

function countFailedTargets({ failedTargets }: Attempt, now: Milliseconds): number {
    return [...failedTargets.values()].filter(until => now < until).length;
}

/** The expected time until the stream ends. */
function remainingTime({ state }: Transaction, { head, service, eventCount }: GatewayRequest): Milliseconds {
    const expected = expectedOutput(head);
    const generated = eventCount * (engineOf(state, service)?.tokensPerEvent ?? 1);
    // Once the output exceeds its estimate, half of what was generated is expected to follow.
    const remaining = expected > generated ? expected - generated : generated / 2;
    return remaining * state.timePerToken;
}

/** Starts the migration of a stream. Returns false if no engine can take its run. */
function startMigration(transaction: Transaction, stream: MigratableStream, reason: MigrationReason): boolean {
    const { request, attempt } = stream;
    const target = chooseTarget(transaction, request, attempt, reason);
    if (target === undefined) {
        // The streams of evacuated servers go on where they are.
        logObstacle(transaction, stream, "no_target", reason === "evacuated" ? "debug" : "warn");
        return false;
    }
    attempt.loggedObstacle = undefined;
    setMigrationTarget(transaction.state, attempt, target);
    attempt.migrationStartedAt = transaction.now;
    requestMigration(transaction, request, attempt, target, false);
    return true;
}

function chooseTarget(
    { state, now, source }: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    reason: MigrationReason,
): BackendServer | undefined {
    const engine = engineOf(state, request.service);
    if (engine === undefined) {
        return undefined;
    }
    const eligible = otherServers(state, attempt.server, now).filter(({ record: { id } }) =>
        now >= (attempt.failedTargets.get(id) ?? -Infinity) && !mayStillRunAt(state, request, id)
    );
    const share = attempt.memoryTokens / engine.memoryTokens;
    return chooseReplicaHost(
        eligible,
        other => replicaView(state, other, attempt.server, now),
        share,
        source.random,
        // The other failure domains get the requests of the evacuated one, so its streams use only what runs leave free.
        reason === "evacuated" ? replicaPlacement : migrationPlacement,
    );
}

/**
 * Handles the answer to a migration's first or second step. A complete copy is followed by the request to stop the run,
 * if the target still accepts it and another send is allowed. Once the run has stopped, the stream continues from the
 * copy. Otherwise the run goes on, and the next migration starts.
 */
export function handleMigrationAnswered(transaction: Transaction, event: MigrationAnswered): void {
    if (handleAbandonedAnswered(transaction, event)) {
        return;
    }
    const request = transaction.state.attempts.get(event.attemptId);
    const attempt = request?.attempt;
    if (request !== undefined && attempt !== undefined && event.isStopping) {
        recordStopAnswer(request, attempt, event.result);
    }
    if (request === undefined || attempt?.migrationTarget === undefined) {
        return;
    }
    logMigrationAnswered(transaction, request, attempt, attempt.migrationTarget, event.result);
    if (attempt.isStopping) {
        handleStopAnswered(transaction, request, attempt, event.result);
    }
    else if (!requestStop(transaction, request, attempt, attempt.migrationTarget, event.result)) {
        // Of a run that waits for a place its server knows nothing, which says nothing of the target.
        const waits = hasNoRun(event.result) && isWaiting(attempt);
        endMigration(transaction, attempt, event.result.kind === "moved" || waits);
    }
    migrateStreams(transaction, attempt.server.record.id);
}

/** Asks the server to stop a run that was copied. Returns false if the run is to go on. */
function requestStop(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    target: BackendServer,
    result: MigrationResult,
): boolean {
    const { state, now } = transaction;
    if (result.kind !== "moved") {
        return false;
    }
    // If the run can't be stopped now, the stream can continue from the copy when its server exits.
    const requestedAt = attempt.migrationStartedAt ?? -Infinity;
    const copy: RunCopy = { holder: target, name: result.handle, requestedAt };
    attempt.copy = copy;
    const { id } = attempt.server.record;
    // A server whose registration had lapsed may be registered again, and an evacuation may be withdrawn.
    const isDue = migrationReason(state, id) !== undefined;
    const canStop = isDue && attempt.endCheck === undefined && request.isContinuable && !isPaused(state, id, now)
        && canSendAgain(transaction, request);
    if (!canStop || usableCopyHolder(transaction, request, attempt, copy) === undefined) {
        return false;
    }
    attempt.isStopRequested = true;
    attempt.isStopping = true;
    attempt.stopUnansweredAt = undefined;
    requestMigration(transaction, request, attempt, target, true);
    return true;
}

function handleStopAnswered(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    result: MigrationResult,
): void {
    const { endAfterStop, copy } = attempt;
    endMigration(transaction, attempt, result.kind === "moved");
    if (result.kind === "moved" && copy !== undefined) {
        attempt.copy = { ...copy, name: result.handle };
    }
    attempt.stoppedHandle = result.kind === "failed" ? undefined : result.handle;
    if (hasNoRun(result) && endAfterStop === "ended") {
        // The run was complete before the request to stop it.
        attempt.isStopRequested = false;
        return handleStreamEnded(transaction, attempt.id);
    }
    // Without room for the rest of the copy the run is stopped all the same.
    if (result.kind === "moved" || hadNoRoom(result) || endAfterStop !== undefined) {
        return continueStoppedRun(transaction, request, attempt, showsNoRun(attempt, result));
    }
    // After a refusal the run goes on; without an answer it may have stopped, which its channel will show.
    attempt.isStopRequested = result.kind === "failed";
    attempt.stopUnansweredAt = result.kind === "failed" ? transaction.now : undefined;
}

function endMigration({ state, now }: Transaction, attempt: Attempt, hasSucceeded: boolean): void {
    const target = attempt.migrationTarget;
    setMigrationTarget(state, attempt, undefined);
    attempt.isStopping = false;
    if (target !== undefined && !hasSucceeded) {
        recordFailedTarget(attempt, target.record.id, now);
    }
}

/** Records that a run could not be migrated to a server, or not be continued there. */
export function recordFailedTarget({ failedTargets }: Attempt, id: BackendServerId, now: Milliseconds): void {
    failedTargets.set(id, now + failedTargetTimeout);
}

/**
 * Handles the end of an answer after its server was asked to stop the run: the stream continues from the copy. An end
 * that may be that of a complete answer waits for the answer to that request while it is due. Returns false if no such
 * request was sent.
 */
export function handleEndAfterStop(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    end: "ended" | "lost",
): boolean {
    if (!attempt.isStopRequested) {
        return false;
    }
    attempt.endAfterStop = end;
    // The rest of the copy may wait for other transfers. Computing it again takes less time.
    if (end === "lost" || !attempt.isStopping) {
        continueStoppedRun(transaction, request, attempt, false);
        migrateStreams(transaction, attempt.server.record.id);
    }
    return true;
}

/**
 * Continues a run that was stopped from its copy, or else from what its server keeps or like one that was lost.
 *
 * @param isCertain whether an answer of its server says that the run was stopped: its channel may have been lost meanwhile
 */
function continueStoppedRun(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    isCertain: boolean,
): void {
    attempt.hasStopped = true;
    if (!isCertain) {
        abandonRun(transaction, request, attempt);
    }
    endAttempt(transaction, request, attempt, attempt.endAfterStop === undefined ? "cancel" : "ended");
    retryOrFail(transaction, request, attempt, "stopped");
}

function logMigrationAnswered(
    transaction: Transaction,
    request: GatewayRequest,
    attempt: Attempt,
    target: BackendServer,
    result: MigrationResult,
): void {
    logDecision(transaction, "info", "move_answered", {
        ...requestFields(transaction, request),
        fromVersion: attempt.server.record.softwareVersion,
        target: target.record.id,
        targetVersion: target.record.softwareVersion,
        ...answerFields(result, attempt.isStopping),
        lastHeardAge: Math.round(transaction.now - attempt.lastActivityAt),
    });
}
