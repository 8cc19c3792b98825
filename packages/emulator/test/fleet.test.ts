import { Fleet, type ServerPlan, serverTopic, StoreModel, VirtualClock } from "@verbenaspring/emulator";
import { test } from "uvu";
import * as assert from "uvu/assert";

const plan: ServerPlan = { kind: "plain", id: "p1", service: "plain", slots: 2, workTime: 10 };

function createFleet() {
    const clock = new VirtualClock();
    const store = new StoreModel();
    const fleet = new Fleet({ clock, store, observeRun: () => undefined, heartbeatInterval: 1_000 });
    const readRegistration = () => {
        const [newest] = store.newestRecords(serverTopic);
        return newest === undefined
            ? undefined
            : JSON.parse(Buffer.from(newest.value).toString("utf8")) as {
                state: string;
                born: number;
                sequence: number;
            };
    };
    return { clock, store, fleet, readRegistration };
}

test("a server registers with each heartbeat; after a crash its registration is deleted with the third missed one", () => {
    const { clock, fleet, readRegistration } = createFleet();
    fleet.add(plan);
    clock.advanceTo(2_500);
    assert.is(readRegistration()?.sequence, 3);
    fleet.crash("p1");
    clock.advanceTo(4_500);
    assert.ok(readRegistration() !== undefined);
    clock.advanceTo(5_500);
    assert.is(readRegistration(), undefined);
});

test("a draining server registers its state, keeps running for the delay, and is then unregistered", () => {
    const { clock, fleet, readRegistration } = createFleet();
    const model = fleet.add(plan);
    fleet.leave("p1", 3_000);
    assert.is(readRegistration()?.state, "draining");
    clock.advanceTo(2_900);
    assert.is(fleet.findByAddress(model.options.address), model);
    clock.advanceTo(3_100);
    assert.is(fleet.findByAddress(model.options.address), undefined);
    assert.is(readRegistration(), undefined);
});

test("a server restarted under its id registers with a higher born and restarts its sequence", () => {
    const { clock, fleet, readRegistration } = createFleet();
    fleet.add(plan);
    clock.advanceTo(3_500);
    const before = readRegistration()!;
    fleet.restart("p1");
    assert.ok(readRegistration()!.born > before.born);
    assert.is(readRegistration()!.sequence, 1);
});

test("a read of deleted history returns the oldest retained offset, and the newest records stay readable", () => {
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
