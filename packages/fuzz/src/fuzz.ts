/**
 * Runs many schedules with fast-check and shrinks the first one that breaks a promise.
 */
import { type GatewayInterceptors, passThroughInterceptors } from "@verbenaspring/emulator";
import * as fc from "fast-check";
import { type Schedule, schedules } from "./actions.js";
import { BrokenPromiseError, type PromiseName } from "./oracle.js";
import {
    changeSchedules,
    coldSchedules,
    configurationSchedules,
    deadlyWorkSchedules,
    delaySchedules,
    detachedRunSchedules,
    evacuationSchedules,
    limitSchedules,
    lostAnswerSchedules,
    noticeSchedules,
    overlaidGateways,
    pauseSchedules,
    type PlatformSchedule,
    platformSchedules,
    releaseSchedules,
    rollingStopSchedules,
    runPlatformSchedule,
    snapshotSchedules,
    stopSchedules,
    unacknowledgedSchedules,
    unframedSchedules,
} from "./platform/index.js";
import { runSchedule } from "./runSchedule.js";
import { defaultWorldPolicies, type WorldPolicies } from "./world.js";

/** How long a failing schedule may be shrunk, in milliseconds. */
const maxShrinkTime = 60_000;

/** A system under test. */
export interface FuzzTarget<GeneratedSchedule, Implementation> {
    /** Generates schedules of up to `steps` steps. */
    readonly schedules: (steps: number) => fc.Arbitrary<GeneratedSchedule>;
    /**
     * Runs a schedule.
     *
     * @throws BrokenPromiseError where a promise is broken
     */
    readonly run: (schedule: GeneratedSchedule, implementation: Implementation) => void;
    /** The implementation as it is used outside the fuzzer. */
    readonly defaultImplementation: Implementation;
}

/** Entries and sidecars with links between them. */
export const linkedSystem: FuzzTarget<Schedule, WorldPolicies> = {
    schedules,
    run: runSchedule,
    defaultImplementation: defaultWorldPolicies,
};

/** Gateways on the users' platform. */
export const platformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    schedules: platformSchedules,
    run: runPlatformSchedule,
    defaultImplementation: passThroughInterceptors,
};

/** Gateways on the users' platform, whose configuration changes often. */
export const configurationPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: configurationSchedules,
};

/** Gateways on the users' platform, whose links and answers from the store fall behind while the configuration changes. */
export const delayPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: delaySchedules,
};

/** Gateways on the users' platform, with many changes while the store turns gateways away and deletes its history. */
export const changePlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: changeSchedules,
};

/** Gateways on the users' platform, whose store loses configurations that nobody acknowledged or stores them late. */
export const unacknowledgedPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: unacknowledgedSchedules,
};

/** Gateways on the users' platform, whose store takes the records and the end of a page at different times. */
export const snapshotPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: snapshotSchedules,
};

/** Gateways on the users' platform, with parts of prompts that crash engines. */
export const deadlyWorkPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: deadlyWorkSchedules,
};

/** Gateways on the users' platform, whose failure domains are evacuated. */
export const evacuationPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: evacuationSchedules,
};

/** Gateways on the users' platform, with backend servers that are cold at times. */
export const coldPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: coldSchedules,
};

/** Gateways on the users' platform, with backend servers that declare limits. */
export const limitedPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: limitSchedules,
};

/** Gateways on the users' platform, with backend servers that give notice in their answers. */
export const noticePlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: noticeSchedules,
};

/** Gateways on the users' platform, with backend servers that ask for pauses. */
export const pausePlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: pauseSchedules,
};

/** Gateways on the users' platform, with backend servers that run calls and lose the answers. */
export const lostAnswerPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: lostAnswerSchedules,
};

/** Gateways on the users' platform, with engines that break connections, work on and refuse to stop. */
export const detachedRunPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: detachedRunSchedules,
};

/** Gateways on the users' platform, with backend servers of several software versions. */
export const releasePlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: releaseSchedules,
};

/** Gateways on the users' platform, with engines that write streams with neither a length nor chunks. */
export const unframedPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: unframedSchedules,
};

/** Gateways on the users' platform, with planned stops, replacements and changes only. */
export const stopPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: stopSchedules,
};

/** Gateways on the users' platform that stop one after the other, while streams wait at engines. */
export const rollingStopPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    schedules: rollingStopSchedules,
};

/** Gateways on the users' platform, of which each has links to some others only. */
export const overlaidPlatformSystem: FuzzTarget<PlatformSchedule, GatewayInterceptors> = {
    ...platformSystem,
    run: (schedule, implementation) => runPlatformSchedule(schedule, implementation, overlaidGateways),
};

/** Options of {@link fuzz}. */
export interface FuzzOptions<Implementation> {
    readonly seed: number;
    /** How many schedules to run. */
    readonly runs: number;
    /** The maximum number of steps of a schedule. */
    readonly steps: number;
    /** Runs only the schedule at this path, which a failing run prints. */
    readonly path?: string;
    /** The implementation to test; by default the target's own. */
    readonly implementation?: Implementation;
    /** Ignores violations of all other promises; by default none is ignored. */
    readonly onlyPromises?: readonly PromiseName[];
    /** Whether a failing schedule is shrunk; true by default. */
    readonly shrinks?: boolean;
    /** Called after each schedule with the number of schedules run. */
    readonly onRun?: (runs: number) => void;
}

/** The result of {@link fuzz}. */
export interface FuzzResult<GeneratedSchedule> {
    readonly runs: number;
    readonly failure: FuzzFailure<GeneratedSchedule> | undefined;
}

/** The first schedule that failed, shrunk unless shrinking was off. */
export interface FuzzFailure<GeneratedSchedule> {
    readonly error: BrokenPromiseError | Error;
    readonly schedule: GeneratedSchedule;
    readonly path: string;
}

/**
 * Runs schedules until one breaks a promise or all have run.
 *
 * @example
 * const { failure } = fuzz(platformSystem, { seed: 1, runs: 1_000, steps: 60 });
 */
export function fuzz<GeneratedSchedule, Implementation>(
    target: FuzzTarget<GeneratedSchedule, Implementation>,
    options: FuzzOptions<Implementation>,
): FuzzResult<GeneratedSchedule> {
    let runs = 0;
    let failedAt: number | undefined;
    const property = fc.property(target.schedules(options.steps), schedule => {
        if (failedAt !== undefined && performance.now() - failedAt > maxShrinkTime) {
            return;
        }
        try {
            runIgnoringOtherPromises(target, schedule, options);
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
            error: details.errorInstance as Error,
            schedule,
            path: details.counterexamplePath!,
        },
    };
}

function runIgnoringOtherPromises<GeneratedSchedule, Implementation>(
    target: FuzzTarget<GeneratedSchedule, Implementation>,
    schedule: GeneratedSchedule,
    { implementation, onlyPromises }: FuzzOptions<Implementation>,
): void {
    try {
        target.run(schedule, implementation ?? target.defaultImplementation);
    }
    catch (error) {
        if (
            onlyPromises === undefined || !(error instanceof BrokenPromiseError) || onlyPromises.includes(error.promise)
        ) {
            throw error;
        }
    }
}
