/**
 * Fuzzes gateways whose configuration changes often. For longer runs, use `npm run fuzz -- --system configurations`.
 */
import { configurationMutations, configurationPlatformSystem, fuzz } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testMutations } from "./mutationTests.js";

const runs = 500;
const steps = 100;

test(`no promise is broken in ${runs} schedules with many configurations`, () => {
    const { failure } = fuzz(configurationPlatformSystem, { seed: 1, runs, steps });
    assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
});

testMutations(configurationPlatformSystem, configurationMutations, { runs, steps });

test.run();
