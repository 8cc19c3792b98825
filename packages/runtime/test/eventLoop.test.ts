import { createMetrics, createTickMonitor, type LogFields } from "@verbenaspring/runtime";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("late ticks and jumps of the time of day are logged", () => {
    const lines: [string, LogFields | undefined][] = [];
    const metrics = createMetrics();
    const observeTick = createTickMonitor(50, (_, event, fields) => lines.push([event, fields]), metrics);
    observeTick(1_000, 500_000);
    observeTick(1_052, 500_052);
    assert.equal(lines, []);
    observeTick(7_102, 500_102);
    assert.equal(lines.pop(), ["loop_delayed", { delay: 6_000, clockChange: -6_000 }]);
    observeTick(7_152, 504_152);
    assert.equal(lines.pop(), ["clock_changed", { delay: 0, clockChange: 4_000 }]);
    assert.match(metrics.format(), "verbenaspring_loop_delay_milliseconds_sum 6002");
});

test.run();
