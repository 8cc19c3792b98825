import type { GatewayEffect } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, configuration, kindsIn, server, TestGateway } from "./gatewayBuilders.js";

const other = identifier<never>("10.1.0.2:8748");
const gatewayWithSeed = (): TestGateway => new TestGateway({ seedAddresses: [other] });
const readBy = (count: number) => ({ reader: identifier<never>("reader"), count });
const readsIn = (effects: readonly GatewayEffect[]) =>
    effects.filter(effect => effect.kind === "readTopic" || effect.kind === "readSnapshot");

test("a gateway opens links to its seeds and to the gateways that it hears of", () => {
    const gateway = gatewayWithSeed();
    assert.ok(kindsIn(gateway.advance(50)).includes("openPeerLink"));
    gateway.receiveReport({ members: [identifier("10.1.0.3:8748"), identifier("10.1.0.1:8748")] });
    const opened = gateway.advance(50).flatMap(effect => effect.kind === "openPeerLink" ? [effect.address] : []);
    assert.equal(opened, ["10.1.0.3:8748"]);
});

test("records that another gateway read are taken, and the log is not read for as long as they are fresh", () => {
    const gateway = new TestGateway();
    gateway.advance(50);
    const topics = (["configuration", "backendServers"] as const).map(name => ({
        name,
        since: 0,
        read: readBy(1),
        through: 9,
        age: 20,
        items: [],
    }));
    const record = server("plain-1");
    const items = {
        configuration: [gateway.item("config", [{ kind: "configuration", configuration: configuration(4) }])],
        backendServers: [gateway.item("plain-1", [{ kind: "backendServer", record }])],
    };
    gateway.receiveReport({ topics }, items);
    assert.is(callsIn(gateway.receiveRequest("r", "confirm")).length, 1);
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "refused" });
    gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "refused" });
    const reads: GatewayEffect[] = [];
    for (let step = 0; step < 9; step++) {
        reads.push(...readsIn(gateway.advance(200)));
        gateway.receiveReport({ topics: topics.map(topic => ({ ...topic, read: readBy(step + 2) })) });
    }
    assert.is(reads.length, 0, "a gateway that the store turned away takes what others read");
});

test("a gateway reads by itself once nothing fresh comes from the others", () => {
    const gateway = new TestGateway();
    gateway.read("configuration", []);
    gateway.read("backendServers", []);
    gateway.receiveReport({});
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "timeout" });
    gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "timeout" });
    const topics = readsIn(gateway.advance(3_500)).map(effect => "topic" in effect ? effect.topic : undefined);
    assert.equal([...new Set(topics)].sort(), ["backendServers", "configuration"]);
});

test("reports of one read, sent round again and again, do not count as fresh: the readers are gone", () => {
    const gateway = new TestGateway();
    gateway.read("configuration", []);
    gateway.read("backendServers", []);
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "timeout" });
    gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "timeout" });
    const reads: GatewayEffect[] = [];
    for (let step = 0; step < 40; step++) {
        reads.push(...readsIn(gateway.advance(50)));
        // Each report was some milliseconds on its way, which its age leaves out.
        const age = Math.max(0, step * 50 - step * 30);
        const topics = (["configuration", "backendServers"] as const)
            .map(name => ({ name, since: 0, read: readBy(1), through: 0, age, items: [] }));
        gateway.receiveReport({ topics });
    }
    assert.ok(reads.length >= 2);
});

test("a configuration from another gateway never takes this one back", () => {
    const gateway = new TestGateway();
    gateway.configure(configuration(8));
    const old = gateway.item("config", [{ kind: "configuration", configuration: configuration(5) }]);
    gateway.receiveReport({
        topics: [{ name: "configuration", since: 0, read: readBy(1), through: 99, age: 0, items: [] }],
    }, {
        configuration: [old],
    });
    assert.is(gateway.state.configuration?.version, 8);
});

test("a report that leaves out records that this gateway lacks is not taken, so that no change is passed over", () => {
    const gateway = new TestGateway();
    gateway.configure(configuration(2));
    const known = gateway.state.followers.configuration.next!;
    gateway.advance(1_500);
    gateway.receiveReport({
        topics: [{ name: "configuration", since: known + 3, read: readBy(1), through: known + 5, age: 0, items: [] }],
    });
    assert.is(gateway.state.followers.configuration.next, known);
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "timeout" });
    const read = readsIn(gateway.advance(1_500)).find(effect => effect.kind === "readTopic");
    assert.ok(read?.kind === "readTopic" && read.from === known, "it reads on from what it has");
});

