import { Fleet, type ServerPlan, serverTopic, StoreModel, VirtualClock } from "@verbenaspring/emulator";
import { test } from "uvu";
import * as assert from "uvu/assert";

const plan: ServerPlan = { kind: "plain", id: "p1", service: "plain", slots: 2, workTime: 10 };

function createFleet() {
    const clock = new VirtualClock();
    const store = new StoreModel();
    const fleet = new Fleet({ clock, store, observeRun: () => undefined, heartbeatInterval: 1_000 });
    const entry = () => {
        const [newest] = store.newestRecords(serverTopic);
        return newest === undefined
            ? undefined
            : JSON.parse(Buffer.from(newest.value).toString("utf8")) as {
                state: string;
                born: number;
                sequence: number;
            };
    };
    return { clock, store, fleet, entry };
}

test("a worker registers with each heartbeat; after a crash its entry lapses with the third that is missed", () => {
    const { clock, fleet, entry } = createFleet();
    fleet.add(plan);
    clock.advanceTo(2_500);
    assert.is(entry()?.sequence, 3);
    fleet.crash("p1");
    clock.advanceTo(4_500);
    assert.ok(entry() !== undefined);
    clock.advanceTo(5_500);
    assert.is(entry(), undefined);
});

test("a worker that leaves gives notice, serves on, and is then gone", () => {
    const { clock, fleet, entry } = createFleet();
    const model = fleet.add(plan);
    fleet.leave("p1", 3_000);
    assert.is(entry()?.state, "draining");
    clock.advanceTo(2_900);
    assert.is(fleet.findByAddress(model.options.address), model);
    clock.advanceTo(3_100);
    assert.is(fleet.findByAddress(model.options.address), undefined);
    assert.is(entry(), undefined);
});

test("a worker that starts anew under its id has a later birth, and its counts start anew", () => {
    const { clock, fleet, entry } = createFleet();
    fleet.add(plan);
    clock.advanceTo(3_500);
    const before = entry()!;
    fleet.restart("p1");
    assert.ok(entry()!.born > before.born);
    assert.is(entry()!.sequence, 1);
});

test("deleted history is told by the oldest offset that is kept, and the newest records stay", () => {
    const store = new StoreModel();
    store.append("t", "a", Buffer.from("1"));
    store.append("t", "a", Buffer.from("2"));
    store.compact("t");
    assert.equal(store.read("t", 0), { kind: "deleted", first: 2 });
    assert.equal(store.newestRecords("t").map(({ value, offset }) => [Buffer.from(value).toString(), offset]), [[
        "2",
        1,
    ]]);
});

test.run();
