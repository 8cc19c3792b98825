/**
 * Sends requests to backend servers: chooses the server and the replica, and limits how often a request is sent.
 */
import {
    chooseReplicaHost,
    chooseServer,
    hasMemoryForReplicas,
    recordRetry,
    remainingRetries,
} from "@verbenaspring/coordination";
import { identifier, type Milliseconds, type ServiceName } from "@verbenaspring/model";
import { mayStillRunAt, stopAbandonedRuns } from "./abandonedRuns.js";
import { serverChecksOf } from "./answerEnds.js";
import type { BackendServer } from "./backendServers.js";
import { coldShareAt, isCold, spendColdRequest, timeUntilWithinColdRate } from "./coldServers.js";
import { failSuspended, suspensionOf } from "./crashSuspects.js";
import { forecastInStop, isCutByStop, isHeldInStop, retryAfterStop } from "./draining.js";
import type { DecisionFields } from "./effect.js";
import { isEvacuated, isServiceEvacuated } from "./evacuations.js";
import { countKnownInstances } from "./members.js";
import type { RunReplica } from "./messages.js";
import type { ContinuationSource } from "./replicas.js";
import { isLimited, spendRequest, timeUntilWithinLimit } from "./requestLimits.js";
import { failRequest, requestFields } from "./requests.js";
import { holdAfterSuspension } from "./resumption.js";
import { countPossibleRuns, recordSend } from "./runLedger.js";
import {
    addLoad,
    engineOf,
    expectedMemory,
    loadFields,
    otherServers,
    placementView,
    replicaView,
    runMemoryLoad,
    usableServers,
} from "./serverLoad.js";
import { isPaused, pauseLeft } from "./serverPauses.js";
import { returnToSilentAttempt } from "./silentAttempts.js";
import {
    type Attempt,
    endsAt,
    type GatewayRequest,
    type GatewayState,
    type LostRun,
    priorityOf,
    serverEndsAt,
} from "./state.js";
import { startPart } from "./streamParts.js";
import { canContinue, type StreamOrigin } from "./streamVersions.js";
import { logDecision, type Transaction } from "./transaction.js";
import { startOrWait, waitForColdServer } from "./waiting.js";

/** Sends of one request, including those that servers refused. */
const maximumSends = 4;
/** Sends of one stream. The limit is higher, because a stream is sent again each time that its server leaves. */
const maximumStreamSends = 8;
/** A request with less time than this before its deadline is not sent. */
const minimumTimeForSend: Milliseconds = 20;
/** The `retryAfter` where a service has no usable server. */
const noServerRetryAfter: Milliseconds = 500;
/** The `retryAfter` where all servers of a service are evacuated, which lasts for seconds at least. */
const evacuatedRetryAfter: Milliseconds = 1_000;
/** The longest `retryAfter` where servers limit their requests: another gateway may be allowed one sooner. */
const maximumLimitRetryAfter: Milliseconds = 1_000;

/** The server of an attempt, and the replica from which it continues an earlier run. */
export interface Placement {
    readonly server: BackendServer;
    readonly continuesFrom: RunReplica | undefined;
    /** Undefined if it continues no run. */
    readonly replicaEvidence?: ReplicaEvidence;
    /** Undefined if it continues no run. */
    readonly lostRun?: LostRun;
    /** What it is to continue from; undefined if it continues no run. */
    readonly memory?: ContinuationSource;
}

/** Why a replica is taken to exist: its source said that it was moved, or events of the run were received. */
export type ReplicaEvidence = "moved" | "events";

/**
 * Sends a request to the best server, one that it was not sent to before if there is any. Where no engine has enough
 * free memory the request waits, and where there is no server or no time it fails. A request that was sent before does
 * not wait for memory.
 */
