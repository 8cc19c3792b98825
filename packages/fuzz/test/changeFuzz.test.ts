/**
 * Fuzzes gateways of which the store turns some away while the configuration and the servers change. For longer runs,
 * use `npm run fuzz -- --system changes`.
 */
import { changeMutations, changePlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 300;
const steps = 60;

testSchedules(changePlatformSystem, "in which gateways learn changes from each other", { seed: 53_001, runs, steps });

testMutations(changePlatformSystem, changeMutations, { runs, steps });

test.run();
