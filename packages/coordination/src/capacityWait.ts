/**
 * Limits and forecasts that decide whether work starts at once, waits for capacity or is refused. They use the memory
 * load of an engine and the rate at which requests end.
 */
import type { Milliseconds } from "@verbenaspring/model";

/** Highest share of an engine's memory that may be in use after work of each kind has started. */
export interface AdmissionLimits {
    /** Long work grows for seconds. Memory must remain for its growth and for that of the other runs. */
    readonly long: number;
    /** Short work ends before the other runs have grown much. */
    readonly short: number;
}

/** Limits for engines whose load is known except for what other instances have not reported yet. */
export const admissionLimits: AdmissionLimits = { long: 0.9, short: 0.97 };

/** Share of the target latency that a request may wait for capacity and still be answered on time. */
const maxWaitShare = 0.35;

/** The input of {@link forecastCapacityWait}. */
export interface CapacityWaitInput {
    /** Requests of all instances that wait before this one. */
    readonly ahead: number;
    /** Requests in progress on all servers of the service. */
    readonly inProgress: number;
    /** Mean duration of one request. */
    readonly meanDuration: Milliseconds;
}

/**
 * Forecasts the time until there is capacity for a request: as long as it takes for all requests ahead of it and one
 * more to end.
 *
 * @example
 * const wait = forecastCapacityWait({ ahead: 3, inProgress: 100, meanDuration: 8_000 }); // 320 ms
 */
export function forecastCapacityWait({ ahead, inProgress, meanDuration }: CapacityWaitInput): Milliseconds {
    return Math.round((ahead + 1) * meanDuration / Math.max(1, inProgress));
}

/**
 * Returns the latest time at which a request may start and still be answered within its target latency.
 *
 * @example
 * const waitUntil = latestStart(arrivedAt, 1_800);
 */
export function latestStart(arrivedAt: Milliseconds, targetLatency: Milliseconds): Milliseconds {
    return arrivedAt + maxWaitShare * targetLatency;
}