export function dispatch(transaction: Transaction, request: GatewayRequest): void {
    const { state, now, source } = transaction;
    if (endsAt(request) - now < minimumTimeForSend) {
        return failRequest(transaction, request, "deadline_exceeded", "the time for the request is over");
    }
    const suspension = suspensionOf(transaction, request);
    if (suspension !== undefined) {
        return failSuspended(transaction, request, suspension);
    }
    if (holdAfterSuspension(state, request) || failIfStopCuts(transaction, request)) {
        return;
    }
    const usable = usableServers(state, request.service, now, request.origin);
    const untried = usable.filter(server => !request.triedServers.has(server.record.id));
    const eligible = untried.length > 0 ? untried : usable;
    if (request.sends === 0 && eligible.length > 0 && engineOf(state, request.service) !== undefined) {
        return startOrWait(transaction, request, eligible);
    }
    const server = chooseServer(eligible, candidate => placementView(state, candidate, now), source.random);
    if (server === undefined) {
        return failWithoutServer(transaction, request);
    }
    sendTo(transaction, request, { server, continuesFrom: undefined });
}

/**
 * Fails a request that has not run if a planned stop would cut it, which may have become so since it was accepted. Returns
 * whether that is the case. Otherwise decides how its stream is passed on.
 */
export function failIfStopCuts(transaction: Transaction, request: GatewayRequest): boolean {
    const { state, now } = transaction;
    const { route, head, arrivedAt: receivedAt, limitDoubt, runs } = request;
    if (countPossibleRuns(runs) > 0) {
        return false;
    }
    const forecast = forecastInStop(state, route, { head, receivedAt, limitDoubt }, now);
    request.isHeldUntilEnd = isHeldInStop(forecast);
    if (!isCutByStop(forecast)) {
        return false;
    }
    failRequest(transaction, request, "leaving", "the instance is stopping", retryAfterStop(state, now));
    return true;
}

/** Fails a request to a service whose servers are all evacuated. Returns whether that is the case. */
export function failIfEvacuated(transaction: Transaction, request: GatewayRequest): boolean {
    const { state, now } = transaction;
    const { service, origin } = request;
    if (!isServiceEvacuated(state, service, origin) || usableServers(state, service, now, origin).length > 0) {
        return false;
    }
    const message = "the failure domains of the service's servers are evacuated";
    failRequest(transaction, request, "no_backend_server", message, evacuatedRetryAfter);
    return true;
}

function failWithoutServer(transaction: Transaction, request: GatewayRequest): void {
    // The last server may have become unusable while the request was held.
    if (returnToSilentAttempt(transaction, request) || failIfEvacuated(transaction, request)) {
        return;
    }
    const isFirstSend = request.sends === 0 && engineOf(transaction.state, request.service) !== undefined;
    if (isFirstSend && waitForColdServer(transaction, request, timeUntilColdServer(transaction, request))) {
        return;
    }
    const retryAfter = timeUntilUsable(transaction, request);
    if (retryAfter === undefined) {
        return failRequest(transaction, request, "no_backend_server", "the service has no server", noServerRetryAfter);
    }
    failRequest(transaction, request, "overloaded", "the servers of the service accept no request now", retryAfter);
}

/**
 * The time until a server accepts a request again; undefined unless servers that could run it and neither leave nor are
 * evacuated declare limits or pauses, or are cold.
 */
export function timeUntilUsable(
    { state, now }: Transaction,
    { service, origin }: GatewayRequest,
): Milliseconds | undefined {
    const waits = stayingServers(state, service, origin)
        .filter(server =>
            isLimited(state, server.record.id) || isPaused(state, server.record.id, now)
            || isCold(state, server, now)
        )
        .map(server => {
            const { id } = server.record;
            const rateWait = Math.max(
                timeUntilWithinLimit(state, id, now),
                timeUntilWithinColdRate(state, server, now),
            );
            return Math.max(Math.min(rateWait, maximumLimitRetryAfter), pauseLeft(state, id, now));
        });
    return waits.length === 0 ? undefined : Math.min(...waits);
}

/** The servers that could run a request and neither leave nor are evacuated. */
function stayingServers(
    state: GatewayState,
    service: ServiceName,
    origin: StreamOrigin | undefined,
): readonly BackendServer[] {
    return (state.serversByService.get(service) ?? [])
        .flatMap(id => state.servers.get(id) ?? [])
        .filter(({ record, leavingSince }) =>
            leavingSince === undefined && canContinue(record, origin) && !isEvacuated(state, record)
        );
}

/**
 * The time until this gateway may send a request to a cold server, after those that wait here for the same service;
 * infinite if it has no share of any.
 */
