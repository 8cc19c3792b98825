import { createMetrics } from "@verbenaspring/runtime";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("a labelled gauge has one line for each value that is present when the metrics are formatted", () => {
    const metrics = createMetrics();
    const ages = new Map([["a\"b", 1]]);
    metrics.labelledGauge("age", "domain", () => ages);
    ages.set("c", 2);
    assert.match(metrics.format(), "age{domain=\"a\\\"b\"} 1\nage{domain=\"c\"} 2");
    ages.clear();
    assert.not.match(metrics.format(), "domain");
});

test.run();
