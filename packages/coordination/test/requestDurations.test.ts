import { createLongestDuration, longestDuration, recordDuration } from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";

test("the longest recent duration is known for at least 30 s and for 60 s at most", () => {
    const record = createLongestDuration(0);
    assert.is(longestDuration(record, 0), undefined);
    recordDuration(record, 1_200, 1_000);
    recordDuration(record, 40, 2_000);
    assert.is(longestDuration(record, 30_500), 1_200);
    recordDuration(record, 50, 31_000);
    assert.is(longestDuration(record, 50_000), 1_200);
    assert.is(longestDuration(record, 61_000), 50);
    assert.is(longestDuration(record, 200_000), undefined);
});

test.run();
