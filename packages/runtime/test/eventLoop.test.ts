import { createMetrics, createTickMonitor, type LogFields } from "@verbenaspring/runtime";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("late ticks and jumps of the time of day are logged", () => {
    const lines: [string, LogFields | undefined][] = [];
    const metrics = createMetrics();
    const { observe } = createTickMonitor(50, (_, event, fields) => lines.push([event, fields]), metrics);
    observe(1_000, 500_000);
    observe(1_052, 500_052);
    assert.equal(lines, []);
    observe(7_102, 500_102);
    assert.equal(lines.pop(), ["loop_delayed", { delay: 6_000, clockChange: -6_000 }]);
    observe(7_152, 504_152);
    assert.equal(lines.pop(), ["clock_changed", { delay: 0, clockChange: 4_000 }]);
    assert.match(metrics.format(), "verbenaspring_loop_delay_milliseconds_sum 6002");
});

test("what is read after a delay of the loop may have waited as long", () => {
    const { observe, readDelay } = createTickMonitor(50, () => undefined, createMetrics());
    assert.is(readDelay(0), 0);
    [0, 50, 100].forEach(now => observe(now, now));
    assert.is(readDelay(120), 0);
    assert.is(readDelay(900), 750, "in the turn that began before the delay");
    observe(900, 900);
    assert.is(readDelay(910), 710, "in the turn after it");
    observe(950, 950);
    assert.is(readDelay(960), 0);
});

test.run();
