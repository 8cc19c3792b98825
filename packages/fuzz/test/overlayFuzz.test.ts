/**
 * Fuzzes more gateways than a gateway has links. For longer runs, use `npm run fuzz -- --system overlay`.
 */
import { fuzz, overlaidPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";

const runs = 300;
const steps = 60;

for (const seed of [1, 2]) {
    test(`no promise is broken in ${runs} schedules of seed ${seed} with an overlay`, () => {
        const { failure } = fuzz(overlaidPlatformSystem, { seed, runs, steps });
        assert.is(failure, undefined, failure && `${failure.error.message}, path ${failure.path}`);
    });
}

test.run();
