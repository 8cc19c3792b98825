/**
 * Runs many schedules with fast-check, and shrinks the first that breaks a promise.
 */
import * as fc from "fast-check";
import { type Schedule, schedules } from "./actions.js";
import { PromiseBroken, type PromiseName } from "./oracle.js";
import { runSchedule } from "./runSchedule.js";
import { defaultWorldParts, type WorldParts } from "./world.js";

/** Milliseconds spent on making a failing schedule smaller. */
const longestShrinking = 60_000;

/** What to run. */
export interface FuzzOptions {
    readonly seed: number;
    readonly runs: number;
    readonly steps: number;
    /** The path to one schedule, as a failing run prints it. */
    readonly path?: string;
    readonly parts?: WorldParts;
    /** Breaches of other promises are passed over; by default none is. */
    readonly only?: readonly PromiseName[];
    /** False leaves a failing schedule as it was drawn; by default it is made smaller. */
    readonly shrinks?: boolean;
    /** Called after each schedule. */
    readonly onRun?: (runs: number) => void;
}

/** What came of it. */
export interface FuzzResult {
    readonly runs: number;
    readonly failure: FuzzFailure | undefined;
}

/** The first breach, shrunk. */
export interface FuzzFailure {
    readonly broken: PromiseBroken | Error;
    readonly schedule: Schedule;
    readonly path: string;
}

/**
 * Runs schedules until one breaks a promise or all have run.
 *
 * @example
 * const { failure } = fuzz({ seed: 1, runs: 1_000, steps: 60 });
 */
export function fuzz(options: FuzzOptions): FuzzResult {
    let runs = 0;
    let failedAt: number | undefined;
    const property = fc.property(schedules(options.steps), schedule => {
        if (failedAt !== undefined && performance.now() - failedAt > longestShrinking) {
            return;
        }
        try {
            runUnlessPassedOver(schedule, options);
        }
        catch (error) {
            failedAt ??= performance.now();
            throw error;
        }
        runs++;
        options.onRun?.(runs);
    });
    const details = fc.check(property, {
        seed: options.seed,
        numRuns: options.runs,
        path: options.path,
        endOnFailure: options.path !== undefined || options.shrinks === false,
        interruptAfterTimeLimit: undefined,
    });
    if (!details.failed) {
        return { runs, failure: undefined };
    }
    const [schedule] = details.counterexample!;
    return {
        runs,
        failure: {
            broken: details.errorInstance as Error,
            schedule,
            path: details.counterexamplePath!,
        },
    };
}

function runUnlessPassedOver(schedule: Schedule, { parts, only }: FuzzOptions): void {
    try {
        runSchedule(schedule, parts ?? defaultWorldParts);
    }
    catch (error) {
        if (only === undefined || !(error instanceof PromiseBroken) || only.includes(error.promise)) {
            throw error;
        }
    }
}
