/**
 * Mutations of a gateway: each takes out one mechanism, by what its reducer sees or by what becomes of its effects. The
 * fuzzer must find the break, or the promise has no proof.
 */
import { type GatewayInterceptors, noTarget, passThroughInterceptors } from "@verbenaspring/emulator";
import {
    type DecodedItem,
    type GatewayEvent,
    type GatewayState,
    indexRoutes,
    type Route,
    type TopicRecord,
} from "@verbenaspring/gateway";
import type { Mutation } from "../mutations.js";
import type { PromiseName } from "../oracle.js";

const ofEvents = (
    name: string,
    promises: readonly PromiseName[],
    changeEvent: GatewayInterceptors["mapEvent"],
): Mutation<GatewayInterceptors> => ({ name, promises, parts: { ...passThroughInterceptors, mapEvent: changeEvent } });

const ofEffects = (
    name: string,
    promises: readonly PromiseName[],
    changeEffect: GatewayInterceptors["mapEffect"],
): Mutation<GatewayInterceptors> => ({
    name,
    promises,
    parts: { ...passThroughInterceptors, mapEffect: changeEffect },
});

function mapRecords(event: GatewayEvent, change: (record: TopicRecord) => readonly TopicRecord[]): GatewayEvent {
    const mapItems = (items: readonly DecodedItem[]): DecodedItem[] =>
        items.map(({ item, records }) => ({ item, records: records.flatMap(change) }));
    if (event.kind === "topicRead") {
        return { ...event, items: mapItems(event.items) };
    }
    if (event.kind === "peerReported") {
        const { configuration, backendServers } = event.items;
        return {
            ...event,
            items: { configuration: mapItems(configuration), backendServers: mapItems(backendServers) },
        };
    }
    return event;
}

function mapRoutes(event: GatewayEvent, change: (route: Route) => Route): GatewayEvent {
    return mapRecords(event, record => {
        if (record.kind !== "configuration") {
            return [record];
        }
        const routes = [...record.configuration.routesByHost.values()].flat().map(change);
        return [{ ...record, configuration: { ...record.configuration, routesByHost: indexRoutes(routes) } }];
    });
}

let inflatedVersion = 0;

function acceptAnyVersion(record: TopicRecord): readonly TopicRecord[] {
    if (record.kind !== "configuration") {
        return [record];
    }
    return [{ ...record, configuration: { ...record.configuration, version: ++inflatedVersion } }];
}

function claimOwnAnswer(event: GatewayEvent, state: GatewayState): GatewayEvent {
    if (event.kind !== "attemptAnswered") {
        return event;
    }
    const callerAttemptId = state.attempts.get(event.attemptId)?.head.callerAttemptId;
    return { ...event, answer: { ...event.answer, callerAttemptId } };
}

function spendFreely(event: GatewayEvent, state: GatewayState): GatewayEvent {
    state.retryBudget.options = { ratio: 100, slack: 100_000, window: 10_000 };
    return event;
}

/** Every mutation, with the promises that it takes the ground from. */
export const platformMutations: readonly Mutation<GatewayInterceptors>[] = [
    ofEvents(
        "events not counted",
        ["events_once_in_order_one_run", "whole_and_own_answer"],
        event =>
            event.kind === "streamEvents"
                ? { ...event, events: event.events.map(({ bytes }) => ({ bytes, id: undefined })) }
                : event,
    ),
    ofEffects(
        "a run that goes on is not told its copy",
        ["non_idempotent_at_most_once"],
        effect =>
            effect.kind === "sendAttempt" && effect.call.continuesFrom !== undefined
                ? { ...effect, call: { ...effect.call, continuesFrom: undefined } }
                : effect,
    ),
    ofEvents("answers of others are taken", ["whole_and_own_answer"], claimOwnAnswer),
    ofEvents(
        "lost calls count as not run",
        ["not_run_is_true", "non_idempotent_at_most_once"],
        event => event.kind === "attemptFailed" ? { ...event, wasSent: false } : event,
    ),
    ofEvents(
        "all calls count as idempotent",
        ["non_idempotent_at_most_once"],
        event => mapRoutes(event, route => ({ ...route, isIdempotent: !route.isStream, maximumAttempts: 4 })),
    ),
    ofEvents(
        "any version replaces the one before",
        ["configuration_never_reverts", "configuration_in_force"],
        event => mapRecords(event, acceptAnyVersion),
    ),
    ofEvents(
        "notices are ignored",
        ["leaving_gets_no_new_work"],
        event =>
            mapRecords(event, record =>
                record.kind === "backendServer"
                    ? [{ ...record, record: { ...record.record, isDraining: false } }]
                    : [record]),
    ),
    ofEffects(
        "the server that is meant is not named",
        ["only_the_routes_service_runs"],
        effect =>
            effect.kind === "sendAttempt" ? { ...effect, call: { ...effect.call, backendServer: noTarget } } : effect,
    ),
    ofEvents(
        "callers that left are served on",
        ["left_caller_ends_work"],
        event => event.kind === "callerLeft" ? undefined : event,
    ),
    ofEffects(
        "calls are never cancelled",
        ["left_caller_ends_work", "one_run_at_a_time"],
        effect => effect.kind === "cancelAttempt" ? undefined : effect,
    ),
    ofEvents(
        "the time of a request is not limited",
        ["final_answer_in_time"],
        event => event.kind === "requestReceived" ? { ...event, head: { ...event.head, timeLimit: undefined } } : event,
    ),
    ofEffects(
        "a planned stop ends the process at once",
        ["planned_stop_cuts_nothing"],
        effect => effect.kind === "startDraining" ? { kind: "exit" } : effect,
    ),
    ofEvents("repeats without a budget", ["repeats_within_budget"], spendFreely),
    ofEvents(
        "reads that fail are not repeated",
        ["configuration_in_force", "serves_again"],
        event => event.kind === "topicReadFailed" ? undefined : event,
    ),
    ofEvents(
        "ends of streams are not noticed",
        ["ready_answers_are_delivered"],
        event => event.kind === "streamEnded" ? undefined : event,
    ),
];
