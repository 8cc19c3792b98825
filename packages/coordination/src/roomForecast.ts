/**
 * Decides whether work starts at once, waits for room, or is refused, from the memory that is in use now and the pace at
 * which it is given back.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** How full an engine may be made, as shares of its memory. */
export interface AdmissionLimits {
    /** Long work grows for seconds; what it will need must be free beside the growth of the others. */
    readonly long: number;
    /** Short work has gone before the others have grown. */
    readonly short: number;
}

/** The limits for engines whose load is known to within a report of the other instances. */
export const admissionLimits: AdmissionLimits = { long: 0.9, short: 0.97 };

/** The part of its target latency that a request may wait for room and still be on time. */
const waitingPart = 0.35;

/** What a wait is forecast from. */
export interface CapacityWaitInput {
    /** Requests that wait before this one, over all instances. */
    readonly ahead: number;
    /** Requests at work on all servers of the service. */
    readonly inProgress: number;
    /** How long one takes on average. */
    readonly meanDuration: Milliseconds;
}

/**
 * How long until room is forecast for a request: the requests ahead and itself, at the pace at which work ends.
 *
 * @example
 * const wait = forecastRoom({ ahead: 3, inProgress: 100, meanDuration: 8_000 }); // 320
 */
export function forecastCapacityWait({ ahead, inProgress, meanDuration }: CapacityWaitInput): Milliseconds {
    return Math.round((ahead + 1) * meanDuration / Math.max(1, inProgress));
}

/**
 * Until when a request may wait for room: no longer than it can wait and still be answered on time.
 *
 * @example
 * const giveUpAt = latestStart(arrivedAt, 1_800);
 */
export function latestStart(arrivedAt: Milliseconds, targetLatency: Milliseconds): Milliseconds {
    return arrivedAt + waitingPart * targetLatency;
}
