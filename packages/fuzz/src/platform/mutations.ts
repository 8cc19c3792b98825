/**
 * Mutations of a gateway. Each removes one mechanism by changing the reducer's events or its effects. The fuzzer must
 * find the promise that is broken then; otherwise its checks don't prove that promise.
 */
import { coldShare } from "@verbenaspring/coordination";
import { type GatewayInterceptors, noTarget, passThroughInterceptors } from "@verbenaspring/emulator";
import {
    type DecodedItem,
    type GatewayEvent,
    type GatewayState,
    indexRoutes,
    type ResponseHead,
    type Route,
    type TopicRecord,
} from "@verbenaspring/gateway";
import { type AttemptId, type ContentDigest, identifier, type Milliseconds } from "@verbenaspring/model";
import type { Mutation } from "../mutations.js";
import type { PromiseName } from "../oracle.js";
import { platformLimits } from "./limits.js";

const eventMutation = (
    name: string,
    promises: readonly PromiseName[],
    changeEvent: GatewayInterceptors["mapEvent"],
): Mutation<GatewayInterceptors> => ({
    name,
    promises,
    implementation: { ...passThroughInterceptors, mapEvent: changeEvent },
});

const effectMutation = (
    name: string,
    promises: readonly PromiseName[],
    changeEffect: GatewayInterceptors["mapEffect"],
): Mutation<GatewayInterceptors> => ({
    name,
    promises,
    implementation: { ...passThroughInterceptors, mapEffect: changeEffect },
});

function mapRecords(event: GatewayEvent, change: (record: TopicRecord) => readonly TopicRecord[]): GatewayEvent {
    const mapItems = (items: readonly DecodedItem[]): DecodedItem[] =>
        items.map(({ item, records }) => ({ item, records: records.flatMap(change) }));
    if (event.kind === "topicRead") {
        return { ...event, items: mapItems(event.items) };
    }
    if (event.kind === "peerReported") {
        const { configuration, backendServers, lackingConfiguration } = event.items;
        return {
            ...event,
            items: {
                configuration: mapItems(configuration),
                backendServers: mapItems(backendServers),
                lackingConfiguration: lackingConfiguration && mapItems([lackingConfiguration])[0],
            },
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

/** Grows over all schedules, so that each record gets a higher version than any before it. */
let lastIssuedVersion = 0;

function renumberVersion(record: TopicRecord): readonly TopicRecord[] {
    if (record.kind !== "configuration") {
        return [record];
    }
    return [{ ...record, configuration: { ...record.configuration, version: ++lastIssuedVersion } }];
}

function forgeCallerAttemptId(event: GatewayEvent, state: GatewayState): GatewayEvent {
    if (event.kind !== "attemptAnswered") {
        return event;
    }
    const callerAttemptId = state.attempts.get(event.attemptId)?.head.callerAttemptId;
    return { ...event, answer: { ...event.answer, callerAttemptId } };
}

/** Lets the gateway use the whole of each limit, as if there were no others. */
function useWholeLimits(event: GatewayEvent, { requestLimits }: GatewayState): GatewayEvent {
    for (const [id, limit] of requestLimits) {
        if (limit.standing !== undefined) {
            requestLimits.set(id, { ...limit, standing: { rank: 0, instances: 1, countedAt: Infinity } });
        }
    }
    return event;
}

function forgetLimits(event: GatewayEvent, { requestLimits }: GatewayState): GatewayEvent {
    requestLimits.clear();
    return event;
}

function removeRetryLimit(event: GatewayEvent, state: GatewayState): GatewayEvent {
    state.retryBudget.options = { ratio: 100, slack: 100_000, window: 10_000 };
    return event;
}

/** Stops the ticks of each gateway for 6 s at a time, as timers that follow a clock that was set back do. */
function createTickLoss(): GatewayInterceptors {
    const ticksBetween = 60;
    const ticksLost = 120;
    const ticks = new WeakMap<GatewayState, number>();
    return {
        ...passThroughInterceptors,
        mapEvent: (event, state) => {
            if (event.kind !== "tick") {
                return event;
            }
            const tick = ticks.get(state) ?? 0;
            ticks.set(state, tick + 1);
            return tick % (ticksBetween + ticksLost) < ticksBetween ? event : undefined;
        },
    };
}

/** Mutations that schedules with many changes of the configuration have to find. */
export const configurationMutations: readonly Mutation<GatewayInterceptors>[] = [
    { name: "ticks stop for seconds", promises: ["configuration_in_force"], implementation: createTickLoss() },
];

/** Mutations that only schedules in which servers leave without a notice and gateways start anew can find. */
export const changeMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation(
        "removals of servers are ignored",
        ["leaving_gets_no_new_work"],
        event => mapRecords(event, record => record.kind === "backendServerRemoved" ? [] : [record]),
    ),
    effectMutation(
        "requests are denied before the first configuration",
        ["allowed_requests_are_not_denied"],
        effect =>
            effect.kind === "answerFailure" && effect.failure.type === "configuration_unavailable"
                ? { ...effect, failure: { ...effect.failure, type: "route_not_found" } }
                : effect,
    ),
];

function forgetSuspects(event: GatewayEvent, { crashSuspects }: GatewayState): GatewayEvent {
    crashSuspects.suspects.clear();
    crashSuspects.lostRuns.clear();
    return event;
}

function forgetContent(event: GatewayEvent): GatewayEvent {
    return event.kind === "requestReceived"
        ? { ...event, contentDigest: identifier<ContentDigest>(event.requestId) }
        : event;
}

/** Mutations that only schedules with parts or requests that crash servers can find. */
export const deadlyWorkMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation("crashes are forgotten", ["deadly_work_contained"], forgetSuspects),
    eventMutation("repeats of a request are not recognised", ["deadly_work_contained"], forgetContent),
];

/** Mutations that only schedules in which servers declare limits can find. */
export const limitMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation("limits of servers are ignored", ["server_limit_kept"], forgetLimits),
    eventMutation("each gateway uses the whole limit of a server", ["server_limit_kept"], useWholeLimits),
];

