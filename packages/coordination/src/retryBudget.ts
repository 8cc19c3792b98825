/**
 * Bounds how often requests are sent a second time, so that repeats don't add to an overload. Each instance spends a
 * part of what all may spend together: the share that its own requests earn, and an even part of the common allowance.
 */
import type { Milliseconds, ServiceName } from "@verbenaspring/model";

/** What all instances may spend together. */
export interface RetryBudgetOptions {
    /** Repeats for each request of the service. */
    readonly ratio: number;
    /** Repeats besides, in each window. */
    readonly slack: number;
    readonly window: Milliseconds;
}

/** What part of the common allowance is this instance's. */
export interface BudgetShare {
    /** Instances that may spend too, those that are out of reach included. */
    readonly instances: number;
    /** Since this instance started: it doesn't know what one before it spent in its place. */
    readonly uptime: Milliseconds;
}

interface Slice {
    readonly startsAt: Milliseconds;
    requests: number;
    repeats: number;
}

/** The repeats of one instance. Owned and changed by the loop. */
export interface RetryBudget {
    options: RetryBudgetOptions;
    readonly slices: Map<ServiceName, Slice[]>;
}

/** Slices that a window is counted in. */
const slicesPerWindow = 20;
/** The part of the allowance that is spent, since requests at the edge of a window count in another one elsewhere. */
const usedPart = 0.9;

/**
 * Creates a budget from which nothing was spent.
 *
 * @example
 * const budget = createRetryBudget({ ratio: 0.2, slack: 50, window: 10_000 });
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    return { options, slices: new Map() };
}

/** Counts a caller's request. */
export function recordRequest(budget: RetryBudget, service: ServiceName, now: Milliseconds): void {
    currentSlice(budget, service, now).requests++;
}

/** Counts a repeat. */
export function recordRetry(budget: RetryBudget, service: ServiceName, now: Milliseconds): void {
    currentSlice(budget, service, now).repeats++;
}

/**
 * Repeats that this instance may still send in this window.
 *
 * @example
 * if (repeatsLeft(budget, service, { instances: 5, uptime: 60_000 }, now) >= 1) { ... }
 */
export function remainingRetries(
    budget: RetryBudget,
    service: ServiceName,
    { instances, uptime }: BudgetShare,
    now: Milliseconds,
): number {
    const slices = recentSlices(budget, service, now);
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
    const repeats = slices.reduce((sum, slice) => sum + slice.repeats, 0);
    const { ratio, slack, window } = budget.options;
    const share = slack / Math.max(1, instances) * Math.min(1, uptime / window);
    return usedPart * (ratio * requests + share) - repeats;
}

function currentSlice(budget: RetryBudget, service: ServiceName, now: Milliseconds): Slice {
    const slices = recentSlices(budget, service, now);
    const length = budget.options.window / slicesPerWindow;
    const last = slices.at(-1);
    if (last !== undefined && now < last.startsAt + length) {
        return last;
    }
    const slice: Slice = { startsAt: now, requests: 0, repeats: 0 };
    slices.push(slice);
    return slice;
}

function recentSlices(budget: RetryBudget, service: ServiceName, now: Milliseconds): Slice[] {
    const slices = budget.slices.get(service) ?? [];
    budget.slices.set(service, slices);
    while (slices.length > 0 && slices[0].startsAt <= now - budget.options.window) {
        slices.shift();
    }
    return slices;
}
