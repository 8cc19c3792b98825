/**
 * Short runs of the soak with fixed seeds. Time limits are checked only in runs by hand, since other load on the
 * machine breaks them.
 */
import { runSoak } from "@verbenaspring/soak";
import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";

interface RecordedSeed {
    readonly seed: number;
    /** The defect of the system that a run with this seed found. */
    readonly found: string;
}

const recordedSeeds = JSON.parse(
    readFileSync(new URL("seeds.json", import.meta.url), "utf8"),
) as readonly RecordedSeed[];

for (const { seed, found } of recordedSeeds) {
    test(`no promise is broken under faults of seed ${seed} (${found})`, async () => {
        const { violations } = await runSoak({
            seed,
            seconds: 6,
            gateways: 3,
            callers: 8,
            checksTimeLimits: false,
        });
        assert.equal(violations, []);
    });
}

test("no promise is broken by planned stops that overlap, of seed 1", async () => {
    const { violations } = await runSoak({
        seed: 1,
        seconds: 7,
        gateways: 3,
        callers: 10,
        plan: "stops",
        checksTimeLimits: false,
    });
    assert.equal(violations, []);
});

test("no promise is broken while links between gateways fall behind, of seed 1", async () => {
    const { violations } = await runSoak({
        seed: 1,
        seconds: 6,
        gateways: 3,
        callers: 8,
        plan: "delays",
        checksTimeLimits: false,
    });
    assert.equal(violations, []);
});

test("no promise is broken by stops in turn while streams wait at engines, of seed 1", async () => {
    const { violations } = await runSoak({
        seed: 1,
        seconds: 11,
        gateways: 5,
        callers: 16,
        plan: "rolling",
        checksTimeLimits: false,
    });
    assert.equal(violations, []);
});

test.run();
