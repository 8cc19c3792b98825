/**
 * Fuzzes gateways whose backend servers ask for pauses. For longer runs, use
 * `npm run fuzz -- --system pauses`.
 */
import { pauseMutations, pausePlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 500;
const steps = 60;

testSchedules(pausePlatformSystem, "with pauses", { seed: 1, runs, steps });

testMutations(pausePlatformSystem, pauseMutations, { runs, steps });

test.run();
