/**
 * Fuzzes gateways whose backend servers say in their answers that they leave. For longer runs, use
 * `npm run fuzz -- --system notices`.
 */
import { noticeMutations, noticePlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 500;
const steps = 60;

testSchedules(noticePlatformSystem, "with notices", { seed: 1, runs, steps });

testMutations(noticePlatformSystem, noticeMutations, { runs, steps });

test.run();
