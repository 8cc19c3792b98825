/**
 * Fuzzes gateways whose engines write streams with neither a length nor chunks, crash, and start again at their addresses: no part
 * of a stream may count as complete. For longer runs, use `npm run fuzz -- --system unframed`.
 */
import { unframedMutations, unframedPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const steps = 60;

testSchedules(unframedPlatformSystem, "with unframed streams", { seed: 1, runs: 100, steps });

testMutations(unframedPlatformSystem, unframedMutations, { runs: 300, steps });

test.run();
