/**
 * Takes requests, finds their route and organisation, and gives each its one final answer.
 */
import { jitterRetryAfter, type Random, recordRequest } from "@verbenaspring/coordination";
import {
    failure,
    type FailureType,
    type Milliseconds,
    type RequestId,
    type RunOutcome,
    type ServiceName,
} from "@verbenaspring/model";
import { endAttempt } from "./attempts.js";
import { cannotFinishBeforeStop, returnAfterStop } from "./draining.js";
import type { GatewayEvent } from "./event.js";
import { findRoute, type Organisation, type Route, type RoutingConfiguration } from "./routingConfiguration.js";
import { dispatch } from "./sending.js";
import type { GatewayRequest } from "./state.js";
import { record, type Transaction } from "./transaction.js";

type RequestReceived = Extract<GatewayEvent, { readonly kind: "requestReceived"; }>;

/** When to come back where the gateway has not read its configuration yet. */
const startingReturn: Milliseconds = 300;
/** Callers of plain services have a second or two in all; a longer return would come too late for them. */
const shortestReturn: Milliseconds = 20;

/** Takes a caller's request, with its body read. */
export function takeRequest(transaction: Transaction, event: RequestReceived): void {
    const { configuration } = transaction.state;
    const { requestId, head } = event;
    if (configuration === undefined) {
        return refuse(transaction, event, "configuration_unavailable", startingReturn);
    }
    const path = head.target.split("?", 1)[0];
    const route = findRoute(configuration, head.host, path);
    if (route === undefined) {
        return refuse(transaction, event, "route_not_found");
    }
    const organisation = findOrganisation(configuration, route, event);
    if (organisation === "unknown") {
        return refuse(transaction, event, "unauthenticated");
    }
    const { now, state, source } = transaction;
    if (cannotFinishBeforeStop(state, route, head, now)) {
        return refuse(transaction, event, "leaving", returnAfterStop(state, now));
    }
    const timeLimit = Math.min(head.timeLimit ?? Infinity, route.timeout);
    const request: GatewayRequest = {
        id: requestId,
        head,
        route,
        service: chooseService(route, source.random),
        organisation,
        arrivedAt: event.receivedAt,
        finishBy: event.receivedAt + timeLimit,
        attempt: undefined,
        sends: 0,
        possibleRuns: 0,
        triedServers: new Set(),
        lastEvent: route.canResume ? head.lastEvent : undefined,
        isHeadWritten: false,
    };
    state.requests.set(requestId, request);
    recordRequest(state.retryBudget, request.service, now);
    dispatch(transaction, request);
}

function findOrganisation(
    { organisations }: RoutingConfiguration,
    route: Route,
    { head }: RequestReceived,
): Organisation | undefined | "unknown" {
    if (organisations.size === 0 || route.isPublic) {
        return undefined;
    }
    const found = head.apiKey === undefined ? undefined : organisations.get(head.apiKey);
    return found ?? "unknown";
}

function chooseService({ targets }: Route, random: Random): ServiceName {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let left = random() * total;
    const chosen = targets.find(target => (left -= target.weight) < 0);
    return (chosen ?? targets[targets.length - 1]).service;
}

/** Refuses a request that was never taken. */
function refuse(
    transaction: Transaction,
    { requestId, head }: RequestReceived,
    type: FailureType,
    returnAfter?: Milliseconds,
): void {
    record(transaction, "warn", "request_refused", {
        request: head.callerAttemptId,
        reason: type,
        host: head.host,
        configurationVersion: transaction.state.configuration?.version,
    });
    const retryAfter = returnAfter === undefined
        ? undefined
        : jitterRetryAfter(returnAfter, transaction.source.random, shortestReturn);
    const refusal = failure(type, refusalMessages[type] ?? type, "not_run", retryAfter);
    transaction.effects.push({ kind: "answerFailure", requestId, failure: refusal });
}

const refusalMessages: Partial<Record<FailureType, string>> = {
    configuration_unavailable: "this instance has not read its configuration yet",
    route_not_found: "no route matches the host and path",
    leaving: "the instance is stopping",
    unauthenticated: "the key is unknown",
};

/** Ends a request with a failure: as an answer where nothing was written yet, else by closing the channel. */
export function failRequest(
    transaction: Transaction,
    request: GatewayRequest,
    type: FailureType,
    message: string,
    returnAfter?: Milliseconds,
): void {
    const { effects, source } = transaction;
    const outcome: RunOutcome = request.possibleRuns === 0 ? "not_run" : "outcome_unknown";
    record(transaction, "warn", "request_failed", { ...describe(transaction, request), reason: type, outcome });
    finish(transaction, request);
    if (request.isHeadWritten) {
        effects.push({ kind: "answerCut", requestId: request.id });
        return;
    }
    const retryAfter = returnAfter === undefined
        ? undefined
        : jitterRetryAfter(returnAfter, source.random, shortestReturn);
    effects.push({
        kind: "answerFailure",
        requestId: request.id,
        failure: failure(type, message, outcome, retryAfter),
    });
}

/** Forgets a request whose final answer was given, and ends its attempt. */
export function finish(transaction: Transaction, request: GatewayRequest): void {
    if (request.attempt !== undefined) {
        endAttempt(transaction, request, request.attempt, "cancel");
    }
    transaction.state.requests.delete(request.id);
    transaction.state.waiting.delete(request.id);
}

/** Takes the end of a caller's channel. */
export function takeCallerLeft(transaction: Transaction, requestId: RequestId): void {
    const request = transaction.state.requests.get(requestId);
    if (request === undefined) {
        return;
    }
    record(transaction, "info", "caller_left", describe(transaction, request));
    finish(transaction, request);
}

/** The fields that each line on a request has. */
export function describe(
    { now, state }: Transaction,
    request: GatewayRequest,
): Readonly<Record<string, string | number | undefined>> {
    return {
        request: request.head.callerAttemptId,
        route: request.route.name,
        service: request.service,
        organisation: request.organisation?.id,
        server: request.attempt?.server.record.id,
        sends: request.sends,
        possibleRuns: request.possibleRuns,
        lastEvent: request.lastEvent,
        age: Math.round(now - request.arrivedAt),
        left: Math.round(request.finishBy - now),
        configurationVersion: state.configuration?.version,
        serversAge: ageOf(now, state.followers.backendServers.freshAsOf),
    };
}

function ageOf(now: Milliseconds, since: Milliseconds | undefined): number | undefined {
    return since === undefined ? undefined : Math.round(now - since);
}
