import {
    type ColdPlan,
    Fleet,
    operatorTopic,
    OperatorWrites,
    type ServerPlan,
    serverTopic,
    StoreModel,
    VirtualClock,
} from "@verbenaspring/emulator";
import { test } from "uvu";
import * as assert from "uvu/assert";

const plan: ServerPlan = { kind: "plain", id: "p1", service: "plain", slots: 2, workTime: 10 };

function createFleet(cold?: ColdPlan) {
    const clock = new VirtualClock();
    const store = new StoreModel();
    const fleet = new Fleet({ clock, store, observeRun: () => undefined, heartbeatInterval: 1_000, cold });
    const readRegistration = () => {
        const [newest] = store.newestRecords(serverTopic);
        return newest === undefined
            ? undefined
            : JSON.parse(Buffer.from(newest.value).toString("utf8")) as {
                state: string;
                born: number;
                sequence: number;
                zone: string;
                coldRemainingMs: number;
            };
    };
    return { clock, store, fleet, readRegistration };
}

test("where a supervisor keeps the listener, connections are accepted after a crash until the time is over or a server starts", () => {
    const { clock, fleet } = createFleet();
    const { address } = fleet.add(plan).options;
    assert.not(fleet.isListening(address));
    fleet.crash("p1", 500);
    clock.advanceTo(499);
    assert.equal([fleet.isListening(address), fleet.findByAddress(address)], [true, undefined]);
    clock.advanceTo(500);
    assert.not(fleet.isListening(address));
    fleet.restart("p1", undefined, address);
    fleet.crash("p1", 500);
    fleet.restart("p1", undefined, address);
    assert.not(fleet.isListening(address));
});

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

test("a server that leaves without a notice is unregistered at once, and for good, and keeps running for the delay", () => {
    const { clock, fleet, readRegistration } = createFleet();
    const model = fleet.add(plan);
    clock.advanceTo(500);
    fleet.withdraw("p1", 3_000);
    assert.equal([readRegistration(), fleet.drainPublishedAt("p1")], [undefined, 500]);
    clock.advanceTo(3_400);
    assert.equal([readRegistration(), fleet.findByAddress(model.options.address)], [undefined, model]);
    clock.advanceTo(3_600);
    assert.equal([readRegistration(), fleet.findByAddress(model.options.address)], [undefined, undefined]);
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

const cold: ColdPlan = { rate: { perSecond: 2, overshoot: 1.5, tolerance: 5 }, duration: 2_000 };

// Without the right remaining time in records, the fuzzer would expect a limit that gateways can't know of.
test("a server is cold after its start and after it was made cold, and its record states for how much longer", () => {
    const { clock, fleet, readRegistration } = createFleet(cold);
    fleet.add(plan);
    assert.is(readRegistration()?.coldRemainingMs, 2_000);
    assert.is(fleet.coldPeriodOf("p1")?.isFromStart, true);
    clock.advanceTo(2_000);
    assert.equal([readRegistration()?.coldRemainingMs, fleet.coldPeriodOf("p1")], [0, undefined]);
    clock.advanceTo(2_500);
    fleet.returnDomain("north");
    assert.is(fleet.coldPeriodOf("p1")?.publishedAt, undefined);
    clock.advanceTo(3_000);
    assert.is(readRegistration()?.coldRemainingMs, 1_500);
    assert.is(fleet.coldPeriodOf("p1")?.publishedAt, 3_000);
});

test("a cold server crashes under far more requests than it may get, and starts again in its domain", () => {
    const { clock, fleet, readRegistration } = createFleet(cold);
    fleet.add(plan);
    fleet.add({ ...plan, id: "p2" });
    const born = readRegistration()!.born;
    for (let request = 0; request <= 16; request++) {
        assert.is(fleet.liveServers().length, 2, `after ${request} requests`);
        fleet.recordArrival("p1", { target: "p2" });
        fleet.recordArrival("p1", { target: "p1" });
    }
    assert.is(fleet.liveServers().length, 1);
    clock.advanceTo(3_500);
    assert.is(fleet.liveServers().length, 2);
    assert.equal([fleet.failureDomainOf("p1"), fleet.failureDomainOf("p2")], ["north", "south"]);
    assert.ok(readRegistration()!.born > born);
    assert.is(readRegistration()?.sequence, 1);
});

// An oracle that takes an evacuation for acknowledged too early would blame gateways for the store's outage.
test("the operator's writes are acknowledged in order, and not before the store is available", () => {
    const clock = new VirtualClock();
    const store = new StoreModel();
    const acknowledged: string[] = [];
    const operator = new OperatorWrites(clock, store, () => clock.now >= 1_000);
    operator.evacuate("north", () => acknowledged.push(`evacuated at ${clock.now}`));
    operator.withdraw("north", () => acknowledged.push(`withdrawn at ${clock.now}`));
    clock.advanceTo(900);
    assert.equal([acknowledged, store.endOffset(operatorTopic)], [[], 0]);
    clock.advanceTo(2_000);
    assert.equal(acknowledged, ["evacuated at 1000", "withdrawn at 1000"]);
    const page = store.read(operatorTopic, 0);
    assert.equal(
        page.kind === "records" && page.records.map(({ key, value }) => [key, Buffer.from(value).toString()]),
        [["evacuate/north", "{}"], ["evacuate/north", ""]],
    );
});

test.run();
