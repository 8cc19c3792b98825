/**
 * Fuzzes gateways whose backend servers run calls and lose the answers. For longer runs, use
 * `npm run fuzz -- --system lost-answers`.
 */
import { lostAnswerPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testSchedules } from "./mutationTests.js";

testSchedules(lostAnswerPlatformSystem, "with lost answers", { seed: 1, runs: 500, steps: 60 });

test.run();