test("records that did not reach a gateway are sent again once its report shows that it lacks them", () => {
    const gateway = gatewayWithSeed();
    gateway.advance(50);
    gateway.receiveReport({
        topics: [{ name: "configuration", since: 0, read: readBy(1), through: 0, age: 0, items: [] }],
    });
    gateway.configure(configuration(2));
    gateway.receiveReport({
        topics: [{ name: "configuration", since: 0, read: readBy(1), through: 0, age: 0, items: [] }],
    });
    const reports = gateway.advance(600).flatMap(effect => effect.kind === "sendReport" ? [effect.report] : []);
    const topics = reports.flatMap(report => report.topics).filter(topic => topic.name === "configuration");
    assert.ok(topics.some(topic => topic.items.length === 1 && topic.since === 0));
});

test("a change that was read is passed on at once", () => {
    const gateway = gatewayWithSeed();
    gateway.advance(50);
    gateway.receiveReport({});
    const effects = gateway.configure(configuration(2));
    const report = effects.flatMap(effect => effect.kind === "sendReport" ? [effect.report] : [])[0];
    assert.is(report.topics.find(topic => topic.name === "configuration")?.items.length, 1);
});

test("a link that is silent is left, and the loads of its gateway no longer count", () => {
    const gateway = gatewayWithSeed();
    gateway.advance(50);
    gateway.receiveReport({});
    assert.ok(kindsIn(gateway.advance(1_600)).includes("closePeerLink"));
    assert.ok(kindsIn(gateway.advance(3_000)).includes("openPeerLink"));
});

test("a report names only the loads that changed since the one before", () => {
    const gateway = gatewayWithSeed();
    gateway.configure(configuration(1));
    gateway.register(server("engine-1"), server("engine-2"));
    gateway.advance(50);
    gateway.receiveReport({});
    const call = gateway.startStream("r", "note");
    const loads = (effects: readonly GatewayEffect[]) =>
        effects.flatMap(effect => effect.kind === "sendReport" ? effect.report.loads : []);
    assert.is(loads(gateway.advance(200)).length, 1);
    assert.is(loads(gateway.advance(600)).length, 0);
    gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    assert.equal(loads(gateway.advance(200)).map(load => load.inProgress), [0]);
});

test("an older configuration that is written again is neither taken nor passed on", () => {
    const gateway = gatewayWithSeed();
    gateway.read("backendServers", []);
    gateway.configure(configuration(4));
    gateway.configure(configuration(3));
    const told = gateway.advance(50).flatMap(effect => effect.kind === "openPeerLink" ? [effect.report] : []);
    assert.is(told.length, 1);
    gateway.receiveReport({ address: other });
    const reports = gateway.advance(600).flatMap(effect => effect.kind === "sendReport" ? [effect.report] : []);
    const offsets = reports.flatMap(({ topics }) => topics.flatMap(({ items }) => items.map(({ offset }) => offset)));
    assert.equal([...new Set(offsets)], [0], "the record of version 4");
});

/** Sends of a call that every server refuses. */
function countSends(gateway: TestGateway): number {
    let [call] = callsIn(gateway.receiveRequest("refused", "lookup"));
    let sends = 0;
    while (call !== undefined) {
        sends++;
        [call] = callsIn(gateway.answer(call, { status: 503, isNotRun: true }));
    }
    return sends;
}

function gatewayWithBudget(startedAt?: number): TestGateway {
    const gateway = new TestGateway({ retries: { ratio: 0, slack: 5, window: 10_000 } }, startedAt);
    gateway.configure(configuration(1));
    gateway.register(server("plain-1"), server("plain-2"), server("plain-3"), server("plain-4"));
    return gateway;
}

test("gateways that are out of reach still have their part of the common allowance of repeats", () => {
    const alone = gatewayWithBudget();
    assert.is(countSends(alone), 4);
    const cut = gatewayWithBudget();
    cut.receiveReport({});
    cut.advance(3_000);
    assert.is(countSends(cut), 3, "the other may spend its half behind the cut");
});

test("a gateway that has just started doesn't spend what one before it in its place may have spent", () => {
    assert.is(countSends(gatewayWithBudget(900)), 1);
});

test.run();
