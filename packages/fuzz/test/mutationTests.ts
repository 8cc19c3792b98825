/**
 * Tests that the fuzzer finds each mutation of a system.
 */
import { fuzz, type FuzzTarget, type Mutation } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";

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
