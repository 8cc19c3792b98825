/**
 * The limits of the platform's rules, as the fuzzer and the soak check them.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** The limits. Times are in milliseconds. */
export const platformLimits = {
    /** How long after a fault of a process or of the store its effects are still allowed for. */
    faultRecovery: 3_000,
    /** How long after a backend server's notice, or the removal of its registration, new work may still reach it. */
    drain: 2_000,
    /** How long after a configuration was written gateways may still use the version before it. */
    configurationApply: 2_000,
    /** How long a run may go on after a later run of the same request has continued from its replica. */
    supersededRunEnd: 400,
    /** How long a run may go on after its caller has left. */
    leftCallerEnd: 500,
    /** How long after its deadline a request may still end. */
    answerSlack: 300,
    /** How long a planned stop may take. */
    stopLimit: 8_000,
    /** How long after a request to stop callers may still send requests that the end of the stop cuts. */
    stopNoticed: 3_000,
    /** How long after the time limit of a planned stop a request that ends without a complete answer counts. */
    stopOver: 1_000,
    /** Repeated calls per request that the retry budget allows. */
    retryRatio: 0.2,
    /** Repeated calls that the retry budget allows on top of the ratio. */
    retrySlack: 8,
    /** How long the delivery of a complete answer may take. */
    readyAnswerDelivery: 1_000,
    /** The period in which requests and repeated calls are counted for the retry budget. */
    retryWindow: 10_000,
    /** How long after a backend server asked a gateway for a pause it is in force. */
    serverPauseReaction: 500,
    /** Requests of a gateway that may reach a server in the rest of the pause. */
    serverPauseSlack: 2,
    /** A part of prompts that crashes engines: how many crashes it may cause, and how often it may reach engines later. */
    deadlyPart: { name: "requests with a deadly part", crashes: 5, slack: 3 },
    /** The same of a request that comes again. */
    deadlyRequest: { name: "repeats of a deadly request", crashes: 3, slack: 3 },
    /** How long after the store acknowledged an evacuation requests may still be sent to the domain. */
    evacuation: 5_000,
    /** How long after a record said that a server is cold gateways may not know it yet. */
    coldRecordApply: 2_000,
    /** The rate of cold servers, in the schedules that have any. */
    coldRate: { perSecond: 2, overshoot: 1.5, tolerance: 5 },
    /** How long after a backend server first declared a limit it is in force. */
    serverLimitApply: 3_000,
    /** How long after a gateway passed on an answer that declares a limit its requests count towards it. */
    serverLimitReaction: 500,
    /** The period in which requests are counted for a server's limit. */
    serverLimitWindow: 4_000,
    /** How many times what the limit allows a server may get in the period, apart from the slack. */
    serverLimitFactor: 1.5,
    /** Requests that a server may get in the period on top of that. */
    serverLimitSlack: 5,
} as const;

/** The share of a planned stop's time limit in which no request may be cut. */
const uninterruptedStopShare = 5 / 6;

/** Whether a planned stop has begun so recently that it may not cut a request yet. */
export function isEarlyInStop(stopRequestedAt: Milliseconds | undefined, now: Milliseconds): boolean {
    return stopRequestedAt !== undefined && now - stopRequestedAt < uninterruptedStopShare * platformLimits.stopLimit;
}

/** A request that ends without a complete answer. */
export interface UnansweredRequest {
    readonly sentAt: Milliseconds;
    /** When its gateway was asked to stop; undefined if it wasn't. */
    readonly stopRequestedAt: Milliseconds | undefined;
    /** Until when a backend server worked on it; undefined if none has begun. */
    readonly workedUntil: Milliseconds | undefined;
}

/**
 * Whether the planned stop of its gateway had to leave a request its answer. The end of a stop may cut a request only if
 * it was sent before callers notice the stop, and a server was still at work on it in the last part of the stop.
 *
 * @example
 * mustSurviveStop({ sentAt: 5_500, stopRequestedAt: 0, workedUntil: 7_750 }, 7_750); // true
 */
export function mustSurviveStop(
    { sentAt, stopRequestedAt, workedUntil }: UnansweredRequest,
    now: Milliseconds,
): boolean {
    const { stopLimit, stopNoticed, stopOver } = platformLimits;
    if (stopRequestedAt === undefined || now - stopRequestedAt > stopLimit + stopOver) {
        return false;
    }
    const wasAtWorkLate = workedUntil !== undefined && !isEarlyInStop(stopRequestedAt, workedUntil);
    return sentAt - stopRequestedAt > stopNoticed || !wasAtWorkLate;
}
