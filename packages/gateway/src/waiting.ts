/**
 * Requests that wait for free memory at an engine. Short work starts before long work, fairly between organisations. A
 * request is refused as soon as memory is forecast to become free too late for it.
 */
import {
    admissionLimits,
    chooseNext,
    fairShortFirst,
    forecastCapacityWait,
    latestStart,
    type OrganisationShares,
    type WaitingView,
} from "@verbenaspring/coordination";
import { identifier, type Milliseconds, type OrganisationId } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import { countLiveInstances } from "./peers.js";
import { failRequest, requestFields } from "./requests.js";
import { dispatch } from "./sending.js";
import { engineOf, expectedMemory, memoryLoad, requestsInProgressAt, usableServers } from "./serverLoad.js";
import type { GatewayRequest } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

interface WaitingRequest extends WaitingView {
    readonly request: GatewayRequest;
}

/** A caller that repeated its request sooner would only be refused again. */
const minimumRetryAfter: Milliseconds = 300;

/**
 * Whether the server has free memory for the request beside the runs and replicas of all gateways. An idle engine
 * accepts any request, since waiting would not free more memory.
 */
export function hasFreeMemory({ state, now }: Transaction, server: BackendServer, request: GatewayRequest): boolean {
    const engine = engineOf(state, server.record.service);
    if (engine === undefined) {
        return true;
    }
    const load = memoryLoad(state, server, now);
    const limit = admissionLimits[workKindOf(request)];
    return load === 0 || load + expectedMemory(request) / engine.memoryTokens <= limit;
}

/** Queues a request until memory is free, or refuses it at once if that is forecast too late for its target latency. */
export function waitForCapacity(transaction: Transaction, request: GatewayRequest): void {
    const { state, now } = transaction;
    const expected = expectedWait(transaction, request);
    const latest = latestStart(request.arrivedAt, request.route.targetLatency);
    if (now + expected > latest) {
        return refuseOverloaded(transaction, request, expected);
    }
    logDecision(transaction, "debug", "request_waits", { ...requestFields(transaction, request), expected });
    state.waiting.set(request.id, request);
}

/** Starts the waiting requests that fit now, and refuses those that can't start on time any more. */
export function checkWaitingRequests(transaction: Transaction): void {
    const { state, now } = transaction;
    for (let next = chooseNextWaiting(transaction); next !== undefined; next = chooseNextWaiting(transaction)) {
        state.waiting.delete(next.request.id);
        dispatch(transaction, next.request);
    }
    for (const request of [...state.waiting.values()]) {
        if (now >= latestStart(request.arrivedAt, request.route.targetLatency)) {
            state.waiting.delete(request.id);
            refuseOverloaded(transaction, request, expectedWait(transaction, request));
        }
    }
}

function chooseNextWaiting(transaction: Transaction): WaitingRequest | undefined {
    const { state, now } = transaction;
    if (state.waiting.size === 0) {
        return undefined;
    }
    const fits = ({ request }: WaitingRequest): boolean =>
        usableServers(state, request.service, now).some(server => hasFreeMemory(transaction, server, request));
    const queue = [...state.waiting.values()].map(toWaitingRequest);
    return chooseNext({ queue, shares: runningShares(transaction), order: fairShortFirst, fits, shortShare: 0 });
}

function toWaitingRequest(request: GatewayRequest): WaitingRequest {
    return {
        request,
        organisation: organisationOf(request),
        workKind: workKindOf(request),
        weight: 1,
        arrivedAt: request.arrivedAt,
    };
}

/** Requests without an organisation are ordered as if they belonged to one organisation. */
function organisationOf({ organisation }: GatewayRequest): OrganisationId {
    return organisation?.id ?? identifier<OrganisationId>("");
}

function runningShares({ state }: Transaction): OrganisationShares {
    const shares = new Map<OrganisationId, number>();
    for (const request of state.requests.values()) {
        if (request.attempt !== undefined && request.route.isStream) {
            const id = organisationOf(request);
            shares.set(id, (shares.get(id) ?? 0) + 1);
        }
    }
    return shares;
}

/** Streams that can be resumed have only a few events; the others are long. */
function workKindOf({ route }: GatewayRequest): "short" | "long" {
    return route.canResume ? "short" : "long";
}

function expectedWait({ state, now }: Transaction, { service }: GatewayRequest): Milliseconds {
    const inProgress = usableServers(state, service, now)
        .reduce((sum, { record: { id } }) => sum + requestsInProgressAt(state, id, now), 0);
    const ahead = state.waiting.size * countLiveInstances(state, now);
    return forecastCapacityWait({ ahead, inProgress, meanDuration: state.meanStreamDuration });
}

function refuseOverloaded(transaction: Transaction, request: GatewayRequest, expected: Milliseconds): void {
    const retryAfter = Math.max(minimumRetryAfter, expected);
    failRequest(transaction, request, "overloaded", "no engine has room for the request", retryAfter);
}
