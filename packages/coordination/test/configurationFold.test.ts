import {
    adoptSnapshot,
    emptyConfiguration,
    findDocument,
    foldConfiguration,
    takeSnapshot,
} from "@verbenaspring/coordination";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { changeAt, put, remove } from "./builders.js";

test("of two concurrent changes, the first in the log applies", () => {
    const { state, outcomes } = foldConfiguration(emptyConfiguration, [
        changeAt(0, put("a", -1)),
        changeAt(1, put("a", -1)),
    ], 0);
    assert.equal(outcomes.map(outcome => outcome.applied), [true, false]);
    assert.is(state.documents.get("drain/a")?.revision, 0);
});

test("a duplicate of an old change does not restore a deleted document", () => {
    const created = put("a", -1);
    const records = [changeAt(0, created), changeAt(1, remove("a", 0)), changeAt(2, created)];
    const { state } = foldConfiguration(emptyConfiguration, records, 0);
    assert.is(findDocument(state, "drain", "a"), undefined);
});

test("records that are read twice are ignored the second time", () => {
    const records = [changeAt(0, put("a", -1)), changeAt(1, remove("a", 0))];
    const once = foldConfiguration(emptyConfiguration, records, 0).state;
    assert.equal(foldConfiguration(once, records, 0).state, once);
});

test("changes after a gap stay pending until a snapshot covers the gap", () => {
    const full = foldConfiguration(emptyConfiguration, [changeAt(0, put("a", -1)), changeAt(1, put("b", -1))], 0).state;
    const change = changeAt(2, remove("a", 0));
    const pending = foldConfiguration(emptyConfiguration, [change], 2).state;
    assert.is(pending.through, -1);
    const snapshot = { offset: 3, value: { type: "snapshot", snapshot: takeSnapshot(full) } } as const;
    const { state } = foldConfiguration(pending, [snapshot], 2);
    assert.is(state.through, 3);
    assert.is(findDocument(state, "drain", "a"), undefined);
    assert.ok(findDocument(state, "drain", "b"));
});

test("a snapshot that covers only a part of the gap is not used", () => {
    const old = foldConfiguration(emptyConfiguration, [changeAt(0, put("a", -1))], 0).state;
    const snapshot = { offset: 6, value: { type: "snapshot", snapshot: takeSnapshot(old) } } as const;
    assert.is(foldConfiguration(emptyConfiguration, [snapshot], 5).state.through, -1);
});

test("an older configuration of a peer is not adopted", () => {
    const old = foldConfiguration(emptyConfiguration, [changeAt(0, put("a", -1))], 0).state;
    const current = foldConfiguration(old, [changeAt(1, remove("a", 0))], 0).state;
    assert.is(adoptSnapshot(current, takeSnapshot(old)), current);
});

test.run();
