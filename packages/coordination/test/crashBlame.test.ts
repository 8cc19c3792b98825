import { type SuspectKind, suspendedUntil } from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";

const until = (crashTimes: readonly number[], kind: SuspectKind = "rare") => suspendedUntil({ crashTimes, kind });

test("a rare part is suspended after two crashes, for longer after each further one", () => {
    assert.equal([until([]), until([1_000])], [undefined, undefined]);
    assert.equal([until([1_000, 2_000]), until([1_000, 2_000, 20_000])], [17_000, 50_000]);
    const many = Array.from({ length: 30 }, (_, index) => index * 1_000);
    assert.is(until(many), 29_000 + 600_000);
});

test("a common part is suspended after four crashes, for a second and then longer", () => {
    assert.is(until([0, 1_000, 2_000], "common"), undefined);
    assert.equal([until([0, 1_000, 2_000, 3_000], "common"), until([0, 1, 2, 3, 4].map(n => n * 1_000), "common")], [
        4_000,
        8_000,
    ]);
});

test("a whole request is suspended after two crashes, for longer than a part", () => {
    assert.is(until([1_000], "request"), undefined);
    assert.equal([until([0, 1_000], "request"), until([0, 1_000, 61_000], "request")], [61_000, 181_000]);
});

test("servers that crash together count as one crash, in whatever order they were learnt", () => {
    assert.is(until([1_250, 1_000, 1_100]), undefined);
    assert.is(until([1_000, 1_250, 1_301]), 1_301 + 15_000);
});

test.run();
