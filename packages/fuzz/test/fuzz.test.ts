/**
 * Fuzzes entries and sidecars with fixed seeds, and checks that the fuzzer finds every mutation. For longer runs, use
 * `npm run fuzz` and `npm run mutations`.
 */
import { fuzz, linkedSystem, mutations } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";

const runs = 500;
const steps = 60;

for (const seed of [1, 2]) {
    test(`no promise is broken in ${runs} schedules of seed ${seed}`, () => {
        const { failure } = fuzz(linkedSystem, { seed, runs, steps });
        assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
    });
}

for (const { name, promises, implementation } of mutations) {
    test(`the fuzzer finds the mutation "${name}"`, () => {
        const { failure } = fuzz(linkedSystem, {
            seed: 1,
            runs,
            steps,
            implementation,
            onlyPromises: [...promises, "invariant"],
            shrinks: false,
        });
        assert.ok(failure, `${runs} schedules broke nothing`);
    });
}

test.run();
