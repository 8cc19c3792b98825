/**
 * Fuzzes gateways that stop, several at once, while servers are replaced and nothing fails: guards against requests that
 * are accepted late in a planned stop and cut at its end. For longer runs, use `npm run fuzz -- --system stops`.
 */
import { mustSurviveStop, platformLimits, stopPlatformSystem } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testSchedules } from "./mutationTests.js";

testSchedules(stopPlatformSystem, "of planned stops", { seed: 1, runs: 300, steps: 60 });

const { stopLimit, stopNoticed, stopOver } = platformLimits;
const cutAt = stopLimit - 250;

/** Whether the stop, requested at 0, had to leave a request its answer that was still at work when it was cut. */
function breaks(sentAt: number, now = cutAt, workedUntil: number | undefined = now): boolean {
    return mustSurviveStop({ sentAt, stopRequestedAt: 0, workedUntil }, now);
}

test("the end of a stop may cut only requests that were sent before callers noticed it", () => {
    assert.equal([-2_000, 0, stopNoticed, stopNoticed + 1, 5_500].map(sentAt => breaks(sentAt)), [
        false,
        false,
        false,
        true,
        true,
    ]);
});

test("no request may be cut before the last sixth of a stop, or after its server was done before that", () => {
    const lastSixth = stopLimit * 5 / 6;
    assert.equal([breaks(0, lastSixth - 1), breaks(0, lastSixth)], [true, false]);
    assert.equal([breaks(0, cutAt, lastSixth - 1), breaks(0, cutAt, lastSixth)], [true, false]);
    assert.ok(mustSurviveStop({ sentAt: 0, stopRequestedAt: 0, workedUntil: undefined }, cutAt));
});

test("a request that was sent late counts until one second after the time limit, and only in a stop", () => {
    assert.equal([breaks(6_000, stopLimit + stopOver), breaks(6_000, stopLimit + stopOver + 1)], [true, false]);
    assert.not(mustSurviveStop({ sentAt: 0, stopRequestedAt: undefined, workedUntil: 1 }, cutAt));
});

test.run();
