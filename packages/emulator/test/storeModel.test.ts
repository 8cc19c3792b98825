/**
 * Tests of the model of the store: records that nobody acknowledged, and reads from beyond the end.
 */
import {
    type BeyondEndAnswer,
    operatorTopic,
    type StoreAnswer,
    StoreModel,
    VirtualClock,
    VirtualNetwork,
    VirtualStore,
} from "@verbenaspring/emulator";
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

test.run();
