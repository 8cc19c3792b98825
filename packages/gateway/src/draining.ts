/**
 * A planned stop: the balancer is told at once, requests are served until it has looked away, and the process ends when
 * the last answer is out.
 */
import type { Milliseconds } from "@verbenaspring/model";
import { foreseenOutput, type RequestHead } from "./messages.js";
import { informPeers } from "./peers.js";
import { failRequest } from "./requests.js";
import type { Route } from "./routingConfiguration.js";
import type { GatewayState } from "./state.js";
import { record, type Transaction } from "./transaction.js";

/** The balancer asks each second and needs two misses; new channels come until then. */
const balancerNotice: Milliseconds = 3_200;
/** Time kept before the process is ended from outside, for the last answers to reach their callers. */
const lastAnswersTime: Milliseconds = 250;

const leastReturn: Milliseconds = 20;
/** What a request of a plain service, or the first event of a stream, may need. */
const shortWorkTime: Milliseconds = 1_000;
/** How long after the request to stop an estimate of the output decides; the balancer looks away by then. */
const estimatesTrusted: Milliseconds = 2_500;
/** Estimates of an output are right at the median only; so much longer a stream may take. */
const durationSafety = 1.5;

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
    const left = state.stopRequestedAt + state.options.stopLimit - lastAnswersTime - now;
    // Once other instances take the channels, there is no reason to risk that an output is longer than estimated.
    const isLate = now - state.stopRequestedAt >= estimatesTrusted;
    const tokens = isLate ? head.maximumTokens : foreseenOutput(head);
    const streaming = route.isStream ? durationSafety * tokens * state.tokenPace : 0;
    return shortWorkTime + streaming > left;
}

/** When a caller that was refused for a planned stop finds another instance: once the balancer has looked away. */
export function returnAfterStop(state: GatewayState, now: Milliseconds): Milliseconds {
    const noticed = (state.stopRequestedAt ?? now) + balancerNotice;
    return Math.max(leastReturn, noticed - now);
}

/** Begins a planned stop. */
export function takeStopRequested(transaction: Transaction): void {
    const { state, now, effects } = transaction;
    if (state.stopRequestedAt !== undefined) {
        return;
    }
    state.stopRequestedAt = now;
    record(transaction, "info", "stop_requested", { requests: state.requests.size });
    informPeers(transaction);
    effects.push({ kind: "startDraining" });
}

/** Ends the process once nothing is left to do, or the time for it is over. */
export function tendStop(transaction: Transaction): void {
    const { state, now, effects } = transaction;
    if (state.stopRequestedAt === undefined || state.hasExited) {
        return;
    }
    const elapsed = now - state.stopRequestedAt;
    const isOver = elapsed >= state.options.stopLimit - lastAnswersTime;
    if (isOver) {
        [...state.requests.values()].forEach(request =>
            failRequest(transaction, request, "leaving", "the instance was stopped before the answer was complete")
        );
    }
    if (isOver || (elapsed >= balancerNotice && state.requests.size === 0)) {
        state.hasExited = true;
        record(transaction, "info", "stopping", { elapsed: Math.round(elapsed) });
        effects.push({ kind: "exit" });
    }
}
