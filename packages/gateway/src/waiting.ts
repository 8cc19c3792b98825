/**
 * Requests that wait for room at an engine. They start in order of urgency and fairness, and are refused as soon as room
 * is forecast too late for them.
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
import { liveInstances } from "./peers.js";
import { describe, failRequest } from "./requests.js";
import { dispatch } from "./sending.js";
import { engineOf, expectedMemory, memoryLoad, requestsAt, usableServers } from "./serverLoad.js";
import type { GatewayRequest } from "./state.js";
import { record, type Transaction } from "./transaction.js";

interface WaitingRequest extends WaitingView {
    readonly request: GatewayRequest;
}

/** A refused caller that came back sooner would only be refused again. */
const shortestReturn: Milliseconds = 300;

/** Whether the server has room for the request beside what all gateways have at work there. */
export function hasRoom({ state, now }: Transaction, server: BackendServer, request: GatewayRequest): boolean {
    const engine = engineOf(state, server.record.service);
    if (engine === undefined) {
        return true;
    }
    const load = memoryLoad(state, server, now);
    const limit = admissionLimits[workKindOf(request)];
    return load === 0 || load + expectedMemory(request) / engine.memoryTokens <= limit;
}

/** Lets a request wait for room, or refuses it at once where room is forecast too late. */
export function waitForRoom(transaction: Transaction, request: GatewayRequest): void {
    const { state, now } = transaction;
    const expected = expectedWait(transaction, request);
    const latest = latestStart(request.arrivedAt, request.route.targetLatency);
    if (now + expected > latest) {
        return refuse(transaction, request, expected);
    }
    record(transaction, "debug", "request_waits", { ...describe(transaction, request), expected });
    state.waiting.set(request.id, request);
}

/** Starts requests for which there is room now, and refuses those that can't start on time any more. */
export function tendWaiting(transaction: Transaction): void {
    const { state, now } = transaction;
    for (let next = chooseWaiting(transaction); next !== undefined; next = chooseWaiting(transaction)) {
        state.waiting.delete(next.request.id);
        dispatch(transaction, next.request);
    }
    for (const request of [...state.waiting.values()]) {
        if (now >= latestStart(request.arrivedAt, request.route.targetLatency)) {
            state.waiting.delete(request.id);
            refuse(transaction, request, expectedWait(transaction, request));
        }
    }
}

function chooseWaiting(transaction: Transaction): WaitingRequest | undefined {
    const { state, now } = transaction;
    if (state.waiting.size === 0) {
        return undefined;
    }
    const fits = ({ request }: WaitingRequest): boolean =>
        usableServers(state, request.service, now).some(server => hasRoom(transaction, server, request));
    const queue = [...state.waiting.values()].map(toView);
    return chooseNext({ queue, shares: heldShares(transaction), order: fairShortFirst, fits, shortShare: 0 });
}

function toView(request: GatewayRequest): WaitingRequest {
    return {
        request,
        organisation: organisationOf(request),
        workKind: workKindOf(request),
        weight: 1,
        arrivedAt: request.arrivedAt,
    };
}

/** Requests without an organisation share one place in the order. */
function organisationOf({ organisation }: GatewayRequest): OrganisationId {
    return organisation?.id ?? identifier<OrganisationId>("");
}

function heldShares({ state }: Transaction): OrganisationShares {
    const shares = new Map<OrganisationId, number>();
    for (const request of state.requests.values()) {
        if (request.attempt !== undefined && request.route.isStream) {
            const id = organisationOf(request);
            shares.set(id, (shares.get(id) ?? 0) + 1);
        }
    }
    return shares;
}

/** Streams that may be resumed are answered in a few events; the others are the long ones. */
function workKindOf({ route }: GatewayRequest): "short" | "long" {
    return route.canResume ? "short" : "long";
}

function expectedWait({ state, now }: Transaction, { service }: GatewayRequest): Milliseconds {
    const inProgress = usableServers(state, service, now)
        .reduce((sum, { record: { id } }) => sum + requestsAt(state, id, now), 0);
    const ahead = state.waiting.size * liveInstances(state, now);
    return forecastCapacityWait({ ahead, inProgress, meanDuration: state.streamDuration });
}

function refuse(transaction: Transaction, request: GatewayRequest, expected: Milliseconds): void {
    const returnAfter = Math.max(shortestReturn, expected);
    failRequest(transaction, request, "overloaded", "no engine has room for the request", returnAfter);
}
