/**
 * Fuzzes gateways while failure domains are evacuated. For longer runs, use `npm run fuzz -- --system evacuations`.
 */
import { evacuationMutations, evacuationPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 300;
const steps = 60;

testSchedules(evacuationPlatformSystem, "with evacuations", { seed: 1, runs, steps });

testMutations(evacuationPlatformSystem, evacuationMutations, { runs, steps });

test.run();
