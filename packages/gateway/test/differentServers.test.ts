/**
 * Gateways that know the log up to the same offset, and do not have the same servers or evacuations: a record was undone by a later
 * one while one of them could not read both.
 */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, server, type TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

function linkedGateways(size: number): LinkedGateways {
    const linked = new LinkedGateways(size);
    linked.configure(configuration(1));
    linked.register(server("plain-1"), server("plain-2"));
    linked.advance(5_000);
    return linked;
}

const keysLackedBy = (linked: LinkedGateways, gateway: TestGateway): string[] =>
    linked.recordsLackedBy(gateway).map(({ item }) => item.key);

/** Lets all reports through, and returns what a gateway lacks after that, though it counts as up to date. */
function lackedInTouch(linked: LinkedGateways, gateway: TestGateway): string[] {
    linked.restoreLinks();
    linked.advance(5_000);
    const { configuration: { freshAsOf: asOf }, backendServers: { freshAsOf } } = gateway.state.followers;
    assert.ok(gateway.now - Math.min(asOf!, freshAsOf!) < 2_000);
    return keysLackedBy(linked, gateway);
}

// The second gateway knew neither the removal nor the return, and did not report the return, which changed nothing for it.
test("a gateway that knows a server's removal learns of its return from one that missed both", () => {
    const linked = linkedGateways(3);
    const [reader, relay, last] = linked.gateways;
    linked.turnedAway.add(relay).add(last);
    linked.advance(1_000);
    linked.isolate(relay);
    linked.remove("plain-1");
    linked.advance(800);
    linked.isolate(last);
    linked.register(server("plain-1", { heartbeat: 2 }));
    linked.advance(500);
    linked.restoreLinks();
    linked.isolate(last);
    linked.advance(800);
    linked.restoreLinks();
    linked.isolate(reader);
    linked.advance(800);
    assert.equal(lackedInTouch(linked, last), []);
});

// The report overtook the read, and did not contain the return, which changed nothing for its sender.
test("a read that a report has overtaken does not remove a server that has returned", () => {
    const linked = linkedGateways(2);
    const [late, other] = linked.gateways;
    linked.turnedAway.add(other);
    linked.advance(1_500);
    linked.readDelay = gateway => gateway === late ? 2_000 : 0;
    linked.isolate(late);
    linked.remove("plain-1");
    linked.advance(500);
    linked.register(server("plain-1", { heartbeat: 2 }));
    linked.turnedAway.delete(other);
    linked.advance(500);
    assert.equal(lackedInTouch(linked, late), []);
});

// A snapshot that lacked the server left the known tombstone as it was, older than the return.
test("a gateway that knows a server's return learns of its removal from one that missed both", () => {
    const linked = linkedGateways(2);
    const [one, other] = linked.gateways;
    linked.remove("plain-1");
    linked.advance(1_000);
    linked.isolate(one);
    linked.turnedAway.add(other);
    linked.register(server("plain-1", { heartbeat: 2 }));
    linked.advance(2_000);
    linked.turnedAway.add(one);
    linked.remove("plain-1");
    linked.turnedAway.delete(other);
    linked.advance(1_000);
    assert.equal(lackedInTouch(linked, one), []);
});

// The report was made from a snapshot, which showed neither the removal nor the return.
test("a read that a report of a snapshot has overtaken does not remove a server that has returned", () => {
    const linked = linkedGateways(2);
    const { lastRead } = linked.gateways[0].state.followers.backendServers;
    const isReader = ({ state }: TestGateway): boolean => state.incarnation === lastRead?.reader;
    const late = linked.gateways.find(isReader)!;
    linked.gateways.filter(gateway => gateway !== late).forEach(other => linked.turnedAway.add(other));
    linked.readDelay = gateway => gateway === late ? 2_500 : 0;
    linked.remove("plain-1");
    linked.advance(500);
    linked.register(server("plain-1", { heartbeat: 2 }), server("plain-2", { heartbeat: 2 }));
    linked.deleteHistory("backendServers");
    linked.turnedAway.clear();
    linked.advance(2_000);
    linked.turnedAway.add(late);
    assert.equal(lackedInTouch(linked, late), []);
});

// The known tombstone of the peer was older than the removal that its snapshot showed.
test("a gateway learns a removal from all records of a peer that knew an earlier one", () => {
    const linked = linkedGateways(2);
    const [one, other] = linked.gateways;
    linked.remove("plain-1");
    linked.advance(1_000);
    linked.isolate(one);
    linked.turnedAway.add(other);
    linked.register(server("plain-1", { heartbeat: 2 }));
    linked.advance(2_000);
    linked.turnedAway.add(one);
    linked.remove("plain-1");
    linked.turnedAway.delete(other);
    linked.register(server("plain-2", { heartbeat: 2 }));
    linked.deleteHistory("backendServers");
    linked.advance(1_000);
    assert.equal(lackedInTouch(linked, one), []);
});

// The tombstone that was made for the withdrawal had an offset before it, and the second snapshot left it as it was.
test("a gateway learns that an evacuation was withdrawn between two pages of another one's snapshot", () => {
    const withdrawnAfter = Array.from({ length: 60 }, (_, index) => 10 * index);
    const lacked = withdrawnAfter.flatMap(duration => {
        const linked = linkedGateways(2);
        const [other, last] = linked.gateways;
        linked.evacuate("near", true);
        linked.advance(1_000);
        linked.isolate(other);
        linked.turnedAway.add(other).add(last);
        linked.advance(1_000);
        linked.pageDelay = 200;
        linked.answered = (gateway, topic) => {
            if (gateway === other && topic === "configuration") {
                linked.turnedAway.add(other);
            }
        };
        linked.turnedAway.delete(other);
        linked.advance(duration);
        linked.evacuate("near", false);
        linked.advance(600 - duration);
        linked.answered = () => undefined;
        linked.turnedAway.delete(other);
        linked.advance(600);
        return lackedInTouch(linked, last).map(key => `${key}, withdrawn after ${duration} ms`);
    });
    assert.equal(lacked, []);
});

test.run();