/** Uses servers again whose record says that they are ready, as if they had given no notice. */
function trustRecords(event: GatewayEvent, { servers }: GatewayState): GatewayEvent {
    for (const [id, server] of servers) {
        if (!server.record.isDraining && server.removedAt === undefined) {
            servers.set(id, { ...server, leavingSince: undefined });
        }
    }
    return event;
}

/** Hides all evacuations from the reducer while it handles the failure of an attempt, which resumes its stream. */
function createEvacuationHiding(): GatewayInterceptors {
    const hidden = new WeakMap<GatewayState, GatewayState["evacuations"]>();
    return {
        ...passThroughInterceptors,
        mapEvent: (event, state) => {
            hidden.get(state)?.forEach((evacuation, failureDomain) => state.evacuations.set(failureDomain, evacuation));
            hidden.delete(state);
            if (event.kind === "attemptFailed") {
                hidden.set(state, new Map(state.evacuations));
                state.evacuations.clear();
            }
            return event;
        },
    };
}

/** Mutations that only schedules with evacuations can find. */
export const evacuationMutations: readonly Mutation<GatewayInterceptors>[] = [
    {
        name: "resumed streams ignore evacuations",
        promises: ["evacuated_domain_gets_no_requests"],
        implementation: createEvacuationHiding(),
    },
];

/** Lets the gateway use the whole rate of each cold server, as if there were no others. */
function useWholeColdRates(event: GatewayEvent, { coldServers: { allowances } }: GatewayState): GatewayEvent {
    const { coldRate } = platformLimits;
    const share = coldShare(coldRate, 0, 1);
    for (const [id, known] of allowances) {
        allowances.set(id, { ...known, allowance: { ...known.allowance, share }, sharedAt: Infinity });
    }
    return event;
}

/** Mutations that only schedules with cold servers can find. */
export const coldMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation("each gateway uses the whole rate of a cold server", ["cold_rate_kept"], useWholeColdRates),
    eventMutation(
        "restarts under the same id are not recognised",
        ["cold_rate_kept"],
        event =>
            mapRecords(event, record =>
                record.kind === "backendServer"
                    ? [{ ...record, record: { ...record.record, startedAt: undefined } }]
                    : [record]),
    ),
];

