import { decodePeerItems, type PeerReport } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, server, TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

/** From an acknowledged change until it must be in force, and no request may reach a server that left. */
const changeLimit = 2_000;

/** Gateways that have read a configuration and servers, and have links to each other. */
function linkedGateways(size: number): LinkedGateways {
    const linked = new LinkedGateways(size);
    linked.configure(configuration(1));
    linked.register(server("plain-1"), server("plain-2"));
    linked.advance(5_000);
    return linked;
}

const isServing = ({ state }: TestGateway, id: string): boolean =>
    state.servers.get(identifier<never>(id))?.leavingSince === undefined;

/** Loses the reports of a moment in which no link closes, as when one of two links to a peer is replaced. */
function loseReports(linked: LinkedGateways, gateway: TestGateway, act: () => void): void {
    linked.isolate(gateway);
    act();
    linked.advance(700);
    linked.restoreLinks();
}

// Its reports told no offset then, so that peers went on after records that it did not have.
test("a gateway that the store turns away before it has read a snapshot learns what a peer reads", () => {
    const linked = linkedGateways(2);
    const [reader, other] = linked.gateways;
    linked.turnedAway.add(other);
    loseReports(linked, other, () => {
        other.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "records_deleted" });
        other.handle({ kind: "topicReadFailed", topic: "configuration", failure: "records_deleted" });
        linked.remove("plain-1");
        linked.configure(configuration(2));
    });
    assert.is(isServing(reader, "plain-1"), false);
    linked.advance(changeLimit);
    assert.is(isServing(other, "plain-1"), false);
    assert.is(other.state.configuration?.version, 2);
});

/** What remains of the limit when the reader has read a change, if it had to take over from others. */
const reportLimit = changeLimit - 1_500;

// It told its offset with its next heartbeat, and the peer answered with its own next one.
test("a gateway that lacks what came before a report gets the missing records before the limit of a change", () => {
    for (let phase = 0; phase < 500; phase += 50) {
        const linked = linkedGateways(2);
        const [reader, other] = linked.gateways;
        linked.turnedAway.add(other);
        linked.advance(phase);
        loseReports(linked, other, () => linked.remove("plain-1"));
        linked.remove("plain-2");
        linked.advanceUntil(() => !isServing(reader, "plain-2"), changeLimit);
        const delay = linked.advanceUntil(() => !isServing(other, "plain-2"), changeLimit);
        assert.ok(delay <= reportLimit, `${delay} ms in phase ${phase}`);
    }
});

// Each later change began the wait again, so that a gateway without a link to the reader learnt none while changes went on.
test("changes that follow each other do not keep a gateway from passing them on to one that lacks them", () => {
    const linked = linkedGateways(3);
    const [reader, relay, other] = linked.gateways;
    linked.turnedAway.add(relay).add(other);
    linked.advance(5_000);
    linked.cutLinks.push([reader, other]);
    linked.remove("plain-1");
    linked.configure(configuration(2));
    for (let elapsed = 0; elapsed < 3_000; elapsed += 300) {
        linked.advance(300);
        linked.register(server("plain-3", { slots: elapsed }));
        linked.configure(configuration(3 + elapsed));
    }
    assert.is(isServing(other, "plain-1"), false);
    assert.ok((other.state.configuration?.version ?? 0) > 1);
});

// A page of the log counted as all of it, so that the gateway read no further until the others' reads were due again.
test("a gateway that has read a page of a longer log reads on at once, and does not count the topic as fresh", () => {
    const linked = linkedGateways(2);
    const [, other] = linked.gateways;
    const { freshAsOf, next, repeatedRecord } = other.state.followers.backendServers;
    other.now += 2_000;
    const items = repeatedRecord === undefined ? [] : [{ item: repeatedRecord, records: [] }];
    const page = { kind: "topicRead", topic: "backendServers", isSnapshot: false, items, next: next! + 3 } as const;
    const effects = other.handle({ ...page, isAtEnd: false });
    assert.is(other.state.followers.backendServers.freshAsOf, freshAsOf);
    assert.ok(effects.some(effect => effect.kind === "readTopic" && effect.from === next! + 3));
});

// It was stored here without effect, so that later reports of this gateway passed on what it did not apply itself.
test("an item of a report is decoded unless the same record is known, also at the offset of another one", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const known = gateway.state.followers.backendServers.items.get("plain-1")!;
    const isDecoded = (overrides: Partial<typeof known>): boolean => {
        const topic = {
            name: "backendServers",
            since: 0,
            through: known.offset + 2,
            read: { reader: gateway.state.incarnation, count: 0 },
            age: 0,
            items: [{ ...known, ...overrides }],
            isComplete: false,
        } as const;
        const report = { topics: [topic] } as unknown as PeerReport;
        const { backendServers: [{ records }] } = decodePeerItems(gateway.state, report, () => [
            { kind: "backendServerRemoved", id: identifier("plain-1") },
        ]);
        return records.length > 0;
    };
    assert.is(isDecoded({}), false);
    assert.is(isDecoded({ offset: known.offset - 1, value: Buffer.from("older") }), false);
    assert.is(isDecoded({ value: Buffer.from("another") }), true);
    assert.is(isDecoded({ offset: known.offset + 1 }), true);
});

test.run();
