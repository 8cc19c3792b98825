/**
 * Requests that wait for capacity at an engine. While requests wait at any gateway, each gateway starts its own at a rate
 * that the free capacity allows, the most urgent first and fairly between organisations; while capacity is short, requests
 * of a kind start only while the largest of them could. A request is refused as soon as it is forecast to start too late.
 */
import {
    admissionLimits,
    chooseServer,
    type EngineRoom,
    forecastCapacityWait,
    forecastFirstEvent,
    isCapacityShort,
    largestSize,
    latestStart,
    measureRoom,
    type OrganisationShares,
    type RecentSizes,
    recordSize,
    type RequestSize,
    startProbability,
    startRank,
    type WaitingRequestView,
} from "@verbenaspring/coordination";
import { identifier, type Milliseconds, type OrganisationId } from "@verbenaspring/model";
import type { BackendServer } from "./backendServers.js";
import { hasColdServer } from "./coldServers.js";
import type { DecisionFields } from "./effect.js";
import { countWaitingRequests } from "./members.js";
import { failRequest, requestFields } from "./requests.js";
import { highestPriority } from "./routingConfiguration.js";
import { failIfEvacuated, failIfStopCuts, sendTo, timeUntilUsable } from "./sending.js";
import {
    capacityUse,
    engineOf,
    expectedMemory,
    placementView,
    requestsInProgressAt,
    usableServers,
} from "./serverLoad.js";
import { type GatewayRequest, type GatewayState, priorityOf } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** A caller that repeated its request sooner would only be refused again. */
const minimumRetryAfter: Milliseconds = 300;

/** An engine, and for how many requests of one size it has room. */
interface MeasuredEngine {
    readonly server: BackendServer;
    readonly room: EngineRoom;
}

/**
 * Sends a request to an engine that has room for it. If no engine has, or others wait and capacity does not suffice for
 * all, the request waits or is refused.
 */
export function startOrWait(
    transaction: Transaction,
    request: GatewayRequest,
    servers: readonly BackendServer[],
): void {
    recordSize(recentSizesOf(transaction.state, request), sizeOf(request));
    if (!start(transaction, request, servers, countWaitingRequests(transaction.state, transaction.now))) {
        waitForCapacity(transaction, request);
    }
}

/**
 * Starts the waiting requests for which there is room, and refuses those that can't start on time any more or whose
 * servers are all evacuated, or which a planned stop would cut by now. After a suspension of the process they wait like
 * those that it holds.
 */
export function checkWaitingRequests(transaction: Transaction): void {
    const { state, now } = transaction;
    if (state.resumption !== undefined) {
        return;
    }
    const shares = runningShares(state);
    const rank = (request: GatewayRequest): number => startRank(toWaitingView(request), shares);
    const inOrder = [...state.waiting.values()].sort((one, other) => rank(one) - rank(other));
    for (const request of inOrder) {
        if (failIfEvacuated(transaction, request) || failIfStopCuts(transaction, request)) {
            continue;
        }
        const others = countWaitingRequests(state, now) - 1;
        const servers = usableServers(state, request.service, now, request.origin);
        const unusableFor = servers.length === 0 ? timeUntilUsable(transaction, request) ?? 0 : 0;
        if (start(transaction, request, servers, others)) {
            state.waiting.delete(request.id);
        }
        else if (now + unusableFor >= latestWaitingStart(state, request, servers.length === 0, now)) {
            state.waiting.delete(request.id);
            refuseOverloaded(transaction, request, Math.max(unusableFor, expectedWait(transaction, request)));
        }
    }
}

/**
 * Sends the request if an engine has room for it. While others wait, the gateways share the room at random: they learn
 * of each other's placements too late to take turns. Returns whether the request was sent.
 *
 * @param others the requests of all gateways that wait beside this one
 */
