/**
 * Records of backend servers and evacuations that gateways have read and that the log then loses. Their offsets are given out
 * again, so that gateways that know the log up to the same offset have different servers or evacuations.
 */
import type { PeerTopic, TopicName } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, server, TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

/** From a read that finds what the log has by now until all gateways must know it. */
const agreementLimit = 4_000;

function linkedGateways(): LinkedGateways {
    const linked = new LinkedGateways(5);
    linked.configure(configuration(1));
    linked.register(server("plain-1"), server("plain-2"), server("plain-3"));
    linked.advance(5_000);
    return linked;
}

/** Loses what all gateways have read of a topic since it was written, and writes something else. */
function replace(
    linked: LinkedGateways,
    topic: TopicName,
    lost: readonly (() => void)[],
    write: () => void,
): void {
    lost.forEach(each => each());
    linked.advance(1_000);
    lost.forEach(() => linked.loseNewest(topic));
    write();
}

/** How a gateway learns by itself what the log has by now. */
const detections: Readonly<Record<string, (linked: LinkedGateways) => void>> = {
    "a gateway that has restarted": linked => linked.restart(linked.gateways[2]),
    "the reader, whose read failed": linked => {
        const readers = (["configuration", "backendServers"] as const).map(topic => readerIn(linked, topic));
        readers.forEach(reader => linked.turnedAway.add(reader));
        linked.advance(500);
        linked.turnedAway.clear();
    },
};

const readerIn = ({ gateways }: LinkedGateways, topic: TopicName): TestGateway =>
    gateways.find(({ state }) => state.incarnation === gateways[0].state.followers[topic].lastRead!.reader)!;

const serverOf = ({ state }: TestGateway, id: string) => state.servers.get(identifier<never>(id));

const isLeaving = (gateway: TestGateway, id: string): boolean => serverOf(gateway, id)?.leavingSince !== undefined;

const isGone = (gateway: TestGateway, id: string): boolean =>
    serverOf(gateway, id) === undefined || isLeaving(gateway, id);

const isEvacuated = ({ state }: TestGateway, failureDomain: string): boolean =>
    state.evacuations.has(identifier<never>(failureDomain));

/** Advances until what replaced lost records must be known, and asserts that all gateways know it. */
function assertAgreement(linked: LinkedGateways, isKnown: (gateway: TestGateway) => boolean, message: string): void {
    linked.advance(agreementLimit);
    assert.equal(linked.gateways.map(isKnown), [true, true, true, true, true], message);
}

for (const [name, detect] of Object.entries(detections)) {
    // The removal stood before the offset that the others read on from.
    test(`all gateways learn a removal that replaced lost records, by ${name}`, () => {
        const linked = linkedGateways();
        const register = () => linked.register(server("plain-1", { slots: 8 }));
        replace(linked, "backendServers", [register], () => linked.remove("plain-2"));
        detect(linked);
        assertAgreement(linked, gateway => isGone(gateway, "plain-2"), "plain-2 is removed");
    });

    test(`all gateways learn that a server drains, or has moved, where that replaced lost records, by ${name}`, () => {
        const draining = linkedGateways();
        const register = (linked: LinkedGateways) => () => linked.register(server("plain-1", { slots: 8 }));
        replace(draining, "backendServers", [register(draining)], () => {
            draining.register(server("plain-2", { isDraining: true }));
        });
        detect(draining);
        assertAgreement(draining, gateway => isLeaving(gateway, "plain-2"), "plain-2 is draining");
        const moved = linkedGateways();
        replace(moved, "backendServers", [register(moved)], () => {
            moved.register(server("plain-2", { address: "10.9.0.9:8000" }));
        });
        detect(moved);
        assertAgreement(moved, gateway => serverOf(gateway, "plain-2")?.record.address === "10.9.0.9:8000", "moved");
    });

    // The record at a higher offset counted as the newer one.
    test(`all gateways learn a removal at a lower offset than the lost records of the server, by ${name}`, () => {
        const linked = linkedGateways();
        const heartbeats = [2, 3, 4, 5].map(heartbeat => () => linked.register(server("plain-2", { heartbeat })));
        replace(linked, "backendServers", heartbeats, () => linked.remove("plain-2"));
        detect(linked);
        assertAgreement(linked, gateway => isGone(gateway, "plain-2"), "plain-2 is removed");
    });

    test(`all gateways forget a server, and a removal, that the log lost, by ${name}`, () => {
        const linked = linkedGateways();
        const lost = [() => linked.register(server("plain-4")), () => linked.remove("plain-2")];
        replace(linked, "backendServers", lost, () => {
            linked.register(server("plain-1", { heartbeat: 2 }), server("plain-3", { heartbeat: 2 }));
        });
        detect(linked);
        assertAgreement(linked, gateway => isGone(gateway, "plain-4"), "plain-4 is not registered");
        assertAgreement(linked, gateway => !isGone(gateway, "plain-2"), "plain-2 is registered");
    });
}

