/**
 * When a server is asked again to stop a run: soon, since the run may work beside the next one of its request, and less and
 * less often, since the server may not be there any more.
 */
import { backoff, type Random } from "@verbenaspring/coordination";
import type { Milliseconds } from "@verbenaspring/model";

/** A server that has not answered for this long is asked again: the call or its answer may be lost. */
const firstAskInterval: Milliseconds = 150;
/** A server that refused a call, or could not be reached, is asked again after this time: it may be copying the run. */
const firstFailurePause: Milliseconds = 50;
/** Both grow up to this. */
const longestPause: Milliseconds = 1_000;

/** The calls about one run so far, and when the next one is due. */
export interface StopSchedule {
    readonly asks: number;
    /** How many of the calls were refused, or ended without an answer. */
    readonly failures: number;
    readonly nextAskAt: Milliseconds;
}

/**
 * The schedule of a run that was just left.
 *
 * @param isAsked whether its server was asked to stop it a moment ago
 * @example
 * let schedule = scheduleStop(false, now); // due at once
 * schedule = recordAsk(schedule, now, random);
 * schedule = recordFailure(schedule, now, random);
 */
export function scheduleStop(isAsked: boolean, now: Milliseconds): StopSchedule {
    return { asks: isAsked ? 1 : 0, failures: 0, nextAskAt: isAsked ? now + firstAskInterval : now };
}

/** The schedule after a call, of which nothing is known yet. */
export function recordAsk(schedule: StopSchedule, now: Milliseconds, random: Random): StopSchedule {
    const asks = schedule.asks + 1;
    const interval = backoff(Math.max(0, asks - 2), firstAskInterval, longestPause, random);
    return { ...schedule, asks, nextAskAt: now + interval };
}

/** The schedule after a call that was refused, or ended without an answer. */
export function recordFailure(schedule: StopSchedule, now: Milliseconds, random: Random): StopSchedule {
    const pause = backoff(schedule.failures, firstFailurePause, longestPause, random);
    return { ...schedule, failures: schedule.failures + 1, nextAskAt: Math.min(schedule.nextAskAt, now + pause) };
}

/** The schedule with the next call due at once: the server has just shown that it answers. */
export function askAtOnce(schedule: StopSchedule, now: Milliseconds): StopSchedule {
    return { ...schedule, nextAskAt: now };
}
