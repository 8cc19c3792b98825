/**
 * Fuzzes gateways whose backend servers run calls and lose the answers. For longer runs, use
 * `npm run fuzz -- --system lost-answers`.
 */
import { lostAnswerMutations, lostAnswerPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 500;
const steps = 60;

testSchedules(lostAnswerPlatformSystem, "with lost answers", { seed: 1, runs, steps });

testMutations(lostAnswerPlatformSystem, lostAnswerMutations, { runs, steps });

test.run();
