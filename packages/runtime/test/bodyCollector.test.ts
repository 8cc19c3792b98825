/** Guards against bodies that share memory, now that blocks are used again, and against blocks that are never released. */
import { BodyCollector } from "@verbenaspring/runtime";
import { test } from "uvu";
import * as assert from "uvu/assert";

const chunkBytes = 4_096;
const bodyBytes = 4 * 1024 * 1024;

function collect(fill: number): BodyCollector {
    const collector = new BodyCollector();
    for (let length = 0; length < bodyBytes; length += chunkBytes) {
        collector.append(Buffer.alloc(chunkBytes, fill));
    }
    return collector;
}

test("bodies that are given up one after the other take the memory of one", () => {
    const before = process.memoryUsage().arrayBuffers;
    let peak = 0;
    for (let index = 0; index < 10; index++) {
        const collector = new BodyCollector();
        const chunk = Buffer.alloc(1_000);
        while (collector.byteLength < bodyBytes) {
            collector.append(chunk);
        }
        peak = Math.max(peak, process.memoryUsage().arrayBuffers - before);
        collector.clear();
    }
    assert.ok(peak < 2 * bodyBytes, `${peak} bytes`);
});

test("a body that was taken is not changed by the next one", () => {
    const first = collect(1).take();
    const second = collect(2);
    assert.ok(first.every(byte => byte === 1));
    assert.ok(second.take().every(byte => byte === 2));
});

test("a body of one chunk is not copied, and a collector without chunks gives an empty body", () => {
    const chunk = Buffer.from("body");
    const collector = new BodyCollector();
    collector.append(chunk);
    assert.is(collector.take(), chunk);
    assert.is(collector.heldBytes, 0);
    assert.is(new BodyCollector().take().length, 0);
});

test.run();