/** Hides notices from the reducer. Callers still get them, so that the gateway counts as informed. */
function createNoticeHiding(): GatewayInterceptors {
    const hidden = new Set<unknown>();
    const hide = <Head extends ResponseHead>(head: Head): Head => {
        if (head.isLeaving) {
            hidden.add(head.callerAttemptId);
        }
        return { ...head, isLeaving: false };
    };
    const show = <Head extends ResponseHead>(head: Head): Head => ({
        ...head,
        isLeaving: hidden.has(head.callerAttemptId),
    });
    return {
        ...passThroughInterceptors,
        mapEvent: event => {
            switch (event.kind) {
                case "attemptAnswered":
                    return { ...event, answer: hide(event.answer) };
                case "streamOpened":
                    return { ...event, head: hide(event.head) };
                default:
                    return event;
            }
        },
        mapEffect: effect => {
            switch (effect.kind) {
                case "answerWhole":
                    return { ...effect, answer: show(effect.answer) };
                case "answerHead":
                    return { ...effect, head: show(effect.head) };
                default:
                    return effect;
            }
        },
    };
}

/** Mutations that only schedules in which servers give notice in their answers can find. */
export const noticeMutations: readonly Mutation<GatewayInterceptors>[] = [
    {
        name: "notices in answers are ignored",
        promises: ["leaving_gets_no_new_work"],
        implementation: createNoticeHiding(),
    },
    eventMutation("a record that says ready ends a notice", ["leaving_gets_no_new_work"], trustRecords),
];

/** How much longer than earlier ones a stream may take, and the least time for its first event. */
const forecastSafetyFactor = 1.5;
const leastFirstEvent: Milliseconds = 1_000;
/** The last part of a planned stop, in which no request is served. */
const finalAnswersTime: Milliseconds = 500;

/**
 * Accepts streams in a planned stop if they would end in time with a first event as late as the latest one of the streams
 * that have ended. The stop is hidden from the reducer while it handles the request.
 */
function createForecastByEndedStreams(): GatewayInterceptors {
    const latestFirstEvents = new WeakMap<GatewayState, Milliseconds>();
    const hiddenStops = new WeakMap<GatewayState, Milliseconds>();
    const mayEndInTime = (event: Extract<GatewayEvent, { readonly kind: "requestReceived"; }>, state: GatewayState) => {
        const latest = latestFirstEvents.get(state);
        if (latest === undefined || state.stopRequestedAt === undefined) {
            return false;
        }
        const duration = Math.max(leastFirstEvent, latest) + event.head.maximumTokens * state.timePerToken;
        const end = state.stopRequestedAt + platformLimits.stopLimit - finalAnswersTime;
        return event.receivedAt + forecastSafetyFactor * duration <= end;
    };
    return {
        ...passThroughInterceptors,
        mapEvent: (event, state) => {
            state.stopRequestedAt ??= hiddenStops.get(state);
            if (event.kind === "streamEnded") {
                const firstEvent = state.attempts.get(event.attemptId)?.firstEventAge ?? 0;
                latestFirstEvents.set(state, Math.max(firstEvent, latestFirstEvents.get(state) ?? 0));
            }
            if (event.kind === "requestReceived" && mayEndInTime(event, state)) {
                hiddenStops.set(state, state.stopRequestedAt!);
                state.stopRequestedAt = undefined;
            }
            return event;
        },
    };
}

/** Mutations that only schedules in which gateways stop in turn while streams wait at engines can find. */
export const rollingStopMutations: readonly Mutation<GatewayInterceptors>[] = [
    {
        name: "requests are accepted in a stop by the streams that have ended",
        promises: ["planned_stop_cuts_nothing"],
        implementation: createForecastByEndedStreams(),
    },
];

/** Takes the replica of each run that is lost for likely to exist. */
function trustReplicas(event: GatewayEvent, { attempts }: GatewayState): GatewayEvent {
    const attempt = event.kind === "attemptFailed" ? attempts.get(event.attemptId)?.attempt : undefined;
    if (attempt !== undefined) {
        attempt.firstEventAt ??= attempt.startedAt;
        attempt.producingTime = Infinity;
    }
    return event;
}

/** Mutations that only schedules in which servers lose answers can find. */
export const lostAnswerMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation("replicas are trusted without evidence", ["non_idempotent_at_most_once"], trustReplicas),
];

