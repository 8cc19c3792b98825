/**
 * Sends requests to backend servers: which one, whether it has room, and whether another send is allowed.
 */
import { chooseReplicaHost, chooseServer, recordRetry, remainingRetries } from "@verbenaspring/coordination";
import { identifier, type Milliseconds } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import type { RunCopy } from "./messages.js";
import { knownInstances } from "./peers.js";
import { describe, failRequest } from "./requests.js";
import {
    addLoad,
    copyView,
    engineOf,
    expectedMemory,
    otherServers,
    placementView,
    usableServers,
} from "./serverLoad.js";
import type { Attempt, GatewayRequest } from "./state.js";
import { record, type Transaction } from "./transaction.js";
import { hasRoom, waitForRoom } from "./waiting.js";

/** Sends of one request at most, counting those that servers refused. */
const mostSends = 4;
/** The same for streams, which go on elsewhere each time that their server leaves. */
const mostStreamSends = 8;
/** With less time than this left a request is not sent again. */
const leastTimeForSend: Milliseconds = 20;
/** When to come back where a service has no server in use. */
const noServerReturn: Milliseconds = 500;

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
        recordRetry(state.retryBudget, request.service, now);
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
        refusedTargets: new Set(),
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
    { state, now, source }: Transaction,
    request: GatewayRequest,
    server: BackendServer,
): BackendServer | undefined {
    const engine = engineOf(state, request.service);
    if (engine === undefined || !engine.canReplicate || !request.route.isStream || request.route.canResume) {
        return undefined;
    }
    const others = otherServers(state, server, now);
    const share = expectedMemory(request) / engine.memoryTokens;
    return chooseReplicaHost(others, other => copyView(state, other, server, now), share, source.random);
}

/** Whether time, sends and the retry budget allow another send. */
export function canSendAgain({ state, now }: Transaction, request: GatewayRequest): boolean {
    const share = { instances: knownInstances(state), uptime: now - (state.startedAt ?? now) };
    return request.sends < (request.route.isStream ? mostStreamSends : mostSends)
        && request.finishBy - now >= leastTimeForSend
        && remainingRetries(state.retryBudget, request.service, share, now) >= 1;
}
