/**
 * Tests of the model of the store: records that nobody acknowledged, reads from beyond the end, and snapshots.
 */
import {
    type BeyondEndAnswer,
    operatorTopic,
    type PageTiming,
    type StoreAnswer,
    StoreModel,
    VirtualClock,
    VirtualNetwork,
    VirtualStore,
} from "@verbenaspring/emulator";
import { snapshotCalls } from "@verbenaspring/platform";
import { test } from "uvu";
import * as assert from "uvu/assert";

const bytes = (text: string): Uint8Array => Buffer.from(text);

function createStore(beyondEndAnswer: BeyondEndAnswer) {
    const clock = new VirtualClock();
    const store = new VirtualStore(clock, new VirtualNetwork(clock, () => 0), new StoreModel());
    store.beyondEndAnswer = beyondEndAnswer;
    const answers: StoreAnswer[] = [];
    const read = (from: number, wait: number): void =>
        store.read({ reader: "a", topic: "configuration", from, wait }, answer => answers.push(answer));
    return { clock, store, answers, read };
}

test("records after the last acknowledged one are lost, and their offsets are given out again", () => {
    const model = new StoreModel();
    model.append("keyed.op", "config", bytes("1"));
    model.appendUnacknowledged("keyed.op", "config", bytes("2"));
    model.appendUnacknowledged("keyed.op", "config", bytes("3"));
    model.compact("keyed.op");
    assert.is(model.loseUnacknowledged("keyed.op"), 2);
    assert.is(model.endOffset("keyed.op"), 1);
    model.append("keyed.op", "config", bytes("4"));
    assert.equal(model.newestRecords("keyed.op").map(({ value, offset }) => [String(value), offset]), [["4", 1]]);
    assert.equal(model.read("keyed.op", 1), {
        kind: "records",
        records: [{ key: "config", value: bytes("4") }],
        first: 1,
        end: 2,
    });
});

test("an acknowledged record, and all before it, are never lost", () => {
    const model = new StoreModel();
    model.appendUnacknowledged("keyed.op", "config", bytes("1"));
    model.append("keyed.op", "config", bytes("2"));
    assert.is(model.loseUnacknowledged("keyed.op"), 0);
    assert.is(model.endOffset("keyed.op"), 2);
});

test("a read from beyond the end gets 410 at once, or the end of the topic once it has waited", () => {
    for (
        const [beyondEndAnswer, failure, answeredAt] of [["gone", "records_deleted", 50], [
            "end",
            "beyond_end",
            350,
        ]] as const
    ) {
        const { clock, store, answers, read } = createStore(beyondEndAnswer);
        store.model.appendUnacknowledged(operatorTopic, "config", bytes("1"));
        store.model.loseUnacknowledged(operatorTopic);
        read(1, 300);
        clock.advanceTo(answeredAt);
        assert.equal(answers, [{ kind: "failed", failure }], beyondEndAnswer);
    }
});

test("a read that waits behind a lost record finds nothing where another one is stored in its place", () => {
    const { clock, store, answers, read } = createStore("end");
    store.model.appendUnacknowledged(operatorTopic, "config", bytes("1"));
    read(1, 300);
    clock.advanceTo(100);
    store.model.loseUnacknowledged(operatorTopic);
    store.model.append(operatorTopic, "config", bytes("2"));
    clock.advanceTo(200);
    assert.equal(answers, []);
    clock.advanceTo(350);
    assert.equal(answers, [{ kind: "page", items: [], next: 1, isAtEnd: true }]);
});

test("a read that waits gets 410 where its record is deleted with the history", () => {
    const { clock, store, answers, read } = createStore("end");
    store.model.deletesHistory = () => true;
    read(0, 300);
    clock.advanceTo(100);
    store.model.append(operatorTopic, "config", bytes("1"));
    clock.advanceTo(150);
    assert.equal(answers, [{ kind: "failed", failure: "records_deleted" }]);
});

/** Reads a snapshot of two records, of which the first is replaced meanwhile. Returns what it has. */
function readSnapshotBesideAppend(first: PageTiming["first"], appendedAt: number) {
    const { clock, store } = createStore("end");
    store.pageTiming = { first, gap: 100 };
    store.pageSize = 1;
    ["a", "b"].forEach(key => store.model.append(operatorTopic, key, bytes("1")));
    const snapshots: (readonly string[])[] = [];
    store.readSnapshot({ reader: "a", topic: "configuration", calls: snapshotCalls() }, answer => {
        assert.ok(answer.kind === "page");
        const newest = answer.items.map(({ key, value }) => `${key}=${String(value)}`).sort();
        snapshots.push([...newest, `next=${answer.next}`]);
    });
    clock.advanceTo(appendedAt);
    store.model.append(operatorTopic, "a", bytes("2"));
    clock.advanceTo(5_000);
    return snapshots;
}

test("a snapshot lacks no record before its end where records and end of a page are of different moments", () => {
    for (const first of ["records", "end"] as const) {
        for (let appendedAt = 10; appendedAt < 600; appendedAt += 20) {
            const [snapshot] = readSnapshotBesideAppend(first, appendedAt);
            const expected = snapshot.includes("next=3")
                ? ["a=2", "b=1", "next=3"]
                : ["a=1", "b=1", "next=2"];
            assert.equal(snapshot, expected, `${first} first, appended at ${appendedAt}`);
        }
    }
});

test.run();
