/**
 * Fuzzes gateways while parts of prompts crash engines. For longer runs, use `npm run fuzz -- --system deadly`.
 */
import { deadlyPartMutations, deadlyPartPlatformSystem, fuzz } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testMutations } from "./mutationTests.js";

const runs = 500;
const steps = 60;

test(`no promise is broken in ${runs} schedules with parts that crash engines`, () => {
    const { failure } = fuzz(deadlyPartPlatformSystem, { seed: 1, runs, steps });
    assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
});

testMutations(deadlyPartPlatformSystem, deadlyPartMutations, { runs, steps });

test.run();
