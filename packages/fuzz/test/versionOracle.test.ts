/**
 * Tests of the check which versions gateways use, by what callers see of them.
 */
import { platformLimits, VersionOracle } from "@verbenaspring/fuzz";
import { test } from "uvu";
import * as assert from "uvu/assert";

const [one, other] = [{ name: "one" }, { name: "other" }];
const later = platformLimits.configurationApply + 1;

function createOracle({ isBound = false, areLinked = false } = {}) {
    const violations: string[] = [];
    const clock = { now: 0 };
    const oracle = new VersionOracle<typeof one>({
        mustMeetTimeLimits: () => isBound,
        areLinked: () => areLinked,
        fail: (promise, detail) => violations.push(`${promise}: ${detail}`),
    }, () => clock.now);
    oracle.recordVersion(0);
    return { oracle, clock, violations };
}

test("a gateway that lacks a version that another one with a link showed long before breaks the promise", () => {
    for (const areLinked of [true, false]) {
        const { oracle, clock, violations } = createOracle({ areLinked });
        oracle.recordVersion(0);
        oracle.startProbe(one, 1, 0)(true);
        clock.now = later;
        oracle.startProbe(other, 1, later)(false);
        const detail = "other lacks the route of version 1, though 1 is in force";
        assert.equal(violations, areLinked ? [`configuration_in_force: ${detail}`] : []);
    }
});

test("a moved path that its old service serves breaks the promise sooner than a route that is dropped later", () => {
    const { oracle, violations } = createOracle({ isBound: true });
    oracle.recordVersion(0);
    oracle.startProbe(one, 0, later, "route")(true);
    oracle.startProbe(one, 0, later, "key")(true);
    assert.equal(violations, []);
    oracle.startProbe(one, 0, later, "moved")(true);
    assert.is(violations.length, 1);
});

// The record of a version may be deleted before a gateway that lags reads it, if an older one was written after it.
test("a version that an older one was written after binds nobody, until a newer one is due", () => {
    const { oracle, clock, violations } = createOracle({ isBound: true });
    oracle.recordVersion(0);
    oracle.recordRewrite();
    oracle.recordVersion(later);
    clock.now = later + 1;
    assert.ok(oracle.isOverwritten(clock.now));
    oracle.startProbe(one, 1, clock.now)(false);
    assert.equal(violations, []);
    clock.now = 3 * later;
    assert.not(oracle.isOverwritten(clock.now));
    oracle.startProbe(one, 2, clock.now)(false);
    assert.equal(violations, ["configuration_in_force: one lacks the route of version 2, though 2 is in force"]);
});

test.run();
