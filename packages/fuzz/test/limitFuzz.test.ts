/**
 * Fuzzes gateways whose backend servers declare limits. For longer runs, use `npm run fuzz -- --system limits`.
 */
import { fuzz, limitedPlatformSystem, limitMutations } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testMutations } from "./mutationTests.js";

const runs = 500;
const steps = 60;

test(`no promise is broken in ${runs} schedules with limits`, () => {
    const { failure } = fuzz(limitedPlatformSystem, { seed: 1, runs, steps });
    assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
});

testMutations(limitedPlatformSystem, limitMutations, { runs, steps });

test.run();
