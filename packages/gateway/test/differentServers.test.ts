/**
 * Gateways that know the log of servers up to the same offset, and do not have the same servers: a server left and returned, or
 * returned and left, while one of them could not read each record.
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
    assert.ok(gateway.now - gateway.state.followers.backendServers.freshAsOf! < 2_000);
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

test.run();
