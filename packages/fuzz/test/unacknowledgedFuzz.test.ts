/**
 * Fuzzes gateways whose store loses configurations that nobody acknowledged, and stores older ones after newer ones. For longer
 * runs, use `npm run fuzz -- --system unacknowledged`.
 */
import { unacknowledgedMutations, unacknowledgedPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 300;
const steps = 100;

testSchedules(unacknowledgedPlatformSystem, "with a store that loses what nobody acknowledged", {
    seed: 1,
    runs,
    steps,
});
testMutations(unacknowledgedPlatformSystem, unacknowledgedMutations, { runs, steps });

test.run();
