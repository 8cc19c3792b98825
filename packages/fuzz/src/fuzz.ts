/**
 * Runs many schedules with fast-check, and shrinks the first that breaks a promise.
 */
import { type GatewayInterceptors, passThroughInterceptors } from "@verbenaspring/emulator";
import * as fc from "fast-check";
import { type Schedule, schedules } from "./actions.js";
import { PromiseBroken, type PromiseName } from "./oracle.js";
import { type PlatformSchedule, platformSchedules, runPlatformSchedule } from "./platform/index.js";
import { runSchedule } from "./runSchedule.js";
import { defaultWorldParts, type WorldParts } from "./world.js";

/** Milliseconds spent on making a failing schedule smaller. */
const longestShrinking = 60_000;

/** A system under test. */
export interface FuzzSubject<Drawn, Parts> {
    /** Schedules of up to so many steps. */
    readonly schedules: (steps: number) => fc.Arbitrary<Drawn>;
    /** Throws {@link PromiseBroken} where a promise is broken. */
    readonly run: (schedule: Drawn, parts: Parts) => void;
    readonly soundParts: Parts;
}

/** Entries and sidecars with links between them. */
export const linkedSystem: FuzzSubject<Schedule, WorldParts> = {
    schedules,
    run: runSchedule,
    soundParts: defaultWorldParts,
};

/** Gateways on the users' platform. */
export const platformSystem: FuzzSubject<PlatformSchedule, GatewayInterceptors> = {
    schedules: platformSchedules,
    run: runPlatformSchedule,
    soundParts: passThroughInterceptors,
};

/** What to run. */
export interface FuzzOptions<Parts> {
    readonly seed: number;
    readonly runs: number;
    readonly steps: number;
    /** The path to one schedule, as a failing run prints it. */
    readonly path?: string;
    readonly parts?: Parts;
    /** Breaches of other promises are passed over; by default none is. */
    readonly only?: readonly PromiseName[];
    /** False leaves a failing schedule as it was drawn; by default it is made smaller. */
    readonly shrinks?: boolean;
    /** Called after each schedule. */
    readonly onRun?: (runs: number) => void;
}

/** What came of it. */
export interface FuzzResult<Drawn> {
    readonly runs: number;
    readonly failure: FuzzFailure<Drawn> | undefined;
}

/** The first breach, shrunk. */
export interface FuzzFailure<Drawn> {
    readonly broken: PromiseBroken | Error;
    readonly schedule: Drawn;
    readonly path: string;
}

/**
 * Runs schedules until one breaks a promise or all have run.
 *
 * @example
 * const { failure } = fuzz(platformSystem, { seed: 1, runs: 1_000, steps: 60 });
 */
export function fuzz<Drawn, Parts>(
    subject: FuzzSubject<Drawn, Parts>,
    options: FuzzOptions<Parts>,
): FuzzResult<Drawn> {
    let runs = 0;
    let failedAt: number | undefined;
    const property = fc.property(subject.schedules(options.steps), schedule => {
        if (failedAt !== undefined && performance.now() - failedAt > longestShrinking) {
            return;
        }
        try {
            runUnlessPassedOver(subject, schedule, options);
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

function runUnlessPassedOver<Drawn, Parts>(
    subject: FuzzSubject<Drawn, Parts>,
    schedule: Drawn,
    { parts, only }: FuzzOptions<Parts>,
): void {
    try {
        subject.run(schedule, parts ?? subject.soundParts);
    }
    catch (error) {
        if (only === undefined || !(error instanceof PromiseBroken) || only.includes(error.promise)) {
            throw error;
        }
    }
}
