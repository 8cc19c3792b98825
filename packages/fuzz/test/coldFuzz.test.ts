/**
 * Fuzzes gateways whose backend servers are cold at times. For longer runs, use `npm run fuzz -- --system cold`.
 */
import { coldMutations, coldPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 300;
const steps = 60;

testSchedules(coldPlatformSystem, "with cold servers", { seed: 1, runs, steps });

testMutations(coldPlatformSystem, coldMutations, { runs, steps });

test.run();
