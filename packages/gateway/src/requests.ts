/**
 * Accepts or refuses requests by route and API key, and ends each with exactly one final answer.
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
import { identifyRepeats } from "./crashSuspects.js";
import { forecastInStop, isCutByStop, retryAfterStop, type StopForecast } from "./draining.js";
import type { DecisionFields } from "./effect.js";
import type { GatewayEvent } from "./event.js";
import { countedEvents } from "./eventIds.js";
import { expectedOutput } from "./messages.js";
import { isOutdatedByPeers } from "./peerConfigurations.js";
import { limitDoubt, recordAge, recordAnswer, recordEventTimes, recordTaken } from "./routeDurations.js";
import { findRoute, type Organisation, pathOf, type Route, type RoutingConfiguration } from "./routingConfiguration.js";
import { countPossibleRuns, createRunLedger } from "./runLedger.js";
import { dispatch } from "./sending.js";
import { endSilentAttempt } from "./silentAttempts.js";
import type { GatewayRequest } from "./state.js";
import { handleTakeUp, isTakeUp } from "./streamRegister.js";
import { logDecision, type Transaction } from "./transaction.js";

type RequestReceived = Extract<GatewayEvent, { readonly kind: "requestReceived"; }>;

/** The `retryAfter` before the gateway has read its configuration. */
const startingRetryAfter: Milliseconds = 300;
/** The `retryAfter` while a newer configuration may be in force: another gateway may know it. */
const outdatedRetryAfter: Milliseconds = 100;
/** Callers of plain services wait a second or two in total, so a longer minimum would come too late for them. */
const minimumRetryAfter: Milliseconds = 20;
/** Characters of a path that a log line states. */
const maximumLoggedPath = 120;

/** Handles a request whose body was read completely. */
export function handleRequest(transaction: Transaction, event: RequestReceived): void {
    const { configuration } = transaction.state;
    const { requestId, head } = event;
    if (configuration === undefined) {
        return refuse(transaction, event, "configuration_unavailable", startingRetryAfter);
    }
    const route = findRoute(configuration, head.host, pathOf(head.target));
    if (route === undefined) {
        return refuseUnknown(transaction, event, "route_not_found");
    }
    const organisation = findOrganisation(configuration, route, event);
    if (organisation === "unknown") {
        return refuseUnknown(transaction, event, "unauthenticated");
    }
    const { now, state, source } = transaction;
    const service = chooseService(route, source.random);
    recordRequest(state.retryBudget, service, now);
    const arrival = { receivedAt: event.receivedAt, limitDoubt: limitDoubt(event.receivedAt, now) };
    const stopForecast = forecastInStop(state, route, { head, ...arrival }, now);
    if (isCutByStop(stopForecast)) {
        return refuse(transaction, event, "leaving", retryAfterStop(state, now));
    }
    const timeLimit = Math.min(head.timeLimit ?? Infinity, route.timeout);
    const request: GatewayRequest = {
        id: requestId,
        head,
        route,
        service,
        organisation,
        repeatedId: identifyRepeats(organisation?.id, event.contentDigest),
        arrivedAt: event.receivedAt,
        readDelay: event.readDelay,
        deadline: event.receivedAt + timeLimit,
        limitDoubt: arrival.limitDoubt,
        attempt: undefined,
        silentAttempt: undefined,
        sends: 0,
        runs: createRunLedger(),
        openStops: new Map(),
        triedServers: new Set(),
        lastEvent: route.canResume ? head.lastEvent : undefined,
        eventCount: route.canResume ? countedEvents(head.lastEvent, head.maximumTokens || undefined) : 0,
        longestStep: undefined,
        isContinuable: true,
        origin: undefined,
        held: undefined,
        isHeldUntilEnd: false,
        firstEventAge: undefined,
        lastEventAt: undefined,
        longestPause: 0,
        isHeadWritten: false,
    };
    state.requests.set(requestId, request);
    logAcceptedLate(transaction, request, stopForecast);
    if (isTakeUp(request)) {
        return handleTakeUp(transaction, request);
    }
    dispatch(transaction, request);
}

