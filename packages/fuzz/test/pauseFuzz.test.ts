/**
 * Fuzzes gateways whose backend servers ask for pauses. For longer runs, use
 * `npm run fuzz -- --system pauses`.
 */
import { fuzz, pauseMutations, pausePlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testMutations } from "./mutationTests.js";

const runs = 500;
const steps = 60;

test(`no promise is broken in ${runs} schedules with pauses`, () => {
    const { failure } = fuzz(pausePlatformSystem, { seed: 1, runs, steps });
    assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
});

testMutations(pausePlatformSystem, pauseMutations, { runs, steps });

test.run();