/** Mutations that only schedules in which engines work on after their channel has ended can find. */
export const detachedRunMutations: readonly Mutation<GatewayInterceptors>[] = [
    {
        name: "servers are asked once to stop a run",
        promises: ["one_run_at_a_time"],
        implementation: {
            ...passThroughInterceptors,
            mapEffect: (effect, { abandonedRuns }) => {
                const isRepeated = effect.kind === "migrateRun"
                    && (abandonedRuns.get(effect.attemptId)?.schedule.asks ?? 0) > 1;
                return isRepeated ? undefined : effect;
            },
        },
    },
    eventMutation(
        "refusals to stop a run are taken for stops",
        ["one_run_at_a_time"],
        event =>
            event.kind === "migrationAnswered" && event.isStopping && event.result.kind === "refused"
                ? { ...event, result: { kind: "moved", handle: "" } }
                : event,
    ),
];

/** Lets each report that echoes one of the gateway count as one that echoes its newest one. */
function createEchoOfNewestReport(): GatewayInterceptors {
    const newestReports = new WeakMap<GatewayState, Milliseconds>();
    return {
        ...passThroughInterceptors,
        mapEffect: (effect, state) => {
            if (effect.kind === "sendReport" && effect.report.sentAt !== undefined) {
                newestReports.set(state, effect.report.sentAt);
            }
            return effect;
        },
        mapEvent: (event, state) => {
            const sentAt = newestReports.get(state);
            return event.kind === "peerReported" && event.report.echo !== undefined && sentAt !== undefined
                ? { ...event, report: { ...event.report, echo: { sentAt, heldFor: 0 } } }
                : event;
        },
    };
}

/** Mutations that only schedules in which links fall behind can find. */
export const delayMutations: readonly Mutation<GatewayInterceptors>[] = [
    {
        name: "the transmission of reports is ignored",
        promises: ["configuration_in_force"],
        implementation: createEchoOfNewestReport(),
    },
];

function hidePeerConfiguration(event: GatewayEvent): GatewayEvent {
    return event.kind === "peerReported"
        ? {
            ...event,
            report: { ...event.report, configurationVersion: undefined, configurationItem: undefined },
            items: { ...event.items, lackingConfiguration: undefined },
        }
        : event;
}

/** Mutations that only schedules in which the store loses records that nobody acknowledged can find. */
export const unacknowledgedMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation(
        "versions of peers are ignored",
        ["configuration_in_force", "configuration_never_reverts"],
        hidePeerConfiguration,
    ),
    effectMutation(
        "reads go on after a failure without a snapshot",
        ["configuration_in_force", "configuration_never_reverts"],
        (effect, { followers }) => {
            const from = effect.kind === "readSnapshot" ? followers[effect.topic].next : undefined;
            return effect.kind === "readSnapshot" && from !== undefined
                ? { kind: "readTopic", topic: effect.topic, from, wait: 0 }
                : effect;
        },
    ),
];

/** Reads one page, and takes its end for the position of its records. */
function* readOnePage(): ReturnType<GatewayInterceptors["snapshotCalls"]> {
    const page = yield { kind: "newest", after: undefined };
    return { items: page?.items ?? [], next: page !== undefined && "end" in page ? page.end : 0, isAtEnd: true };
}

/** Mutations that only schedules in which records and end of a page are of different times can find. */
export const snapshotMutations: readonly Mutation<GatewayInterceptors>[] = [
    {
        name: "the end of a page is taken for the position of its records",
        promises: ["configuration_in_force"],
        implementation: { ...passThroughInterceptors, snapshotCalls: readOnePage },
    },
];

/** Mutations that only schedules in which servers of several software versions serve can find. */
export const releaseMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation(
        "software versions are ignored",
        ["one_software_version"],
        event =>
            mapRecords(event, record =>
                record.kind === "backendServer"
                    ? [{ ...record, record: { ...record.record, softwareVersion: undefined } }]
                    : [record]),
    ),
    eventMutation(
        "records of streams are ignored",
        ["one_software_version"],
        event => event.kind === "streamRegisterRead" ? { ...event, page: { ...event.page, records: [] } } : event,
    ),
];

/** The start of the incarnation that an attempt was sent to. */
function startOf({ attempts }: GatewayState, attemptId: AttemptId): number | undefined {
    return attempts.get(attemptId)?.attempt?.server.record.startedAt;
}

