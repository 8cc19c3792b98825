import type { GatewayEffect } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, configuration, kindsIn, linesIn, options, server, TestGateway } from "./gatewayBuilders.js";

const other = identifier<never>("10.1.0.2:8748");
const ownRecordsIn = (effects: readonly GatewayEffect[]) =>
    effects.flatMap(effect => effect.kind === "sendReport" ? effect.report.records : [])
        .map(({ record }) => record)
        .filter(({ address }) => address === options.peerAddress);
/** The longest time after which a gateway reads the configuration by itself, and one tick. */
const configurationTakeover = 1_700 + 50;
const gatewayWithSeed = (): TestGateway => new TestGateway({ seedAddresses: [other] });
const readBy = (count: number) => ({ reader: identifier<never>("reader"), count });
const readsIn = (effects: readonly GatewayEffect[]) =>
    effects.filter(effect => effect.kind === "readTopic" || effect.kind === "readSnapshot");

test("a gateway opens links to its seeds, and to those that it learns of from reports", () => {
    const opened = (effects: readonly GatewayEffect[]) =>
        effects.flatMap(effect => effect.kind === "openPeerLink" ? [effect.address] : []);
    const gateway = gatewayWithSeed();
    assert.equal(opened(gateway.advance(50)), [other]);
    const third = { address: identifier<never>("10.1.0.3:8748"), incarnation: identifier<never>("third") };
    gateway.receiveReport({});
    const records = gateway.state.members.get(other)!.record;
    gateway.receiveReport({ records: [{ record: { ...records, ...third }, age: 0 }] });
    assert.equal(opened(gateway.advance(50)), [third.address]);
    const members = [identifier<never>("10.1.0.4:8748"), identifier<never>("10.1.0.1:8748")];
    gateway.receiveReport({ members });
    assert.equal(opened(gateway.advance(600)), [], "the addresses are for gateways of an older version");
    gateway.receiveReport({ protocol: 0, records: [], members });
    assert.equal(opened(gateway.advance(600)), ["10.1.0.4:8748"]);
});

test("a run, and a request that waits, are reported to the other gateways at once", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    gateway.receiveReport({});
    gateway.advance(500);
    const plan = { promptTokens: 6_000, maximumTokens: 500 };
    gateway.now += 1;
    const [placed] = ownRecordsIn(gateway.receiveRequest("p1", "plan", plan));
    assert.equal(placed.loads.map(({ backendServer, waitingTokens }) => [backendServer, waitingTokens]), [
        ["engine-1", 6_000],
    ]);
    gateway.state.meanStreamDuration = 30;
    gateway.now += 1;
    const [waits] = ownRecordsIn(gateway.receiveRequest("p2", "plan", plan));
    assert.is(waits.waitingRequests, 1);
});

test("records that another gateway read are applied, and the log is not read while they are fresh", () => {
    const gateway = new TestGateway();
    gateway.advance(50);
    const topics = (["configuration", "backendServers"] as const).map(name => ({
        name,
        since: 0,
        read: readBy(1),
        through: 9,
        age: 20,
        items: [],
        isComplete: false,
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
    assert.is(reads.length, 0, "a gateway whose reads the store refused relies on the reads of others");
});

test("a gateway reads by itself when the other gateways' records are no longer fresh", () => {
    const gateway = new TestGateway();
    gateway.read("configuration", []);
    gateway.read("backendServers", []);
    gateway.receiveReport({});
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "timeout" });
    gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "timeout" });
    const topics = readsIn(gateway.advance(3_500)).map(effect => "topic" in effect ? effect.topic : undefined);
    assert.equal([...new Set(topics)].sort(), ["backendServers", "configuration"]);
});

test("a gateway whose read failed takes over in time when the reports of others' reads stop", () => {
    const gateway = new TestGateway();
    gateway.read("configuration", []);
    gateway.receiveReport({});
    const topic = { name: "configuration", since: 0, through: 0, age: 0, items: [], isComplete: false } as const;
    gateway.receiveReport({ topics: [{ ...topic, read: readBy(1) }] });
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "timeout" });
    const lastReadAt = gateway.now;
    while (readsIn(gateway.advance(50)).every(effect => !("topic" in effect) || effect.topic !== "configuration")) {
        assert.ok(gateway.now - lastReadAt <= configurationTakeover, "no read of the configuration");
    }
});