function start(
    transaction: Transaction,
    request: GatewayRequest,
    servers: readonly BackendServer[],
    others: number,
): boolean {
    const { state, now, source: { random } } = transaction;
    const engines = measureEngines(transaction, request, sizeOf(request), servers);
    const room = engines.reduce((sum, engine) => sum + countRequests(engine), 0);
    if (room === 0 || !hasRoomForLargest(transaction, request, servers) || random() >= startProbability(room, others)) {
        return false;
    }
    const candidates = engines.filter(engine => countRequests(engine) > 0).map(({ server }) => server);
    const server = others === 0
        ? chooseServer(candidates, candidate => placementView(state, candidate, now), random)
        : candidates[Math.floor(random() * candidates.length)];
    if (server === undefined) {
        return false;
    }
    sendTo(transaction, request, { server, continuesFrom: undefined });
    return true;
}

/** Whether an engine has room for the largest requests of the kind, or capacity is not short. */
function hasRoomForLargest(
    transaction: Transaction,
    request: GatewayRequest,
    servers: readonly BackendServer[],
): boolean {
    const { state, now } = transaction;
    if (!isCapacityShort(capacityUse(state, request.service, now))) {
        return true;
    }
    const largest = largestSize(recentSizesOf(state, request), sizeOf(request));
    return measureEngines(transaction, request, largest, servers).some(engine => countRequests(engine) > 0);
}

function sizeOf(request: GatewayRequest): RequestSize {
    return { promptTokens: request.head.promptTokens, memoryTokens: expectedMemory(request) };
}

/** The recent sizes of requests to the same service whose routes have the same priority. */
function recentSizesOf({ recentSizes }: GatewayState, { service, route }: GatewayRequest): RecentSizes {
    const ofService = recentSizes.get(service) ?? new Map<number, RecentSizes>();
    recentSizes.set(service, ofService);
    const recent = ofService.get(route.priority) ?? { sizes: [] };
    ofService.set(route.priority, recent);
    return recent;
}

/** Measures the room of engines for requests like the given one that have the given size. */
function measureEngines(
    { state, now }: Transaction,
    request: GatewayRequest,
    { promptTokens, memoryTokens }: RequestSize,
    servers: readonly BackendServer[],
): MeasuredEngine[] {
    const engineMemory = engineOf(state, request.service)?.memoryTokens ?? 1;
    const limit = isMostUrgent(state, request) ? admissionLimits.mostUrgent : admissionLimits.others;
    const timeLeft = request.arrivedAt + request.route.targetLatency - now;
    return servers.map(server => {
        const { memoryLoad, waitingTokens } = placementView(state, server, now);
        const room = measureRoom({
            memoryLoad,
            memoryLimit: limit,
            memoryShare: memoryTokens / engineMemory,
            waitingTokens,
            promptTokens,
            prefillRate: state.prefillRate,
            timeLeft,
        });
        return { server, room };
    });
}

function countRequests({ room: { byMemory, byTime } }: MeasuredEngine): number {
    return Math.min(byMemory, byTime);
}

/** Queues a request until there is room, or refuses it at once if that is forecast too late for its target latency. */
function waitForCapacity(transaction: Transaction, request: GatewayRequest): void {
    const { state, now } = transaction;
    const expected = expectedWait(transaction, request);
    if (now + expected > latestStartOf(state, request)) {
        return refuseOverloaded(transaction, request, expected);
    }
    logDecision(transaction, "debug", "request_waits", { ...requestFields(transaction, request), expected });
    state.waiting.set(request.id, request);
}

/**
 * Queues a request to engines while no server accepts it, if a cold one will accept it in time for the target latency.
 * Returns whether the request waits.
 *
 * @param expected the time until a cold server accepts a request of this gateway
 */
export function waitForColdServer(
    transaction: Transaction,
    request: GatewayRequest,
    expected: Milliseconds,
): boolean {
    const { state, now } = transaction;
    if (now + expected >= latestColdStartOf(state, request)) {
        return false;
    }
    recordSize(recentSizesOf(state, request), sizeOf(request));
    logDecision(transaction, "debug", "request_waits", { ...requestFields(transaction, request), expected });
    state.waiting.set(request.id, request);
    return true;
}

