import { isCapacityShort, largestSize, type RecentSizes, recordSize } from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";

const size = (tokens: number): { promptTokens: number; memoryTokens: number; } => ({
    promptTokens: tokens,
    memoryTokens: 2 * tokens,
});

test("the largest size is that of the recent requests of the kind, or the request's own", () => {
    const recent: RecentSizes = { sizes: [] };
    assert.equal(largestSize(recent, size(300)), size(300));
    [700, 5_000, 900, 400].forEach(tokens => recordSize(recent, size(tokens)));
    assert.equal(largestSize(recent, size(300)), size(300), "four sizes say little");
    recordSize(recent, size(800));
    assert.equal(largestSize(recent, size(300)), size(5_000));
    assert.equal(largestSize(recent, size(6_000)), size(6_000));
    assert.equal(largestSize(recent, { promptTokens: 100, memoryTokens: 12_000 }), {
        promptTokens: 5_000,
        memoryTokens: 12_000,
    });
});

test("a large request is forgotten when requests have become smaller", () => {
    const recent: RecentSizes = { sizes: [] };
    recordSize(recent, size(5_000));
    Array.from({ length: 60 }, () => recordSize(recent, size(500)));
    assert.equal(largestSize(recent, size(300)), size(500));
});

test("capacity is short when memory is, or when most engines process prompts", () => {
    assert.not.ok(isCapacityShort({ runLoad: 0.4, readingShare: 0.3 }));
    assert.ok(isCapacityShort({ runLoad: 0.8, readingShare: 0 }));
    assert.ok(isCapacityShort({ runLoad: 0.1, readingShare: 0.9 }));
});

test.run();