test("repeated reports of the same read do not keep a topic fresh, so that the gateway reads by itself", () => {
    const gateway = new TestGateway();
    gateway.read("configuration", []);
    gateway.read("backendServers", []);
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "timeout" });
    gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "timeout" });
    const reads: GatewayEffect[] = [];
    for (let step = 0; step < 40; step++) {
        reads.push(...readsIn(gateway.advance(50)));
        // The age does not include the time of transmission, so that each report looks fresher than it is.
        const age = Math.max(0, step * 50 - step * 30);
        const topics = (["configuration", "backendServers"] as const)
            .map(name => ({ name, since: 0, read: readBy(1), through: 0, age, items: [], isComplete: false }));
        gateway.receiveReport({ topics });
    }
    assert.ok(reads.length >= 2);
});

test("an older configuration from another gateway is not applied", () => {
    const gateway = new TestGateway();
    gateway.configure(configuration(8));
    const old = gateway.item("config", [{ kind: "configuration", configuration: configuration(5) }]);
    gateway.receiveReport({
        topics: [{
            name: "configuration",
            since: 0,
            read: readBy(1),
            through: 99,
            age: 0,
            items: [],
            isComplete: false,
        }],
    }, {
        configuration: [old],
    });
    assert.is(gateway.state.configuration?.version, 8);
});

test("topics of a report are ignored if records before them are missing here, so that no change is lost", () => {
    const gateway = new TestGateway();
    gateway.configure(configuration(2));
    const known = gateway.state.followers.configuration.next!;
    gateway.advance(1_500);
    gateway.receiveReport({
        topics: [{
            name: "configuration",
            since: known + 3,
            read: readBy(1),
            through: known + 5,
            age: 0,
            items: [],
            isComplete: false,
        }],
    });
    assert.is(gateway.state.followers.configuration.next, known);
    gateway.read("configuration", []);
    const [read] = readsIn(gateway.read("configuration", [], true));
    assert.ok(read.kind === "readTopic" && read.from === known, "it continues after the records that it has");
});

test("records are sent again to a gateway whose report shows that it does not have them", () => {
    const gateway = gatewayWithSeed();
    gateway.advance(50);
    gateway.receiveReport({
        topics: [{
            name: "configuration",
            since: 0,
            read: readBy(1),
            through: 0,
            age: 0,
            items: [],
            isComplete: false,
        }],
    });
    gateway.configure(configuration(2));
    gateway.receiveReport({
        topics: [{
            name: "configuration",
            since: 0,
            read: readBy(1),
            through: 0,
            age: 0,
            items: [],
            isComplete: false,
        }],
    });
    const reports = gateway.advance(600).flatMap(effect => effect.kind === "sendReport" ? [effect.report] : []);
    const topics = reports.flatMap(report => report.topics).filter(topic => topic.name === "configuration");
    assert.ok(topics.some(topic => topic.items.length === 1 && topic.since === 0));
});

test("a removal that no other gateway has seen is learnt from their complete list of records", () => {
    const started = gatewayWithSeed();
    started.advance(50);
    started.read("configuration", []);
    const kept = server("engine-2");
    started.read("backendServers", [
        { ...started.item("engine-2", [{ kind: "backendServer", record: kept }]) },
    ], true);
    started.receiveReport({
        topics: [{
            name: "backendServers",
            since: 0,
            read: readBy(1),
            through: 0,
            age: 9_000,
            items: [],
            isComplete: false,
        }],
    });
    const [report] = started.advance(600).flatMap(effect => effect.kind === "sendReport" ? [effect.report] : []);
    const topic = report.topics.find(({ name }) => name === "backendServers")!;
    assert.is(topic.isComplete, true);
    const frozen = TestGateway.serving(server("engine-1"), kept);
    const through = frozen.state.followers.backendServers.next! + 5;
    const item = { ...frozen.item("engine-2", [{ kind: "backendServer", record: kept }]) };
    frozen.receiveReport({ topics: [{ ...topic, through }] }, { backendServers: [item] });
    assert.type(frozen.state.servers.get(identifier<never>("engine-1"))?.removedAt, "number");
    assert.is(frozen.state.servers.get(identifier<never>("engine-2"))?.removedAt, undefined);
});

test("a change that was read is reported to peers at once", () => {
    const gateway = gatewayWithSeed();
    gateway.advance(50);
    gateway.receiveReport({});
    const effects = gateway.configure(configuration(2));
    const report = effects.flatMap(effect => effect.kind === "sendReport" ? [effect.report] : [])[0];
    assert.is(report.topics.find(topic => topic.name === "configuration")?.items.length, 1);
});

