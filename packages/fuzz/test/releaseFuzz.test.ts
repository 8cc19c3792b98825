/**
 * Fuzzes gateways while servers of several software versions serve. For longer runs, use
 * `npm run fuzz -- --system releases`.
 */
import { releaseMutations, releasePlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 500;
const steps = 60;

testSchedules(releasePlatformSystem, "with releases", { seed: 3, runs, steps });

testMutations(releasePlatformSystem, releaseMutations, { runs, steps });

test.run();
