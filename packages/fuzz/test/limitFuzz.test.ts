/**
 * Fuzzes gateways whose backend servers declare limits. For longer runs, use `npm run fuzz -- --system limits`.
 */
import { limitedPlatformSystem, limitMutations } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 500;
const steps = 60;

testSchedules(limitedPlatformSystem, "with limits", { seed: 1, runs, steps });

testMutations(limitedPlatformSystem, limitMutations, { runs, steps });

test.run();
