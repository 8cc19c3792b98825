/**
 * A planned stop. The gateway reports itself not ready at once, serves requests until the load balancer has removed it,
 * and exits when the last request has its final answer and its caller has taken it.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { expectedOutput, type RequestHead } from "./messages.js";
import { publishAndReport } from "./peers.js";
import { failRequest } from "./requests.js";
import { forecastRequest, type RequestArrival, shortWorkTime } from "./routeDurations.js";
import type { Route } from "./routingConfiguration.js";
import type { GatewayState } from "./state.js";
import { passOnWhole } from "./streams.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The balancer probes readiness every second and needs two failures; until then it opens new channels. */
const balancerDetectionTime: Milliseconds = 3_200;
/**
 * The share of a stop's time that is reserved before the process is killed, for the last answers to reach their callers: a
 * process with a part of a core may stand still for much of a tenth of a second at each step.
 */
const finalAnswersShare = 1 / 16;
/** The part of that share in which the process exits by itself, with answers that callers have not taken. */
const exitShare = 1 / 32;
/** The share of a stop's time in which requests that run are not to fail. */
const uninterruptedShare = 5 / 6;
/** The least times that these shares reserve. */
const minimumFinalAnswersTime: Milliseconds = 250;
const minimumExitTime: Milliseconds = 75;

const minimumRetryAfter: Milliseconds = 20;
/**
 * For this long after the request to stop, the estimated output of a stream decides whether it is accepted; afterwards time
 * limits, its maximum output and the recent durations of its route do. By then the balancer sends new channels to other
 * instances, unless too many of them stop at the same time.
 */
const estimatesTrustedFor: Milliseconds = 2_500;
/** The longest expected time for which the first event of a stream is held until its last one. */
const maximumHoldTime: Milliseconds = 1_000;
/** Estimates are right only at the median, so a stream must fit with this multiple of its estimated duration. */
const durationSafetyFactor = 1.5;

/** Whether a request ends before a planned stop does: its time limits or forecasts say so, or it may not. */
export type StopFit = "by_time_limit" | "by_forecast" | "too_long";

/** What decides whether a request is accepted in a planned stop, and how its stream is passed on. */
export interface StopForecast {
    readonly fit: StopFit;
    /** How long the request may take. */
    readonly duration: Milliseconds;
    /** The time until the remaining requests fail. */
    readonly remaining: Milliseconds;
    /** Whether the stop has lasted so long that the balancer sends new channels to other instances. */
    readonly isLate: boolean;
}

/** Forecasts whether a request ends before a planned stop does; undefined if none was requested. */
export function forecastInStop(
    state: GatewayState,
    route: Route,
    { head, ...arrival }: RequestArrival & { readonly head: RequestHead; },
    now: Milliseconds,
): StopForecast | undefined {
    const { stopRequestedAt } = state;
    if (stopRequestedAt === undefined) {
        return undefined;
    }
    const isLate = now - stopRequestedAt + state.stopDoubt >= estimatesTrustedFor;
    const remaining = state.hasExited ? -Infinity : stopRequestedAt + finalAnswersAfter(state) - now;
    if (!isLate) {
        const streamTime = route.isStream ? durationSafetyFactor * expectedOutput(head) * state.timePerToken : 0;
        const duration = shortWorkTime + streamTime;
        return { fit: duration > remaining ? "too_long" : "by_forecast", duration, remaining, isLate };
    }
    const { atMost, expected, output } = forecastRequest(state, route, head, arrival, now);
    if (atMost <= remaining) {
        return { fit: "by_time_limit", duration: atMost, remaining, isLate };
    }
    const fit = expected > remaining || output > maximumHoldTime ? "too_long" : "by_forecast";
    return { fit, duration: Math.min(atMost, expected), remaining, isLate };
}

/** Whether a planned stop would cut off a new request, which another instance can serve completely. */
export function isCutByStop(forecast: StopForecast | undefined): boolean {
    return forecast?.fit === "too_long";
}

/**
 * Whether a stream is passed on only when it is complete. An engine may take longer than any forecast; the caller then gets
 * a whole answer that says so, and not a part of a stream.
 */
export function isHeldInStop(forecast: StopForecast | undefined): boolean {
    return forecast?.isLate === true && forecast.fit === "by_forecast";
}

/** From the request to stop until the remaining requests fail. */
function finalAnswersAfter({ options: { stopLimit }, stopDoubt }: GatewayState): Milliseconds {
    return stopLimit - Math.max(minimumFinalAnswersTime, finalAnswersShare * stopLimit) - stopDoubt;
}

/** From the request to stop until the process exits, whatever is left. */
function exitAfter({ options: { stopLimit }, stopDoubt }: GatewayState): Milliseconds {
    return stopLimit - Math.max(minimumExitTime, exitShare * stopLimit) - stopDoubt;
}

/**
 * How much earlier than it was read the request to stop is taken to have been sent. The process is killed by the time since
 * then; but requests that run are not to fail long before that if it was sent later.
 */
function boundStopDoubt(state: GatewayState, readDelay: Milliseconds): Milliseconds {
    const latest = finalAnswersAfter(state) - uninterruptedShare * state.options.stopLimit;
    return Math.max(0, Math.min(readDelay, latest));
}

/** Time until a caller refused for a planned stop reaches another instance: when the balancer has removed this one. */
export function retryAfterStop(state: GatewayState, now: Milliseconds): Milliseconds {
    const removedAt = (state.stopRequestedAt ?? now) + balancerDetectionTime;
    return Math.max(minimumRetryAfter, removedAt - now);
}

/** Starts a planned stop. A repeated request to stop has no effect. */
export function handleStopRequested(transaction: Transaction, readDelay: Milliseconds): void {
    const { state, now, effects } = transaction;
    if (state.stopRequestedAt !== undefined) {
        return;
    }
    state.stopRequestedAt = now;
    state.stopDoubt = boundStopDoubt(state, readDelay);
    logDecision(transaction, "info", "stop_requested", {
        requests: state.requests.size,
        readDelay: Math.round(readDelay),
    });
    publishAndReport(transaction);
    effects.push({ kind: "startDraining" });
}

/**
 * Exits once no request is left, callers have taken all answers and the balancer has removed this instance. Shortly before
 * the process is killed the remaining requests fail; answers that callers still read go on a little longer.
 */
export function checkStop(transaction: Transaction): void {
    const { state, now, effects } = transaction;
    if (state.stopRequestedAt === undefined || state.hasExited) {
        return;
    }
    const elapsed = now - state.stopRequestedAt;
    if (elapsed >= finalAnswersAfter(state) && state.requests.size > 0) {
        for (const request of [...state.requests.values()]) {
            if (!passOnWhole(transaction, request)) {
                failRequest(transaction, request, "leaving", "the instance was stopped before the answer was complete");
            }
        }
        // Whether callers have taken these answers is reported later.
        if (elapsed < exitAfter(state)) {
            return;
        }
    }
    const isIdle = state.requests.size === 0 && state.unsentAnswers === 0;
    if (elapsed >= exitAfter(state) || (elapsed >= balancerDetectionTime && isIdle)) {
        state.hasExited = true;
        logDecision(transaction, "info", "stopping", {
            elapsed: Math.round(elapsed),
            unsentAnswers: state.unsentAnswers,
        });
        effects.push({ kind: "exit" });
    }
}