test("a silent link is closed and opened again later", () => {
    const gateway = gatewayWithSeed();
    gateway.advance(50);
    gateway.receiveReport({});
    assert.ok(kindsIn(gateway.advance(1_600)).includes("closePeerLink"));
    assert.ok(kindsIn(gateway.advance(3_000)).includes("openPeerLink"));
});

test("a record is sent once, and again only when it has changed or its heartbeat is due", () => {
    const gateway = gatewayWithSeed();
    gateway.configure(configuration(1));
    gateway.register(server("engine-1"), server("engine-2"));
    gateway.advance(50);
    gateway.receiveReport({});
    const call = gateway.startStream("r", "note");
    const loads = (effects: readonly GatewayEffect[]) => ownRecordsIn(effects).map(record => record.loads.length);
    assert.equal(loads(gateway.advance(200)), [1]);
    assert.equal(loads(gateway.advance(200)), []);
    gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    assert.equal(loads(gateway.advance(200)), [0], "the load that ended is gone");
    assert.equal(loads(gateway.advance(1_000)), [0, 0], "heartbeats");
});

test("an older configuration that is written later is neither applied nor reported to peers", () => {
    const gateway = gatewayWithSeed();
    gateway.read("backendServers", []);
    gateway.configure(configuration(4));
    gateway.configure(configuration(3));
    const firstReports = gateway.advance(50).flatMap(effect => effect.kind === "openPeerLink" ? [effect.report] : []);
    assert.is(firstReports.length, 1);
    gateway.receiveReport({ address: other });
    const reports = gateway.advance(600).flatMap(effect => effect.kind === "sendReport" ? [effect.report] : []);
    const offsets = reports.flatMap(({ topics }) => topics.flatMap(({ items }) => items.map(({ offset }) => offset)));
    assert.equal([...new Set(offsets)], [0], "the record of version 4");
});

/** The number of sends of a call that every server refuses. */
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

test("gateways that are out of reach keep their share of the common retry budget", () => {
    const alone = gatewayWithBudget();
    assert.is(countSends(alone), 4);
    const isolated = gatewayWithBudget();
    isolated.receiveReport({});
    isolated.advance(3_000);
    assert.is(countSends(isolated), 3, "the unreachable gateway may spend its half of the budget");
});

test("a gateway that has just started does not spend the retry budget that its predecessor may have spent", () => {
    assert.is(countSends(gatewayWithBudget(900)), 1);
});

// Each gateway passed each record on to all others at once, which kept the links of small machines busy for 300 ms.
test("in a full mesh only the gateway that read a record reports it, and others where it is still lacking later", () => {
    const reader = gatewayWithSeed();
    const topicOf = (through: number, count: number) => ({
        name: "configuration" as const,
        since: through,
        read: readBy(count),
        through,
        age: 0,
        items: [],
        isComplete: false,
    });
    const itemsIn = (effects: readonly GatewayEffect[]) =>
        effects.flatMap(effect => effect.kind === "sendReport" ? effect.report.topics : []).flatMap(({ items }) =>
            items
        );
    reader.advance(50);
    reader.receiveReport({ topics: [topicOf(0, 0)] });
    const item = reader.item("config", [{ kind: "configuration", configuration: configuration(2) }]);
    const next = item.item.offset + 1;
    const read = { kind: "topicRead", topic: "configuration", isSnapshot: false, items: [item], next } as const;
    assert.is(itemsIn(reader.handle(read)).length, 1, "the reader reports it at once");

    const relay = gatewayWithSeed();
    relay.advance(50);
    relay.receiveReport({ topics: [{ ...topicOf(next, 1), since: 0 }] }, { configuration: [item] });
    relay.receiveReport({ topics: [topicOf(0, 2)] });
    assert.is(itemsIn(relay.advance(500)).length, 0);
    assert.is(itemsIn(relay.advance(700)).length, 1, "the peer's report still shows that it lacks the record");
});

