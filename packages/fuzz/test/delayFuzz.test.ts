/**
 * Fuzzes gateways whose links and answers from the store fall behind. For longer runs, use
 * `npm run fuzz -- --system delays`.
 */
import { delayMutations, delayPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 200;
const steps = 100;

testSchedules(delayPlatformSystem, "with links that fall behind", { seed: 1, runs, steps });
testMutations(delayPlatformSystem, delayMutations, { runs, steps });

test.run();