function timeUntilColdServer({ state, now }: Transaction, { service, origin }: GatewayRequest): Milliseconds {
    const cold = stayingServers(state, service, origin)
        .filter(server => isCold(state, server, now) && !isPaused(state, server.record.id, now));
    const waits = cold.map(server =>
        Math.max(timeUntilWithinLimit(state, server.record.id, now), timeUntilWithinColdRate(state, server, now))
    );
    const perSecond = cold.reduce((sum, server) => sum + coldShareAt(state, server), 0);
    const ahead = [...state.waiting.values()].filter(other => other.service === service).length;
    return Math.min(Infinity, ...waits) + (ahead === 0 ? 0 : 1_000 * ahead / perSecond);
}

/** Sends a request to the given server, and counts the attempt in the loads and the retry budget. */
export function sendTo(transaction: Transaction, request: GatewayRequest, placement: Placement): void {
    const { state, now, source, effects } = transaction;
    const { server, continuesFrom, replicaEvidence, lostRun } = placement;
    const { head, route, organisation } = request;
    if (request.sends > 0) {
        recordRetry(state.retryBudget, request.service, now);
    }
    const replica = chooseReplica(transaction, request, server);
    const attempt: Attempt = {
        id: identifier(source.newIdentifier()),
        server,
        serverChecks: serverChecksOf(state, request.service),
        startedAt: now,
        replica,
        continuesFrom,
        lostRun,
        head: undefined,
        firstEventAt: undefined,
        events: 0,
        lastEvent: undefined,
        part: startPart(request, placement.memory),
        memoryTokens: expectedMemory(request),
        waitingTokens: continuesFrom === undefined ? head.promptTokens : 0,
        promptBacklog: head.promptTokens + placementView(state, server, now).waitingTokens,
        migrationTarget: undefined,
        migrationStartedAt: undefined,
        copy: undefined,
        stoppedHandle: undefined,
        hasStopped: false,
        isStopRequested: false,
        isStopping: false,
        stopUnansweredAt: undefined,
        endAfterStop: undefined,
        endCheck: undefined,
        failedTargets: new Map(lostRun?.attempt.failedTargets),
        loggedObstacle: undefined,
        lastActivityAt: now,
        producingTime: 0,
        returnedAt: undefined,
    };
    request.attempt = attempt;
    request.sends++;
    recordSend(request.runs, attempt.id, replicaEvidence !== undefined);
    if (request.sends > 1) {
        logRepeatedSend(transaction, request, placement);
    }
    request.triedServers.add(server.record.id);
    state.attempts.set(attempt.id, request);
    spendRequest(state, server.record.id, now);
    spendColdRequest(state, server.record.id, now);
    logDecision(transaction, "debug", "attempt_sent", {
        ...requestFields(transaction, request),
        softwareVersion: server.record.softwareVersion,
        replica: replica?.record.id,
        replicaVersion: replica?.record.softwareVersion,
        copy: continuesFrom?.name,
        ...loadFields(state, server, now),
    });
    logSendToLeaving(transaction, request);
    addLoad(state, attempt);
    effects.push({
        kind: "sendAttempt",
        requestId: request.id,
        call: {
            attemptId: attempt.id,
            backendServer: server.record.id,
            address: server.record.address,
            head,
            timeLeft: Math.max(1, Math.floor(serverEndsAt(request) - now)),
            organisation: organisation?.id,
            priority: engineOf(state, request.service) === undefined
                ? undefined
                : priorityOf(request),
            replicaAddress: replica?.record.address,
            lastEvent: request.lastEvent,
            continuesFrom,
            needsFreshChannel: !route.isIdempotent && !route.canResume,
        },
    });
    stopAbandonedRuns(transaction, request);
}

/** Warns where a request is sent to a server that leaves by what is known now. */
function logSendToLeaving(transaction: Transaction, request: GatewayRequest): void {
    const { state, now } = transaction;
    const server = state.servers.get(request.attempt?.server.record.id ?? identifier(""));
    if (server?.leavingSince === undefined) {
        return;
    }
    logDecision(transaction, "warn", "sent_to_leaving_server", {
        ...requestFields(transaction, request),
        leavingFor: Math.round(now - server.leavingSince),
        acknowledgedFor: Math.round(now - (server.leavingNotBefore ?? server.leavingSince)),
        isRemoved: server.removedAt !== undefined,
    });
}

