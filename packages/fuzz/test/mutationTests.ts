/**
 * Tests that no schedule breaks a promise, and that the fuzzer finds each mutation of a system.
 */
import { fuzz, type FuzzTarget, type Mutation } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** How many schedules a test runs, from which seed, and how long they are. */
export interface FuzzTestSize {
    readonly seed: number;
    readonly runs: number;
    readonly steps: number;
}

/**
 * Adds a test that no schedule breaks a promise.
 *
 * @param what completes the name of the test, such as "with limits"
 */
export function testSchedules<Schedule, Implementation>(
    target: FuzzTarget<Schedule, Implementation>,
    what: string,
    { seed, runs, steps }: FuzzTestSize,
): void {
    test(`no promise is broken in ${runs} schedules ${what}`, () => {
        const { failure } = fuzz(target, { seed, runs, steps });
        assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
    });
}

/** Adds a test for each mutation, with schedules of seed 1. */
export function testMutations<Schedule, Implementation>(
    target: FuzzTarget<Schedule, Implementation>,
    mutations: readonly Mutation<Implementation>[],
    { runs, steps }: { readonly runs: number; readonly steps: number; },
): void {
    for (const { name, promises, implementation } of mutations) {
        test(`the fuzzer finds the mutation "${name}"`, () => {
            const { failure } = fuzz(target, {
                seed: 1,
                runs,
                steps,
                implementation,
                onlyPromises: promises,
                shrinks: false,
            });
            assert.ok(failure, `${runs} schedules broke nothing`);
        });
    }
}
