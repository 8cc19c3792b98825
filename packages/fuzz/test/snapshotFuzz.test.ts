/**
 * Fuzzes gateways whose store takes the records and the end of a page at different times, and deletes its history. For longer
 * runs, use `npm run fuzz -- --system snapshots`.
 */
import { snapshotMutations, snapshotPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import { testMutations, testSchedules } from "./mutationTests.js";

const runs = 100;
const steps = 100;

testSchedules(snapshotPlatformSystem, "with pages whose records and end are of different times", {
    seed: 1,
    runs,
    steps,
});
testMutations(snapshotPlatformSystem, snapshotMutations, { runs, steps });

test.run();
