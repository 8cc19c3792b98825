/**
 * Limits of the platform's rules, in milliseconds where they are times.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** Limits of the platform's rules. */
export const platformLimits = {
    /** What harmed a process, or the store, counts for so long after it. */
    faultRecovery: 4_000,
    drain: 3_000,
    configurationApply: 3_000,
    oldRunEnd: 400,
    leftCallerEnd: 500,
    answerSlack: 300,
    stopLimit: 8_000,
    retryRatio: 0.2,
    retrySlack: 8,
    /** An answer that a worker has had ready for so long was not passed on. */
    readyAnswer: 1_000,
    retryWindow: 10_000,
} as const;

/** The part of a planned stop after which a request that is still at work may be cut. */
const stopCutPart = 5 / 6;

/** Whether a planned stop has gone on for so short a time that no request may be cut by it. */
export function isEarlyInStop(stopRequestedAt: Milliseconds | undefined, now: Milliseconds): boolean {
    return stopRequestedAt !== undefined && now - stopRequestedAt < stopCutPart * platformLimits.stopLimit;
}
