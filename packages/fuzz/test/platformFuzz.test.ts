/**
 * Fuzzes gateways on the users' platform with fixed seeds, checks that the fuzzer finds every mutation, and runs the
 * recorded schedules. For longer runs, use `npm run fuzz` and `npm run mutations`.
 */
import {
    fuzz,
    platformMutations,
    type PlatformSchedule,
    platformSystem,
    runPlatformSchedule,
} from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testMutations } from "./mutationTests.js";
import { testRecordedSchedules } from "./recordedSchedules.js";

const runs = 500;
const steps = 60;

for (const seed of [1, 2]) {
    test(`no promise is broken in ${runs} schedules of seed ${seed}`, () => {
        const { failure } = fuzz(platformSystem, { seed, runs, steps });
        assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
    });
}

testMutations(platformSystem, platformMutations, { runs, steps });

testRecordedSchedules<PlatformSchedule>("foundOnPlatform", schedule => runPlatformSchedule(schedule));

test.run();
