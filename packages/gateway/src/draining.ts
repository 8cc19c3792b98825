/**
 * A planned stop: the balancer is told at once, requests are served until it has looked away, and the process ends when
 * the last answer is out.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { expectedOutput, type RequestHead } from "./messages.js";
import { reportToPeers } from "./peers.js";
import { failRequest } from "./requests.js";
import type { Route } from "./routingConfiguration.js";
import type { GatewayState } from "./state.js";
import { logDecision, type Transaction } from "./transaction.js";

/** The balancer asks each second and needs two misses; new channels come until then. */
const balancerDetectionTime: Milliseconds = 3_200;
/** Time kept before the process is ended from outside, for the last answers to reach their callers. */
const finalAnswersTime: Milliseconds = 250;

const minimumRetryAfter: Milliseconds = 20;
/** What a request of a plain service, or the first event of a stream, may need. */
const shortWorkTime: Milliseconds = 1_000;
/** How long after the request to stop an estimate of the output decides; the balancer looks away by then. */
const estimatesTrustedFor: Milliseconds = 2_500;
/** Estimates of an output are right at the median only; so much longer a stream may take. */
const durationSafetyFactor = 1.5;

/** Whether a request that came during a planned stop would be cut off by it; another instance can serve it whole. */
export function cannotFinishBeforeStop(
    state: GatewayState,
    route: Route,
    head: RequestHead,
    now: Milliseconds,
): boolean {
    if (state.stopRequestedAt === undefined) {
        return false;
    }
    const left = state.stopRequestedAt + state.options.stopLimit - finalAnswersTime - now;
    // Once other instances take the channels, there is no reason to risk that an output is longer than estimated.
    const isLate = now - state.stopRequestedAt >= estimatesTrustedFor;
    const tokens = isLate ? head.maximumTokens : expectedOutput(head);
    const streaming = route.isStream ? durationSafetyFactor * tokens * state.timePerToken : 0;
    return shortWorkTime + streaming > left;
}

/** When a caller that was refused for a planned stop finds another instance: once the balancer has looked away. */
export function retryAfterStop(state: GatewayState, now: Milliseconds): Milliseconds {
    const noticed = (state.stopRequestedAt ?? now) + balancerDetectionTime;
    return Math.max(minimumRetryAfter, noticed - now);
}

/** Begins a planned stop. */
export function handleStopRequested(transaction: Transaction): void {
    const { state, now, effects } = transaction;
    if (state.stopRequestedAt !== undefined) {
        return;
    }
    state.stopRequestedAt = now;
    logDecision(transaction, "info", "stop_requested", { requests: state.requests.size });
    reportToPeers(transaction);
    effects.push({ kind: "startDraining" });
}

/** Ends the process once nothing is left to do, or the time for it is over. */
export function checkStop(transaction: Transaction): void {
    const { state, now, effects } = transaction;
    if (state.stopRequestedAt === undefined || state.hasExited) {
        return;
    }
    const elapsed = now - state.stopRequestedAt;
    const isOver = elapsed >= state.options.stopLimit - finalAnswersTime;
    if (isOver) {
        [...state.requests.values()].forEach(request =>
            failRequest(transaction, request, "leaving", "the instance was stopped before the answer was complete")
        );
    }
    if (isOver || (elapsed >= balancerDetectionTime && state.requests.size === 0)) {
        state.hasExited = true;
        logDecision(transaction, "info", "stopping", { elapsed: Math.round(elapsed) });
        effects.push({ kind: "exit" });
    }
}
