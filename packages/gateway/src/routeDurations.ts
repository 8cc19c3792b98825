/**
 * How long requests of each route took recently: until their first event, between their events, until their answer, and
 * until the caller had taken the answer.
 */
import {
    createLongestDuration,
    type LongestDuration,
    longestDuration,
    recordDuration,
} from "@verbenaspring/coordination";
import type { Milliseconds, RequestId, RouteName } from "@verbenaspring/model";
import type { RequestHead } from "./messages.js";
import type { Route, RoutingConfiguration } from "./routingConfiguration.js";
import type { GatewayRequest, GatewayState } from "./state.js";

/** The recent durations of one route's requests. */
export interface RouteDurations {
    /** From a request's arrival until the first event of its stream. */
    readonly firstEvent: LongestDuration;
    /** Between two events of a stream: its engine may preempt it. */
    readonly pause: LongestDuration;
    /** From a request's arrival until its whole answer. */
    readonly answer: LongestDuration;
    /** Until the end of requests without an event or answer. This bounds the others from below, and tells nothing by itself. */
    readonly unanswered: LongestDuration;
    /** From a whole answer until the caller had taken it. */
    readonly reading: LongestDuration;
}

/** A whole answer that its caller has not taken yet. */
export interface UntakenAnswer {
    readonly route: RouteName;
    readonly answeredAt: Milliseconds;
}

/** What is known of the durations of requests. */
export interface RequestDurations {
    readonly ofRoutes: Map<RouteName, RouteDurations>;
    readonly untaken: Map<RequestId, UntakenAnswer>;
}

/** Creates a record without durations. */
export function createRequestDurations(): RequestDurations {
    return { ofRoutes: new Map(), untaken: new Map() };
}

/** Forgets the routes that a configuration does not have. */
export function forgetRoutes({ ofRoutes }: RequestDurations, { routesByHost }: RoutingConfiguration): void {
    const names = new Set([...routesByHost.values()].flatMap(routes => routes.map(({ name }) => name)));
    for (const name of ofRoutes.keys()) {
        if (!names.has(name)) {
            ofRoutes.delete(name);
        }
    }
}

/** Time allowed for a request of a plain service, or the first event of a stream, if earlier ones did not take longer. */
export const shortWorkTime: Milliseconds = 1_000;
/** The next request may be slower than the slowest of the recent ones. */
const safetyFactor = 1.5;

/** Records that a request got its whole answer, which its caller takes from now on. */
export function recordAnswer({ durations }: GatewayState, request: GatewayRequest, now: Milliseconds): void {
    recordAge(durations, request, now);
    durations.untaken.set(request.id, { route: request.route.name, answeredAt: now });
}

/** Records the age of a request that has its answer, or that would have taken longer. */
export function recordAge(durations: RequestDurations, { route, arrivedAt }: GatewayRequest, now: Milliseconds): void {
    recordDuration(durationsOf(durations, route.name, now).answer, now - arrivedAt, now);
}

/**
 * Records when the caller got the first event, and the longest pause of the stream, if it got one. Of a request that ends
 * while a server has it, without an event or answer, records how long it had waited.
 */
export function recordEventTimes({ durations }: GatewayState, request: GatewayRequest, now: Milliseconds): void {
    const { route, firstEventAge, attempt, arrivedAt } = request;
    if (firstEventAge !== undefined) {
        const { firstEvent, pause } = durationsOf(durations, route.name, now);
        recordDuration(firstEvent, firstEventAge, now);
        recordDuration(pause, longestPauseOf(request, now), now);
    }
    else if (attempt !== undefined) {
        recordDuration(durationsOf(durations, route.name, now).unanswered, now - arrivedAt, now);
    }
}

/** The longest pause of a stream, which may be the present one. */
function longestPauseOf({ longestPause, lastEventAt }: GatewayRequest, now: Milliseconds): Milliseconds {
    return Math.max(longestPause, now - (lastEventAt ?? now));
}

/** Records that the caller has taken a whole answer, or has left before. */
export function recordTaken({ durations }: GatewayState, requestId: RequestId, now: Milliseconds): void {
    const answer = durations.untaken.get(requestId);
    if (answer !== undefined) {
        durations.untaken.delete(requestId);
        recordDuration(durationsOf(durations, answer.route, now).reading, now - answer.answeredAt, now);
    }
}

/** When a request was received at the earliest, and how much later its time limits may begin. */
export interface RequestArrival {
    readonly receivedAt: Milliseconds;
    readonly limitDoubt: Milliseconds;
}

