/**
 * Limits how often requests are retried, so that retries don't amplify an overload. All instances share one budget.
 * Each may use the part that its own requests add to it and an equal part of the fixed allowance.
 */
import type { Milliseconds, ServiceName } from "@verbenaspring/model";

/** The budget of all instances together. */
export interface RetryBudgetOptions {
    /** Retries allowed for each request to the service. */
    readonly ratio: number;
    /** Fixed allowance: further retries per window. */
    readonly slack: number;
    readonly window: Milliseconds;
}

/** Determines this instance's part of the fixed allowance. */
export interface BudgetShare {
    /** Number of instances that share the budget, including unreachable ones. */
    readonly instances: number;
    /**
     * Time since this instance started. During its first window it gets only a part of its share, since it doesn't know
     * how many retries the instance that it replaced has sent.
     */
    readonly uptime: Milliseconds;
}

/** Counts of a part of the window. */
interface Slice {
    readonly startsAt: Milliseconds;
    requests: number;
    retries: number;
}

/** The requests and retries of one instance. Owned by the event loop, which changes it in place. */
export interface RetryBudget {
    options: RetryBudgetOptions;
    readonly slices: Map<ServiceName, Slice[]>;
}

/** Number of slices in a sliding window. */
const slicesPerWindow = 20;
/**
 * Share of the budget that is used. The rest is a margin for requests at the edge of a window, which other instances
 * count in another window.
 */
const usedShare = 0.9;

/**
 * Creates a budget without recorded requests or retries.
 *
 * @example
 * const budget = createRetryBudget({ ratio: 0.2, slack: 50, window: 10_000 });
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    return { options, slices: new Map() };
}

/** Records a caller's request. */
export function recordRequest(budget: RetryBudget, service: ServiceName, now: Milliseconds): void {
    currentSlice(budget, service, now).requests++;
}

/** Records a retry. */
export function recordRetry(budget: RetryBudget, service: ServiceName, now: Milliseconds): void {
    currentSlice(budget, service, now).retries++;
}

/**
 * Returns the number of retries that this instance may still send in the current window. It may be fractional or
 * negative.
 *
 * @example
 * if (remainingRetries(budget, service, { instances: 5, uptime: 60_000 }, now) >= 1) { ... }
 */
export function remainingRetries(
    budget: RetryBudget,
    service: ServiceName,
    { instances, uptime }: BudgetShare,
    now: Milliseconds,
): number {
    const slices = recentSlices(budget, service, now);
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
    const retries = slices.reduce((sum, slice) => sum + slice.retries, 0);
    const { ratio, slack, window } = budget.options;
    const share = slack / Math.max(1, instances) * Math.min(1, uptime / window);
    return usedShare * (ratio * requests + share) - retries;
}

/** Returns the slice of the present time and creates it if needed. */
function currentSlice(budget: RetryBudget, service: ServiceName, now: Milliseconds): Slice {
    const slices = recentSlices(budget, service, now);
    const length = budget.options.window / slicesPerWindow;
    const last = slices.at(-1);
    if (last !== undefined && now < last.startsAt + length) {
        return last;
    }
    const slice: Slice = { startsAt: now, requests: 0, retries: 0 };
    slices.push(slice);
    return slice;
}

/** Returns the slices of the current window and discards older ones. */
function recentSlices(budget: RetryBudget, service: ServiceName, now: Milliseconds): Slice[] {
    const slices = budget.slices.get(service) ?? [];
    budget.slices.set(service, slices);
    while (slices.length > 0 && slices[0].startsAt <= now - budget.options.window) {
        slices.shift();
    }
    return slices;
}
