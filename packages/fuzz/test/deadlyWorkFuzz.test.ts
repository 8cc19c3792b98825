/**
 * Fuzzes gateways while parts of prompts and requests crash servers. For longer runs, use `npm run fuzz -- --system deadly`.
 */
import { deadlyWorkMutations, deadlyWorkPlatformSystem, fuzz } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testMutations } from "./mutationTests.js";

const runs = 500;
const steps = 60;

test(`no promise is broken in ${runs} schedules with parts and requests that crash servers`, () => {
    const { failure } = fuzz(deadlyWorkPlatformSystem, { seed: 1, runs, steps });
    assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
});

testMutations(deadlyWorkPlatformSystem, deadlyWorkMutations, { runs, steps });

test.run();