/** Half of the time after its time limit in which a final answer is due. */
const maximumLimitDoubt: Milliseconds = 250;

/**
 * How much later than when a request was received at the earliest its time limits may begin: a delayed loop may have read
 * it as soon as it was sent, and its body may have taken time to arrive.
 */
export function limitDoubt(receivedAt: Milliseconds, readAt: Milliseconds): Milliseconds {
    return Math.min(readAt - receivedAt, maximumLimitDoubt);
}

/** How long a request may take from now until its caller has taken the answer. */
export interface RequestForecast {
    /** What its time limits allow at most; Infinity if neither it nor its route has one that is known to hold. */
    readonly atMost: Milliseconds;
    /** What requests of its route took recently; Infinity if that tells nothing of this one. */
    readonly expected: Milliseconds;
    /** The part of `expected` after the first event of a stream. */
    readonly output: Milliseconds;
}

/**
 * Forecasts how long a request may take. Requests that have not ended count with their age: those that have are the fast
 * ones. If nothing is known of its route, only the caller's own time limit bounds it. Earlier streams of the route don't tell
 * how long one is that states no maximum output.
 */
export function forecastRequest(
    state: GatewayState,
    route: Route,
    head: RequestHead,
    arrival: RequestArrival,
    now: Milliseconds,
): RequestForecast {
    const { durations } = state;
    const known = durations.ofRoutes.get(route.name);
    const hasTokens = route.isStream && head.maximumTokens > 0;
    const start = known && longestDuration(hasTokens ? known.firstEvent : known.answer, now);
    // A stream is cut at the latest end of its time limit, other requests get their final answer at the earliest one.
    const elapsed = now - arrival.receivedAt - (route.isStream ? arrival.limitDoubt : 0);
    const callerLeft = (head.timeLimit ?? Infinity) - elapsed;
    if (known === undefined || start === undefined) {
        return { atMost: callerLeft, expected: Infinity, output: 0 };
    }
    const present = presentDurations(state, route.name, now);
    const reading = safetyFactor * longestReading(durations, route.name, known, now);
    const atMost = Math.min(callerLeft, route.timeout - elapsed + reading);
    if (route.isStream && !hasTokens) {
        return { atMost, expected: Infinity, output: 0 };
    }
    const pause = Math.max(longestDuration(known.pause, now) ?? 0, present.pause);
    const output = hasTokens ? safetyFactor * (head.maximumTokens * state.timePerToken + pause) : 0;
    const wait = Math.max(start, present.wait, longestDuration(known.unanswered, now) ?? 0);
    const work = Math.max(shortWorkTime, safetyFactor * wait);
    return { atMost, expected: work + output + reading, output };
}

/** The longest durations so far of the requests of a route that have not ended. */
interface PresentDurations {
    /** Since a request arrived that has no event or answer yet. */
    wait: Milliseconds;
    /** Between two events of a stream, or since the last one. */
    pause: Milliseconds;
}

function presentDurations({ requests }: GatewayState, route: RouteName, now: Milliseconds): PresentDurations {
    const longest: PresentDurations = { wait: 0, pause: 0 };
    for (const request of requests.values()) {
        if (request.route.name !== route) {
            continue;
        }
        longest.wait = Math.max(longest.wait, request.firstEventAge ?? now - request.arrivedAt);
        longest.pause = Math.max(longest.pause, longestPauseOf(request, now));
    }
    return longest;
}

/** The longest time that callers took, or have taken so far, for an answer of the route. */
function longestReading(
    { untaken }: RequestDurations,
    route: RouteName,
    { reading }: RouteDurations,
    now: Milliseconds,
): Milliseconds {
    let longest = longestDuration(reading, now) ?? 0;
    for (const answer of untaken.values()) {
        if (answer.route === route) {
            longest = Math.max(longest, now - answer.answeredAt);
        }
    }
    return longest;
}

function durationsOf({ ofRoutes }: RequestDurations, name: RouteName, now: Milliseconds): RouteDurations {
    const known = ofRoutes.get(name);
    if (known !== undefined) {
        return known;
    }
    const created = {
        firstEvent: createLongestDuration(now),
        pause: createLongestDuration(now),
        answer: createLongestDuration(now),
        unanswered: createLongestDuration(now),
        reading: createLongestDuration(now),
    };
    ofRoutes.set(name, created);
    return created;
}