/** Logs what a request was expected to take that is accepted late in a planned stop. */
function logAcceptedLate(
    transaction: Transaction,
    request: GatewayRequest,
    forecast: StopForecast | undefined,
): void {
    if (forecast?.isLate === true) {
        logDecision(transaction, "info", "accepted_late_in_stop", {
            ...requestFields(transaction, request),
            ...stopFields(transaction, request),
            fit: forecast.fit,
            forecast: Math.round(forecast.duration),
            remaining: Math.round(forecast.remaining),
        });
    }
}

/** Logs the whole answer to a request. In a planned stop each request is to have a line that says how it ended. */
export function logAnswered(
    transaction: Transaction,
    request: GatewayRequest,
    event: "request_answered" | "stream_answered",
    fields: DecisionFields,
): void {
    logDecision(transaction, transaction.state.stopRequestedAt === undefined ? "debug" : "info", event, {
        ...requestFields(transaction, request),
        ...stopFields(transaction, request),
        took: Math.round(transaction.now - request.arrivedAt),
        ...fields,
    });
}

function findOrganisation(
    { organisations }: RoutingConfiguration,
    route: Route,
    { head }: RequestReceived,
): Organisation | undefined | "unknown" {
    if (organisations === undefined || route.isPublic) {
        return undefined;
    }
    const found = head.apiKey === undefined ? undefined : organisations.get(head.apiKey);
    return found ?? "unknown";
}

function chooseService({ targets }: Route, random: Random): ServiceName {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let remainingWeight = random() * total;
    const chosen = targets.find(target => (remainingWeight -= target.weight) < 0);
    return (chosen ?? targets[targets.length - 1]).service;
}

/**
 * Refuses a request whose route or key is unknown. A gateway whose configuration may be outdated can't tell whether they
 * exist: callers give up after the answer that they don't.
 */
function refuseUnknown(
    transaction: Transaction,
    event: RequestReceived,
    type: "route_not_found" | "unauthenticated",
): void {
    return mayBeOutdated(transaction)
        ? refuse(transaction, event, "configuration_unavailable", outdatedRetryAfter)
        : refuse(transaction, event, type);
}

/**
 * Whether there may be a newer configuration: there is one that can't be decoded or that only a peer has, or this gateway has
 * not learnt for as long as a configuration may take that its own is the newest.
 */
function mayBeOutdated({ now, state }: Transaction): boolean {
    const { followers, options, undecodableConfiguration } = state;
    const age = now - (followers.configuration.freshAsOf ?? -Infinity);
    return undecodableConfiguration !== undefined || isOutdatedByPeers(state)
        || age > (options.configurationLimit ?? Infinity);
}

/** Refuses a request before it enters the state. */
function refuse(
    transaction: Transaction,
    { requestId, head }: RequestReceived,
    type: FailureType,
    retryAfter?: Milliseconds,
): void {
    const { now, state: { configuration, configurationItem, followers } } = transaction;
    logDecision(transaction, "warn", "request_refused", {
        request: head.callerAttemptId,
        reason: type,
        version: configuration?.version,
        offset: configurationItem?.offset,
        next: followers.configuration.next,
        age: ageOf(now, followers.configuration.freshAsOf),
        reader: followers.configuration.lastRead?.reader,
        hostRoutes: configuration?.routesByHost.get(head.host)?.length ?? 0,
        host: head.host,
        path: pathOf(head.target).slice(0, maximumLoggedPath),
    });
    const spreadRetryAfter = retryAfter === undefined
        ? undefined
        : jitterRetryAfter(retryAfter, transaction.source.random, minimumRetryAfter);
    const refusal = failure(type, refusalMessages[type] ?? type, "not_run", spreadRetryAfter);
    transaction.effects.push({ kind: "answerFailure", requestId, failure: refusal });
}

const refusalMessages: Partial<Record<FailureType, string>> = {
    configuration_unavailable: "this instance does not know the newest configuration",
    route_not_found: "no route matches the host and path",
    leaving: "the instance is stopping",
    unauthenticated: "the key is unknown",
};

