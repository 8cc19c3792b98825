/** Records that a process has read and that the log then loses: their offsets are given out again. */
import {
    adoptSnapshot,
    emptyClaims,
    emptyConfiguration,
    foldClaims,
    foldConfiguration,
    takeSnapshot,
} from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { changeAt, claim, put } from "./builders.js";

// Both have folded the log through the same offset, and what they have is compared by offset alone.
test("a process that has folded a lost change learns the one that took its offset", () => {
    const end = changeAt(1, put("c", -1));
    const other = foldConfiguration(emptyConfiguration, [changeAt(0, put("b", -1)), end], 0).state;
    const before = foldConfiguration(emptyConfiguration, [changeAt(0, put("a", -1))], 0).state;
    const read = foldConfiguration(before, [end], 0).state;
    const state = adoptSnapshot(read, takeSnapshot(other));
    assert.equal([...state.documents.keys()].sort(), [...other.documents.keys()].sort());
});

test("of two claims of a key, of which one was lost, only one wins at all processes", () => {
    const [one, other] = [emptyClaims(), emptyClaims()];
    foldClaims(one, [{ offset: 0, value: [claim("k", "lost")] }], 0);
    const stored = { offset: 0, value: [claim("k", "stored")] };
    foldClaims(other, [stored], 0);
    foldClaims(one, [stored], 0);
    assert.equal(
        [...one.held.values()].map(({ claimId }) => claimId),
        [...other.held.values()].map(({ claimId }) => claimId),
    );
});

test.run();
