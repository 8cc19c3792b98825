/**
 * What gateways take for the age of their views while reports, or answers of the log, reach them late.
 */
import { type DecodedItem, type GatewayEffect, indexRoutes } from "@verbenaspring/gateway";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, failuresIn, route, routes, server, TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

/** From the acknowledgement of a configuration until it must be in force. */
const configurationLimit = 2_000;
const changeInterval = 700;
const changes = 40;

/** Five gateways that have read a configuration; the first of them reads it for all. */
function linkedGateways(): LinkedGateways {
    const linked = new LinkedGateways(5, { configurationLimit });
    linked.configure(configuration(1));
    linked.register(server("plain-1"));
    linked.advance(5_000);
    return linked;
}

function readerIn({ gateways }: LinkedGateways): TestGateway {
    const { reader } = gateways[0].state.followers.configuration.lastRead!;
    return gateways.find(({ state }) => state.incarnation === reader)!;
}

/** A configuration with a route of its own. */
function versionWithRoute(version: number) {
    return configuration(version, { routesByHost: indexRoutes([...routes, route(`r-${version}`)]) });
}

/**
 * Writes configurations one after the other. Returns the longest time for which a gateway lacked one, and how many requests
 * for its route were answered 404 after the limit.
 */
function change(linked: LinkedGateways): { readonly longestDelay: number; readonly denied: number; } {
    const acknowledgedAt = new Map<number, number>();
    let longestDelay = 0;
    let denied = 0;
    for (let version = 2; version < 2 + changes; version++) {
        linked.configure(versionWithRoute(version));
        acknowledgedAt.set(version, linked.now);
        for (let elapsed = 0; elapsed < changeInterval; elapsed += 50) {
            linked.advance(50);
            for (const gateway of linked.gateways) {
                const known = gateway.state.configuration!.version;
                const delay = linked.now - (acknowledgedAt.get(known + 1) ?? linked.now);
                longestDelay = Math.max(longestDelay, delay);
                denied += delay > configurationLimit && isDenied(gateway, linked.now, known + 1) ? 1 : 0;
            }
        }
    }
    return { longestDelay, denied };
}

function isDenied(gateway: TestGateway, now: number, version: number): boolean {
    const effects = gateway.receiveRequest(`${version}-${now}`, `r-${version}`);
    return failuresIn(effects).some(({ type }) => type === "route_not_found");
}

/** A delay that grows from a moment on by 0.3 s a second, as of a link or a process that falls behind. */
function growingDelay(linked: LinkedGateways, limit: number): () => number {
    const { now: start } = linked;
    return () => Math.min(limit, Math.round((linked.now - start) * 0.3));
}

for (const limit of [3_000, 6_000]) {
    // The age in a report left out how long it was under way.
    test(`the links of the reader that fall behind by ${limit} ms keep no configuration from the others`, () => {
        const linked = linkedGateways();
        const reader = readerIn(linked);
        const delay = growingDelay(linked, limit);
        linked.reportDelay = sender => sender === reader ? delay() : 0;
        const { longestDelay, denied } = change(linked);
        assert.is(denied, 0);
        assert.ok(longestDelay <= configurationLimit, `${longestDelay} ms`);
    });

    test(`the links to one gateway that fall behind by ${limit} ms keep no configuration from it`, () => {
        const linked = linkedGateways();
        const reader = readerIn(linked);
        const behind = linked.gateways.find(gateway => gateway !== reader);
        const delay = growingDelay(linked, limit);
        linked.reportDelay = (_, receiver) => receiver === behind ? delay() : 0;
        const { longestDelay, denied } = change(linked);
        assert.is(denied, 0);
        assert.ok(longestDelay <= configurationLimit, `${longestDelay} ms`);
    });
}

/** A gateway whose read, which waits for 600 ms, is answered after a time; undefined for an answer without records. */
function gatewayAfterRead(took: number, added: DecodedItem | undefined): TestGateway {
    const gateway = new TestGateway({ configurationLimit });
    gateway.configure(configuration(1));
    gateway.register(server("plain-1"));
    gateway.now += took;
    gateway.read("configuration", added === undefined ? [] : [added]);
    return gateway;
}

const isDeniedAfter = (gateway: TestGateway, duration: number): boolean => {
    gateway.now += duration;
    return isDenied(gateway, gateway.now, 9);
};

// A read that waits for records counted as made when its answer was handled.
test("a view is as old as the log's answer that it stems from, however late the answer is handled", () => {
    const late = 790;
    assert.is(isDeniedAfter(gatewayAfterRead(600 + late, undefined), configurationLimit - late), true);
    assert.is(isDeniedAfter(gatewayAfterRead(600 + late, undefined), configurationLimit - late + 1), false);
});

test("a view is as old as a read that found records, since the log may have answered at its start", () => {
    const item = new TestGateway().item("config", [{ kind: "configuration", configuration: configuration(2) }]);
    assert.is(isDeniedAfter(gatewayAfterRead(500, item), configurationLimit - 500), true);
    assert.is(isDeniedAfter(gatewayAfterRead(500, item), configurationLimit - 500 + 1), false);
});

// A change late in the wait left the view to age by two whole waits.
test("a read waits no longer than until the view is as old as the usual wait, and not at all to take over", () => {
    const waitsIn = (effects: readonly GatewayEffect[]): number[] =>
        effects.flatMap(effect => effect.kind === "readTopic" && effect.topic === "configuration" ? [effect.wait] : []);
    const isSnapshot = (effect: GatewayEffect): boolean =>
        effect.kind === "readSnapshot" && effect.topic === "configuration";
    const gateway = new TestGateway({ configurationLimit });
    assert.equal(waitsIn(gateway.configure(configuration(1))), [600]);
    gateway.now += 450;
    assert.equal(waitsIn(gateway.configure(configuration(2))), [150]);
    gateway.now += 150;
    assert.equal(waitsIn(gateway.read("configuration", [])), [600]);
    gateway.now += 1_300;
    assert.is(gateway.read("configuration", []).filter(isSnapshot).length, 1, "what was read is verified");
    assert.equal(waitsIn(gateway.read("configuration", [], true)), [600]);
    gateway.now += 1_300;
    assert.equal(waitsIn(gateway.read("configuration", [])), [0]);
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "timeout" });
    assert.is(gateway.advance(1_000).filter(isSnapshot).length, 1, "after a failure, a read of the newest records");
});

// The older configuration stayed in force, and the view counted as fresh.
test("an unknown route is not denied while the newest configuration can't be decoded, by any of the gateways", () => {
    const linked = linkedGateways();
    const deniedBy = () => linked.gateways.filter(gateway => isDenied(gateway, linked.now, 9)).length;
    assert.is(deniedBy(), 5);
    linked.configureUndecodable();
    linked.advance(configurationLimit);
    assert.is(deniedBy(), 0);
    assert.ok(linked.gateways.every(gateway => linked.serves(gateway, "confirm")));
    linked.configure(configuration(3));
    linked.advance(configurationLimit);
    assert.is(deniedBy(), 5);
});

test("a late configuration does not replace the knowledge that a newer one can't be decoded", () => {
    const gateway = new TestGateway({ configurationLimit });
    gateway.configure(configuration(1));
    const late = gateway.item("config", [{ kind: "configuration", configuration: configuration(2) }]);
    gateway.read("configuration", [gateway.item("config", [{ kind: "configurationUndecodable" }])]);
    gateway.read("configuration", [late]);
    assert.is(gateway.state.configuration?.version, 2);
    assert.is(isDenied(gateway, gateway.now, 9), false);
});

test.run();