/**
 * Ends a request with a failure: as an answer if nothing was written yet, else by closing the caller's channel.
 *
 * @param retryAfter the least time after which the caller should repeat the request; it is spread at random
 */
export function failRequest(
    transaction: Transaction,
    request: GatewayRequest,
    type: FailureType,
    message: string,
    retryAfter?: Milliseconds,
): void {
    const { effects, source } = transaction;
    if (type === "deadline_exceeded") {
        recordAge(transaction.state.durations, request, transaction.now);
    }
    const outcome: RunOutcome = countPossibleRuns(request.runs) === 0 ? "not_run" : "outcome_unknown";
    logDecision(transaction, "warn", "request_failed", {
        ...requestFields(transaction, request),
        reason: type,
        outcome,
        hasBegun: request.isHeadWritten,
        firstEventAge: request.firstEventAge === undefined ? undefined : Math.round(request.firstEventAge),
        ...stopFields(transaction, request),
    });
    finishRequest(transaction, request);
    if (request.isHeadWritten) {
        effects.push({ kind: "answerCut", requestId: request.id });
        return;
    }
    const spreadRetryAfter = retryAfter === undefined
        ? undefined
        : jitterRetryAfter(retryAfter, source.random, minimumRetryAfter);
    effects.push({
        kind: "answerFailure",
        requestId: request.id,
        failure: failure(type, message, outcome, spreadRetryAfter),
    });
}

/** Removes a request whose whole answer was passed on to its caller. */
export function finishAnswered(transaction: Transaction, request: GatewayRequest): void {
    recordAnswer(transaction.state, request, transaction.now);
    finishRequest(transaction, request);
}

/** Removes a request whose final answer was given, and cancels its attempts. */
export function finishRequest(transaction: Transaction, request: GatewayRequest): void {
    recordEventTimes(transaction.state, request, transaction.now);
    if (request.attempt !== undefined) {
        endAttempt(transaction, request, request.attempt, "cancel");
    }
    endSilentAttempt(transaction, request, "cancel");
    transaction.state.requests.delete(request.id);
    transaction.state.waiting.delete(request.id);
}

/** Handles the end of a caller's channel before the final answer: the request is dropped and its attempt cancelled. */
export function handleCallerLeft(transaction: Transaction, requestId: RequestId): void {
    const request = transaction.state.requests.get(requestId);
    if (request === undefined) {
        return recordTaken(transaction.state, requestId, transaction.now);
    }
    logDecision(transaction, "info", "caller_left", requestFields(transaction, request));
    finishRequest(transaction, request);
}

/** The fields of every log line about a request. */
export function requestFields(
    { now, state }: Transaction,
    request: GatewayRequest,
): Readonly<Record<string, string | number | undefined>> {
    return {
        request: request.head.callerAttemptId,
        route: request.route.name,
        service: request.service,
        promptTokens: request.head.promptTokens || undefined,
        expectedOutput: expectedOutput(request.head) || undefined,
        organisation: request.organisation?.id,
        server: request.attempt?.server.record.id,
        sends: request.sends,
        possibleRuns: countPossibleRuns(request.runs),
        lastEvent: request.lastEvent,
        originVersion: request.origin?.softwareVersion,
        age: Math.round(now - request.arrivedAt),
        readDelay: Math.round(request.readDelay),
        left: Math.round(request.deadline - now),
        configurationVersion: state.configuration?.version,
        serversAge: ageOf(now, state.followers.backendServers.freshAsOf),
    };
}

/** When in a planned stop a request arrived, which is negative for one before it, and how long the stop has lasted. */
function stopFields({ now, state: { stopRequestedAt } }: Transaction, { arrivedAt }: GatewayRequest): DecisionFields {
    return stopRequestedAt === undefined
        ? {}
        : { arrivedInStop: Math.round(arrivedAt - stopRequestedAt), stopAge: Math.round(now - stopRequestedAt) };
}

function ageOf(now: Milliseconds, since: Milliseconds | undefined): number | undefined {
    return since === undefined ? undefined : Math.round(now - since);
}
