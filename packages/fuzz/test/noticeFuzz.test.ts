/**
 * Fuzzes gateways whose backend servers say in their answers that they leave. For longer runs, use
 * `npm run fuzz -- --system notices`.
 */
import { fuzz, noticeMutations, noticePlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testMutations } from "./mutationTests.js";

const runs = 500;
const steps = 60;

test(`no promise is broken in ${runs} schedules with notices`, () => {
    const { failure } = fuzz(noticePlatformSystem, { seed: 1, runs, steps });
    assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
});

testMutations(noticePlatformSystem, noticeMutations, { runs, steps });

test.run();