for (const [name, detect] of Object.entries(detections)) {
    test(`all gateways learn an evacuation that replaced a lost record, by ${name}`, () => {
        const linked = linkedGateways();
        replace(linked, "configuration", [() => linked.evacuate("far")], () => linked.evacuate("near"));
        detect(linked);
        assertAgreement(linked, gateway => isEvacuated(gateway, "near") && !isEvacuated(gateway, "far"), "near");
    });

    test(`all gateways learn a withdrawal at a lower offset than lost records of the evacuation, by ${name}`, () => {
        const linked = linkedGateways();
        linked.evacuate("near");
        linked.advance(1_000);
        const evacuate = () => linked.evacuate("near");
        replace(linked, "configuration", [evacuate, evacuate], () => linked.evacuate("near", false));
        detect(linked);
        assertAgreement(linked, gateway => !isEvacuated(gateway, "near"), "withdrawn");
        assert.equal(linked.gateways.map(({ state }) => state.configuration?.version), [1, 1, 1, 1, 1]);
    });
}

test("all gateways learn a removal that replaced a lost record though none of them reads a snapshot", () => {
    const linked = linkedGateways();
    const register = () => linked.register(server("plain-1", { slots: 8 }));
    replace(linked, "backendServers", [register], () => linked.remove("plain-2"));
    assertAgreement(linked, gateway => isGone(gateway, "plain-2"), "plain-2 is removed");
});

// A snapshot shows nothing of what is stored after its read.
test("what a peer reports during the read of a snapshot does not count as lost", () => {
    const gateway = TestGateway.serving(server("plain-1"), server("plain-2"));
    const { next = 0, items } = gateway.state.followers.backendServers;
    const present = [...items.values()].map(item => ({ item, records: [] }));
    gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "beyond_end" });
    const read = { reader: identifier<never>("reader"), count: 1 };
    const topic = {
        name: "backendServers",
        since: next,
        through: next + 1,
        read,
        age: 0,
        items: [],
        isComplete: false,
    } as const;
    gateway.receiveReport({ topics: [topic] }, {
        backendServers: [{
            item: { key: "plain-1", offset: next, value: new Uint8Array() },
            records: [{ kind: "backendServerRemoved", id: identifier("plain-1") }],
        }],
    });
    gateway.handle({ kind: "topicRead", topic: "backendServers", isSnapshot: true, items: present, next });
    assert.is(isGone(gateway, "plain-1"), true);
    assert.is(gateway.state.followers.backendServers.next, next + 1);
});

test("gateways that have the same read no more snapshots, also while servers change", () => {
    const linked = linkedGateways();
    linked.snapshots = 0;
    for (let change = 0; change < 100; change++) {
        linked.register(server("plain-1", { slots: change + 1, heartbeat: change + 2 }));
        linked.register(server("plain-2", { heartbeat: change + 2 }));
        linked.advance(70);
        if (change % 10 === 0) {
            linked.remove("plain-3");
            linked.evacuate("far");
        }
        if (change % 10 === 5) {
            linked.register(server("plain-3", { isDraining: true }));
            linked.evacuate("far", false);
        }
    }
    assert.is(linked.snapshots, 0);
});

/** Whether a gateway that knows a server reads a snapshot after a peer's report that ends at the same offset. */
function readsSnapshotAfter(reported: Partial<PeerTopic>): boolean {
    const gateway = TestGateway.serving(server("plain-1"));
    const { next = 0 } = gateway.state.followers.backendServers;
    const read = { reader: identifier<never>("reader"), count: 1 };
    const topic = {
        name: "backendServers",
        since: next,
        through: next,
        read,
        age: 0,
        items: [],
        isComplete: false,
    } as const;
    gateway.receiveReport({ topics: [{ ...topic, ...reported }] });
    for (let elapsed = 0; elapsed < 2_000; elapsed += 50) {
        const reads = gateway.advance(50).filter(effect => "topic" in effect && effect.topic === "backendServers");
        if (reads.some(({ kind }) => kind === "readSnapshot")) {
            return true;
        }
        reads.forEach(() => gateway.read("backendServers", []));
    }
    return false;
}

// A gateway of an earlier version tells neither a digest nor a history.
test("a report without a digest is no reason for a snapshot, one with another digest or a newer history is", () => {
    assert.equal([{}, { digest: 1 }, { history: 1 }].map(readsSnapshotAfter), [false, true, true]);
});

test.run();
