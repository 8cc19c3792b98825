/**
 * Fuzzes gateways that stop one after the other while streams wait at engines: guards against streams that are accepted
 * late in a planned stop because earlier ones waited less, and cut at its end. For longer runs, use
 * `npm run fuzz -- --system rolling-stops`.
 */
import { rollingStopMutations, rollingStopPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

testSchedules(rollingStopPlatformSystem, "of stops in turn", { seed: 1, runs: 300, steps: 60 });
testMutations(rollingStopPlatformSystem, rollingStopMutations, { runs: 300, steps: 60 });

test.run();