function latestStartOf({ prefillRate }: GatewayState, { arrivedAt, route, head }: GatewayRequest): Milliseconds {
    const firstEvent = forecastFirstEvent({ waitingTokens: 0, promptTokens: head.promptTokens, prefillRate });
    return latestStart(arrivedAt, route.targetLatency, firstEvent);
}

/** The latest start of a request that waits, by whether no server accepts it now. */
function latestWaitingStart(
    state: GatewayState,
    request: GatewayRequest,
    isUnusable: boolean,
    now: Milliseconds,
): Milliseconds {
    const waitsForCold = isUnusable && hasColdServer(state, request.service, now);
    return waitsForCold ? latestColdStartOf(state, request) : latestStartOf(state, request);
}

/**
 * The latest start of a request that waits for a cold server. It may be later than for capacity: the time at
 * which one accepts requests is known, not forecast.
 */
function latestColdStartOf({ prefillRate }: GatewayState, { arrivedAt, route, head }: GatewayRequest): Milliseconds {
    const firstEvent = forecastFirstEvent({ waitingTokens: 0, promptTokens: head.promptTokens, prefillRate });
    return arrivedAt + Math.max(0, route.targetLatency - firstEvent);
}

/** Whether no route to the service has a higher priority than the request. */
function isMostUrgent({ configuration }: GatewayState, request: GatewayRequest): boolean {
    const highest = configuration === undefined ? undefined : highestPriority(configuration, request.service);
    return highest === undefined || priorityOf(request) <= highest;
}

function toWaitingView(request: GatewayRequest): WaitingRequestView {
    return { organisation: organisationOf(request), priority: priorityOf(request), arrivedAt: request.arrivedAt };
}

/** Requests without an organisation are ordered as if they belonged to one organisation. */
function organisationOf({ organisation }: GatewayRequest): OrganisationId {
    return organisation?.id ?? identifier<OrganisationId>("");
}

function runningShares({ requests }: GatewayState): OrganisationShares {
    const shares = new Map<OrganisationId, number>();
    for (const request of requests.values()) {
        if (request.attempt !== undefined && request.route.isStream) {
            const id = organisationOf(request);
            shares.set(id, (shares.get(id) ?? 0) + 1);
        }
    }
    return shares;
}

function expectedWait({ state, now }: Transaction, { service }: GatewayRequest): Milliseconds {
    const inProgress = usableServers(state, service, now)
        .reduce((sum, { record: { id } }) => sum + requestsInProgressAt(state, id, now), 0);
    const ahead = countWaitingRequests(state, now);
    return forecastCapacityWait({ ahead, inProgress, meanDuration: state.meanStreamDuration });
}

function refuseOverloaded(transaction: Transaction, request: GatewayRequest, expected: Milliseconds): void {
    logDecision(transaction, "info", "room_lacking", {
        ...requestFields(transaction, request),
        ...roomFields(transaction, request),
    });
    const retryAfter = Math.max(minimumRetryAfter, expected);
    failRequest(transaction, request, "overloaded", "no engine has room for the request", retryAfter);
}

/** The log fields that tell whether memory, waiting prompts or requests of others were in the way of a request. */
function roomFields(transaction: Transaction, request: GatewayRequest): DecisionFields {
    const { state, now } = transaction;
    const servers = usableServers(state, request.service, now, request.origin);
    const engines = measureEngines(transaction, request, sizeOf(request), servers);
    const largest = largestSize(recentSizesOf(state, request), sizeOf(request));
    const forLargest = measureEngines(transaction, request, largest, servers);
    return {
        engines: engines.length,
        withMemory: engines.filter(({ room }) => room.byMemory > 0).length,
        withTime: engines.filter(({ room }) => room.byTime > 0).length,
        withRoom: engines.filter(engine => countRequests(engine) > 0).length,
        largestPrompt: largest.promptTokens,
        withRoomForLargest: forLargest.filter(engine => countRequests(engine) > 0).length,
        waitingRequests: countWaitingRequests(state, now),
    };
}