/** Mutations that only schedules in which engines write streams without framing can find. */
export const unframedMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation(
        "an unframed stream that has ended counts as complete",
        ["whole_and_own_answer"],
        (event, state) =>
            event.kind === "answerEndChecked"
                ? { ...event, report: { runs: [], isLeaving: false, startedAt: startOf(state, event.attemptId) } }
                : event,
    ),
    eventMutation(
        "any incarnation says whether an unframed stream is complete",
        ["whole_and_own_answer"],
        (event, state) =>
            event.kind === "answerEndChecked" && event.report !== undefined
                ? { ...event, report: { ...event.report, startedAt: startOf(state, event.attemptId) } }
                : event,
    ),
];

/** Mutations that only schedules in which servers ask for pauses can find. */
export const pauseMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation(
        "pauses are ignored",
        ["server_pause_kept"],
        event =>
            event.kind === "attemptAnswered" ? { ...event, answer: { ...event.answer, retryAfter: undefined } } : event,
    ),
];

/** Every other mutation, with the promises that rely on the removed mechanism. */
export const platformMutations: readonly Mutation<GatewayInterceptors>[] = [
    eventMutation(
        "events not counted",
        ["events_once_in_order_one_run", "whole_and_own_answer"],
        event =>
            event.kind === "streamEvents"
                ? { ...event, events: event.events.map(({ bytes }) => ({ bytes, id: undefined, isComment: true })) }
                : event,
    ),
    effectMutation(
        "a run that continues is not told its replica",
        ["non_idempotent_at_most_once"],
        effect =>
            effect.kind === "sendAttempt" && effect.call.continuesFrom !== undefined
                ? { ...effect, call: { ...effect.call, continuesFrom: undefined } }
                : effect,
    ),
    effectMutation(
        "a new run of a stream is not told the last event",
        ["events_once_in_order_one_run"],
        effect =>
            effect.kind === "sendAttempt" && effect.call.continuesFrom === undefined
                ? { ...effect, call: { ...effect.call, lastEvent: undefined } }
                : effect,
    ),
    eventMutation("answers to other requests are accepted", ["whole_and_own_answer"], forgeCallerAttemptId),
    eventMutation(
        "lost calls count as not run",
        ["not_run_is_true", "non_idempotent_at_most_once"],
        event => event.kind === "attemptFailed" ? { ...event, wasSent: false } : event,
    ),
    eventMutation(
        "all calls count as idempotent",
        ["non_idempotent_at_most_once"],
        event => mapRoutes(event, route => ({ ...route, isIdempotent: !route.isStream, maximumAttempts: 4 })),
    ),
    eventMutation(
        "any version replaces the one before",
        ["configuration_never_reverts", "configuration_in_force"],
        event => mapRecords(event, renumberVersion),
    ),
    eventMutation(
        "notices are ignored",
        ["leaving_gets_no_new_work"],
        event =>
            mapRecords(event, record =>
                record.kind === "backendServer"
                    ? [{ ...record, record: { ...record.record, isDraining: false } }]
                    : [record]),
    ),
    effectMutation(
        "the target server is not named",
        ["only_the_routes_service_runs"],
        effect =>
            effect.kind === "sendAttempt" ? { ...effect, call: { ...effect.call, backendServer: noTarget } } : effect,
    ),
    eventMutation(
        "requests of callers that left go on",
        ["left_caller_ends_work"],
        event => event.kind === "callerLeft" ? undefined : event,
    ),
    effectMutation(
        "calls are never cancelled",
        ["left_caller_ends_work", "one_run_at_a_time"],
        effect => effect.kind === "cancelAttempt" ? undefined : effect,
    ),
    eventMutation(
        "requests have no time limit",
        ["final_answer_in_time"],
        event => event.kind === "requestReceived" ? { ...event, head: { ...event.head, timeLimit: undefined } } : event,
    ),
    effectMutation(
        "a planned stop ends the process at once",
        ["planned_stop_cuts_nothing"],
        effect => effect.kind === "startDraining" ? { kind: "exit" } : effect,
    ),
    eventMutation("repeats without a budget", ["repeats_within_budget"], removeRetryLimit),
    eventMutation(
        "failed reads are not repeated",
        ["configuration_in_force", "serves_again"],
        event => event.kind === "topicReadFailed" ? undefined : event,
    ),
    eventMutation(
        "ends of streams are ignored",
        ["ready_answers_are_delivered"],
        event => event.kind === "streamEnded" ? undefined : event,
    ),
];
