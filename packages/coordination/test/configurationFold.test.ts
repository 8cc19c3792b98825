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

test("of two racing changes the first in the log applies", () => {
    const { state, outcomes } = foldConfiguration(emptyConfiguration, [
        changeAt(0, put("a", -1)),
        changeAt(1, put("a", -1)),
    ], 0);
    assert.equal(outcomes.map(outcome => outcome.applied), [true, false]);
    assert.is(state.documents.get("drain/a")?.revision, 0);
});

test("a copy of an old change does not bring a deleted document back", () => {
    const created = put("a", -1);
    const records = [changeAt(0, created), changeAt(1, remove("a", 0)), changeAt(2, created)];
    const { state } = foldConfiguration(emptyConfiguration, records, 0);
    assert.is(findDocument(state, "drain", "a"), undefined);
});

test("records read twice change nothing", () => {
    const records = [changeAt(0, put("a", -1)), changeAt(1, remove("a", 0))];
    const once = foldConfiguration(emptyConfiguration, records, 0).state;
    assert.equal(foldConfiguration(once, records, 0).state, once);
});

test("behind a gap changes wait for a snapshot that covers it", () => {
    const full = foldConfiguration(emptyConfiguration, [changeAt(0, put("a", -1)), changeAt(1, put("b", -1))], 0).state;
    const change = changeAt(2, remove("a", 0));
    const waiting = foldConfiguration(emptyConfiguration, [change], 2).state;
    assert.is(waiting.through, -1);
    const snapshot = { offset: 3, value: { type: "snapshot", snapshot: takeSnapshot(full) } } as const;
    const { state } = foldConfiguration(waiting, [snapshot], 2);
    assert.is(state.through, 3);
    assert.is(findDocument(state, "drain", "a"), undefined);
    assert.ok(findDocument(state, "drain", "b"));
});

test("a snapshot that leaves part of the gap open is not used", () => {
    const old = foldConfiguration(emptyConfiguration, [changeAt(0, put("a", -1))], 0).state;
    const snapshot = { offset: 6, value: { type: "snapshot", snapshot: takeSnapshot(old) } } as const;
    assert.is(foldConfiguration(emptyConfiguration, [snapshot], 5).state.through, -1);
});

test("a peer's older configuration is not taken", () => {
    const old = foldConfiguration(emptyConfiguration, [changeAt(0, put("a", -1))], 0).state;
    const now = foldConfiguration(old, [changeAt(1, remove("a", 0))], 0).state;
    assert.is(adoptSnapshot(now, takeSnapshot(old)), now);
});

test.run();
