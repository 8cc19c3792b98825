/**
 * Fuzzes gateways whose engines break the connections of streams, work on and refuse the first request to stop: a stream that goes
 * on at another engine must not run at both for longer than the rules allow. For longer runs, use
 * `npm run fuzz -- --system detached-runs`.
 */
import { detachedRunMutations, detachedRunPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 300;
const steps = 60;

testSchedules(detachedRunPlatformSystem, "with detached runs", { seed: 1, runs, steps });

testMutations(detachedRunPlatformSystem, detachedRunMutations, { runs, steps });

test.run();
