import { type ColdRate, coldShare, undetectedShare } from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

test("all shares together keep the bound, also with two gateways that nobody counted", () => {
    for (const instances of [1, 3, 24, 68]) {
        for (const perSecond of [1, 4, 31, 200]) {
            const rate: ColdRate = { perSecond, overshoot: 1.5, tolerance: 5 };
            const shares = Array.from({ length: instances }, (_, rank) => coldShare(rate, rank, instances));
            const rates = sumOf(shares.map(share => share.perSecond));
            const bursts = sumOf(shares.map(({ burst }) => burst));
            const undetected = undetectedShare(rate, 1);
            const most = rates + bursts + 2 * (undetected.perSecond + undetected.burst);
            assert.ok(Math.abs(rates - perSecond) < 1e-9, `${instances} gateways: ${rates} instead of ${perSecond}`);
            assert.ok(most <= 1.5 * perSecond + 5 + 1e-9, `${instances} gateways, rate ${perSecond}: ${most}`);
            assert.ok(shares.every(({ burst }) => burst === 0 || burst >= 1), "a share of less than one is never used");
        }
    }
});

test("a bound without room for one request beyond the rate reduces the rate", () => {
    const rate: ColdRate = { perSecond: 3, overshoot: 1, tolerance: 0 };
    assert.equal(coldShare(rate, 0, 5), { perSecond: 2, burst: 1 });
    assert.equal(coldShare(rate, 1, 5), { perSecond: 0, burst: 0 });
    assert.equal(coldShare({ ...rate, overshoot: 0.1 }, 0, 5), { perSecond: 0, burst: 1 });
});

test.run();