/** Logs why a request is sent again, and warns where it may run twice though it may run only once. */
function logRepeatedSend(
    transaction: Transaction,
    request: GatewayRequest,
    { continuesFrom, replicaEvidence }: Placement,
): void {
    const { isIdempotent, canResume } = request.route;
    const mayRunTwice = countPossibleRuns(request.runs) > 1 && !isIdempotent && !canResume;
    logDecision(
        transaction,
        mayRunTwice ? "warn" : "info",
        mayRunTwice ? "second_run_possible" : "request_sent_again",
        {
            ...requestFields(transaction, request),
            source: continuesFrom?.source,
            replicaEvidence,
        },
    );
}

/** Chooses the engine that holds the replica of a stream that may not run twice, if one has enough free memory. */
function chooseReplica(
    { state, now, source }: Transaction,
    request: GatewayRequest,
    server: BackendServer,
): BackendServer | undefined {
    const engine = engineOf(state, request.service);
    if (engine === undefined || !engine.canReplicate || !request.route.isStream || request.route.canResume) {
        return undefined;
    }
    if (!hasMemoryForReplicas(runMemoryLoad(state, request.service, now))) {
        return undefined;
    }
    const others = otherServers(state, server, now).filter(({ record }) => !mayStillRunAt(state, request, record.id));
    const share = expectedMemory(request) / engine.memoryTokens;
    return chooseReplicaHost(others, other => replicaView(state, other, server, now), share, source.random);
}

/** Whether the request may be sent again and a server accepts it. */
export function canDispatchAgain(transaction: Transaction, request: GatewayRequest): boolean {
    return canSendAgain(transaction, request)
        && usableServers(transaction.state, request.service, transaction.now, request.origin).length > 0;
}

/**
 * Whether the deadline, the number of sends and the retry budget allow another send. Retries that other streams need to
 * continue, whose runs are being stopped for that, are left to them.
 *
 * @param reserved retries that must remain beside these and this one
 */
export function canSendAgain(transaction: Transaction, request: GatewayRequest, reserved = 0): boolean {
    return sendObstacle(transaction, request, reserved) === undefined;
}

/** Why a request may not be sent again. */
export type SendObstacle = "sends" | "time" | "retries";

/**
 * Why a request may not be sent again; undefined if it may.
 *
 * @param reserved as in {@link canSendAgain}
 */
export function sendObstacle(
    transaction: Transaction,
    request: GatewayRequest,
    reserved = 0,
): SendObstacle | undefined {
    const { state, now } = transaction;
    if (sendsLeft(request) < 1) {
        return "sends";
    }
    if (endsAt(request) - now < minimumTimeForSend) {
        return "time";
    }
    const needed = 1 + reserved + countStoppingRuns(state, request);
    return retriesLeft(transaction, request) < needed ? "retries" : undefined;
}

function sendsLeft({ route, sends }: GatewayRequest): number {
    return (route.isStream ? maximumStreamSends : maximumSends) - sends;
}

function retriesLeft({ state, now }: Transaction, { service }: GatewayRequest): number {
    const share = { instances: countKnownInstances(state), uptime: now - (state.startedAt ?? now) };
    return remainingRetries(state.retryBudget, service, share, now);
}

/** The log fields that tell whether another send of a request was allowed. */
export function sendFields(transaction: Transaction, request: GatewayRequest): DecisionFields {
    const { state, now } = transaction;
    return {
        sendsLeft: sendsLeft(request),
        retriesLeft: Math.round(100 * retriesLeft(transaction, request)) / 100,
        stoppingRuns: countStoppingRuns(state, request),
        uptime: Math.round(now - (state.startedAt ?? now)),
    };
}

/** The runs of other requests to the same service that their servers were asked to stop. */
function countStoppingRuns({ attempts }: GatewayState, request: GatewayRequest): number {
    return [...attempts.values()].filter(other =>
        other !== request && other.service === request.service && other.attempt?.isStopRequested === true
    ).length;
}
