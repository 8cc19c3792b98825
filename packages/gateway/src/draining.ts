/**
 * A planned stop. The gateway reports itself not ready at once, serves requests until the load balancer has removed it,
 * and exits when the last request has its final answer and its caller has taken it.
 */
import type { Milliseconds } from "@verbenaspring/model";
import type { GatewayEvent } from "./event.js";
import { expectedOutput } from "./messages.js";
import { publishAndReport } from "./peers.js";
import { failRequest } from "./requests.js";
import { forecastRequest, shortWorkTime } from "./routeDurations.js";
import type { Route } from "./routingConfiguration.js";
import type { GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The balancer probes readiness every second and needs two failures; until then it opens new channels. */
const balancerDetectionTime: Milliseconds = 3_200;
/** Time reserved before the process is killed, for the last answers to reach their callers. */
const finalAnswersTime: Milliseconds = 250;
/** The part of that time in which the process exits by itself, with answers that callers have not taken. */
const exitTime: Milliseconds = 75;

const minimumRetryAfter: Milliseconds = 20;
/**
 * For this long after the request to stop, the estimated output of a stream decides whether it is accepted; afterwards its
 * maximum output and the recent durations of its route do. By then the balancer sends new channels to other instances.
 */
const estimatesTrustedFor: Milliseconds = 2_500;
/** Estimates are right only at the median, so a stream must fit with this multiple of its estimated duration. */
const durationSafetyFactor = 1.5;

/** Whether a planned stop would cut off a new request, which another instance can serve completely. */
export function cannotFinishBeforeStop(
    state: GatewayState,
    route: Route,
    { head, receivedAt }: Pick<Extract<GatewayEvent, { readonly kind: "requestReceived"; }>, "head" | "receivedAt">,
    now: Milliseconds,
): boolean {
    if (state.stopRequestedAt === undefined) {
        return false;
    }
    if (state.hasExited) {
        return true;
    }
    const remaining = state.stopRequestedAt + state.options.stopLimit - finalAnswersTime - now;
    // Once other instances get the new channels, there is no reason to accept what is not known to end in time.
    const isLate = now - state.stopRequestedAt >= estimatesTrustedFor;
    if (isLate) {
        return forecastRequest(state, route, head, receivedAt, now) > remaining;
    }
    const streamTime = route.isStream ? durationSafetyFactor * expectedOutput(head) * state.timePerToken : 0;
    return shortWorkTime + streamTime > remaining;
}

/** Time until a caller refused for a planned stop reaches another instance: when the balancer has removed this one. */
export function retryAfterStop(state: GatewayState, now: Milliseconds): Milliseconds {
    const removedAt = (state.stopRequestedAt ?? now) + balancerDetectionTime;
    return Math.max(minimumRetryAfter, removedAt - now);
}

/** Starts a planned stop. A repeated request to stop has no effect. */
export function handleStopRequested(transaction: Transaction): void {
    const { state, now, effects } = transaction;
    if (state.stopRequestedAt !== undefined) {
        return;
    }
    state.stopRequestedAt = now;
    logDecision(transaction, "info", "stop_requested", { requests: state.requests.size });
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
    if (elapsed >= state.options.stopLimit - finalAnswersTime) {
        [...state.requests.values()].forEach(request =>
            failRequest(transaction, request, "leaving", "the instance was stopped before the answer was complete")
        );
    }
    const isIdle = state.requests.size === 0 && state.unsentAnswers === 0;
    if (elapsed >= state.options.stopLimit - exitTime || (elapsed >= balancerDetectionTime && isIdle)) {
        state.hasExited = true;
        logDecision(transaction, "info", "stopping", {
            elapsed: Math.round(elapsed),
            unsentAnswers: state.unsentAnswers,
        });
        effects.push({ kind: "exit" });
    }
}
