import {
    createAllowance,
    limitShare,
    spendAllowance,
    timeUntilAllowed,
    updateAllowance,
} from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("the shares of all instances add up to the limit, and their bursts stay within what is allowed at once", () => {
    for (const instances of [1, 2, 5, 29, 920]) {
        for (const limit of [0, 0.3, 1.4, 12, 500]) {
            const shares = Array.from({ length: instances }, (_, rank) => limitShare(limit, rank, instances));
            const rate = shares.reduce((sum, { perSecond }) => sum + perSecond, 0);
            const burst = shares.reduce((sum, share) => sum + share.burst, 0);
            assert.ok(Math.abs(rate - Math.max(limit, 0.25)) < 1e-9, `${instances} instances, limit ${limit}: ${rate}`);
            assert.ok(burst <= 4 + limit + 1e-9, `${instances} instances, limit ${limit}: ${burst} at once`);
            assert.ok(shares.every(share => share.burst === 0 || share.burst >= 1));
        }
    }
});

test("an allowance grows at its rate up to its burst, and an instance without a share waits forever", () => {
    const share = { perSecond: 0.5, burst: 1.5 };
    const allowance = createAllowance(share, 0);
    assert.is(timeUntilAllowed(allowance, 0), 2_000);
    assert.is(timeUntilAllowed(allowance, 2_000), 0);
    const spent = spendAllowance(allowance, 60_000);
    assert.is(spent.requests, 0.5);
    assert.is(timeUntilAllowed(spent, 60_000), 1_000);
    const without = updateAllowance(spent, limitShare(1, 7, 8), 60_000);
    assert.is(timeUntilAllowed(without, 90_000), Infinity);
});

test.run();
