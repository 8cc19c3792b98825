/**
 * Short runs of the soak with fixed seeds. Bounds of time are left to runs by hand: a busy machine breaks them.
 */
import { runSoak } from "@verbenaspring/soak";
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";

interface KeptSeed {
    readonly seed: number;
    /** What a run with the seed found once. */
    readonly found: string;
}

const kept = JSON.parse(readFileSync(new URL("seeds.json", import.meta.url), "utf8")) as readonly KeptSeed[];

for (const { seed, found } of kept) {
    test(`no promise is broken under faults of seed ${seed} (${found})`, async () => {
        const { violations: breaches } = await runSoak({
            seed,
            seconds: 6,
            gateways: 3,
            callers: 8,
            checksTimeLimits: false,
        });
        assert.equal(breaches, []);
    });
}

test.run();