test("snapshots after the log's history was deleted are not reported whole to gateways that knew what came before", () => {
    const gateway = gatewayWithSeed();
    gateway.advance(50);
    const [first, second, third] = [server("engine-1"), server("engine-2"), server("engine-3")];
    gateway.read("configuration", []);
    gateway.register(first, second, third);
    const known = gateway.state.followers.backendServers.next!;
    const topicOf = (through: number) => ({
        name: "backendServers" as const,
        since: through,
        read: readBy(1),
        through,
        age: 0,
        items: [],
        isComplete: false,
    });
    const reportedAfterDeletion = (next: number, ...kept: readonly (typeof first)[]) => {
        gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "records_deleted" });
        gateway.now += 1;
        const items = kept.map((record, index) => {
            const decoded = gateway.item(record.id, [{
                kind: "backendServer",
                record: { ...record, heartbeat: next },
            }]);
            return { ...decoded, item: { ...decoded.item, offset: next - 2 - index } };
        });
        return gateway.handle({ kind: "topicRead", topic: "backendServers", isSnapshot: true, items, next })
            .flatMap(effect => effect.kind === "sendReport" ? effect.report.topics : [])
            .filter(({ name }) => name === "backendServers")
            .map(({ isComplete, items }) => [isComplete, items.map(({ key }) => key)]);
    };
    gateway.receiveReport({ topics: [topicOf(known)] });
    assert.equal(reportedAfterDeletion(known + 10, first, third), [[false, ["engine-2"]]]);
    gateway.receiveReport({ topics: [topicOf(known + 10)] });
    assert.equal(reportedAfterDeletion(known + 20, first), [[false, ["engine-3"]]]);
    gateway.receiveReport({ topics: [topicOf(known + 15)] });
    const [[isComplete]] = reportedAfterDeletion(known + 30);
    assert.is(isComplete, true, "the peer may know a server that was added and removed between two reads");
});

// The reporting gateway read a snapshot after the server was back and never saw its removal, so it reported no change.
test("a report that can't show that a server is back is not applied where the server's removal is known", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    gateway.remove("plain-1");
    const follower = gateway.state.followers.backendServers;
    const known = follower.next!;
    const through = known + 10;
    const topic = { name: "backendServers", since: 0, through, age: 0, items: [], isComplete: false } as const;
    const gap = { from: known - 1, to: through };
    gateway.receiveReport({ topics: [{ ...topic, read: readBy(1), removalGaps: [gap] }] });
    assert.is(follower.next, known, "the topic is not taken for known up to there");
    const back = gateway.item("plain-1", [{ kind: "backendServer", record: server("plain-1", { heartbeat: 9 }) }]);
    const backServers = [{ ...back, item: { ...back.item, offset: through - 1 } }];
    const complete = { ...topic, read: readBy(2), items: [backServers[0].item], isComplete: true };
    gateway.receiveReport({ topics: [complete] }, { backendServers: backServers });
    assert.is(follower.next, through);
    assert.is(callsIn(gateway.receiveRequest("r", "confirm")).length, 1);
});

// Gateways differed by a version for seconds, and no line said whether reports came.
test("the log says at most once a second that a peer's news was not applied, and why", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const known = gateway.state.followers.backendServers.next!;
    const topic = { name: "backendServers", since: known + 5, through: known + 9, age: 0, isComplete: false } as const;
    const receive = () =>
        linesIn(gateway.receiveReport({ topics: [{ ...topic, read: readBy(1), items: [] }] }), "peer_report_ignored");
    assert.equal(receive().map(({ obstacle, next }) => [obstacle, next]), [["begins_later", known]]);
    assert.is(receive().length, 0);
    gateway.now += 1_000;
    assert.is(receive().length, 1);
});

test("a gateway that applies a report with a gap passes the gap on", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const follower = gateway.state.followers.backendServers;
    const known = follower.next!;
    const removalGaps = [{ from: known, to: known + 10 }];
    const topic = { name: "backendServers", since: 0, age: 0, items: [], isComplete: false } as const;
    gateway.receiveReport({ topics: [{ ...topic, through: known + 10, read: readBy(1), removalGaps }] });
    gateway.receiveReport({ topics: [{ ...topic, through: known + 10, read: readBy(2), removalGaps }] });
    assert.equal(follower.removalGaps, removalGaps);
});

// A report counted as received when it was sent, so that no later one repeated its notices and records.
test("what was reported on a link that closed beside another one is reported again", () => {
    const gateway = TestGateway.serving(server("plain-1"), server("plain-2"));
    gateway.receiveReport({});
    gateway.advance(1_000);
    gateway.answer(gateway.sendRequest("r", "confirm"), { isLeaving: true });
    gateway.advance(300);
    const reportsIn = (effects: readonly GatewayEffect[]) =>
        effects.flatMap(effect => effect.kind === "sendReport" ? [effect.report] : []);
    gateway.handle({ kind: "peerReportsLost", address: other });
    const reports = reportsIn(gateway.advance(600));
    assert.is(reports.flatMap(({ leavingServers }) => leavingServers).length, 1);
    assert.is(reports[0].topics.find(({ name }) => name === "backendServers")?.since, 0);
});

test("the gateways with the fastest links read the topics, since a reader sends what it read to all others", () => {
    const readsWith = (linkRate: number): number => {
        const gateway = new TestGateway({ linkRate });
        gateway.read("backendServers", []);
        gateway.read("configuration", []);
        const [other] = ["10.1.0.7:8748"].map(address => identifier<never>(address));
        gateway.receiveReport({});
        const { record } = [...gateway.state.members.values()][0];
        const records = [{
            record: { ...record, address: other, incarnation: other, linkRate: 100, version: 99 },
            age: 0,
        }];
        gateway.receiveReport({ records });
        return readsIn(gateway.advance(450)).length;
    };
    assert.ok(readsWith(1_000) > 0);
    assert.is(readsWith(7), 0);
});

test("a report that may have been under way for long is logged, with how long at most", () => {
    const gateway = new TestGateway();
    gateway.receiveReport({ sentAt: 7 });
    const late = (transmission: number) =>
        gateway.receiveReport({ sentAt: 8, echo: { sentAt: gateway.now - 900, heldFor: 900 - transmission } });
    assert.equal(linesIn(late(480), "peer_report_late"), []);
    assert.equal(linesIn(late(820), "peer_report_late").map(({ transmission }) => transmission), [820]);
    assert.equal(linesIn(late(820), "peer_report_late"), [], "again within a second");
    gateway.now += 1_000;
    assert.is(linesIn(late(820), "peer_report_late").length, 1);
});

test("an echo of a report that an earlier process sent is ignored", () => {
    const gateway = new TestGateway();
    gateway.receiveReport({ sentAt: 7 });
    const echo = { sentAt: gateway.now + 60_000, heldFor: 0 };
    assert.equal(linesIn(gateway.receiveReport({ sentAt: 8, echo }), "peer_report_late"), []);
});

test("a report echoes the newest report of its receiver, and none that an earlier process sent", () => {
    const gateway = new TestGateway();
    const echoes = (duration: number) =>
        gateway.advance(duration).flatMap(effect => effect.kind === "sendReport" ? [effect.report.echo] : []);
    gateway.receiveReport({ sentAt: 70_000 });
    gateway.receiveReport({ sentAt: 70_200 });
    gateway.receiveReport({ sentAt: 70_100 });
    const heard = gateway.now;
    assert.equal(echoes(50), [{ sentAt: 70_200, heldFor: gateway.now - heard }]);
    gateway.receiveReport({ incarnation: identifier<never>("restarted"), sentAt: 40 });
    assert.is(echoes(50)[0]?.sentAt, 40);
    gateway.handle({ kind: "peerLinkClosed", address: other });
    gateway.receiveReport({ incarnation: identifier<never>("restarted"), sentAt: undefined });
    assert.is(echoes(50)[0], undefined, "the link is new");
});

test("a read that takes long beyond its wait is logged", () => {
    const gateway = new TestGateway();
    gateway.read("configuration", [], true);
    const read = (took: number) => {
        gateway.read("configuration", []);
        gateway.now += took;
        return linesIn(gateway.read("configuration", []), "topic_read_late").map(fields => [fields.took, fields.wait]);
    };
    assert.equal(read(600), []);
    assert.equal(read(1_150), [[1_150, 600]]);
});

test("a report that echoes nothing is applied, but makes its topic no fresher", () => {
    const gateway = new TestGateway();
    gateway.configure(configuration(1));
    const { freshAsOf, next } = gateway.state.followers.configuration;
    gateway.now += 900;
    const item = gateway.item("config", [{ kind: "configuration", configuration: configuration(2) }]);
    const topic = {
        name: "configuration",
        since: next!,
        through: next! + 1,
        age: 0,
        items: [],
        isComplete: false,
    } as const;
    const report = { protocol: 2, sentAt: undefined, echo: undefined, topics: [{ ...topic, read: readBy(1) }] };
    gateway.receiveReport(report, { configuration: [item] });
    assert.is(gateway.state.configuration?.version, 2);
    assert.is(gateway.state.followers.configuration.freshAsOf, freshAsOf);
});

test.run();
