/**
 * Gateways that know the log up to the same offset, and do not have the same configuration: the log lost a record that some of
 * them had read, or an older version was stored after a newer one.
 */
import { indexRoutes } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, failuresIn, route, server, TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

/** From an acknowledged configuration until it must be in force. */
const configurationLimit = 2_000;

function linkedGateways(): LinkedGateways {
    const linked = new LinkedGateways(5, { configurationLimit });
    linked.configure(withRoute(1));
    linked.register(server("plain-1"));
    linked.advance(5_000);
    return linked;
}

/** A configuration with a route that is named after its version. */
function withRoute(version: number): ReturnType<typeof configuration> {
    return configuration(version, { routesByHost: indexRoutes([route(`r-${version}`)]) });
}

const versionsIn = ({ gateways }: LinkedGateways): (number | undefined)[] =>
    gateways.map(({ state }) => state.configuration?.version);

const readerIn = ({ gateways }: LinkedGateways): TestGateway =>
    gateways.find(({ state }) => state.incarnation === gateways[0].state.followers.configuration.lastRead!.reader)!;

const isDenied = (gateway: TestGateway, version: number): boolean =>
    failuresIn(gateway.receiveRequest(`${version}-${gateway.now}`, `r-${version}`))
        .some(({ type }) => type === "route_not_found");

/** Loses a configuration that all gateways have read, and stores another one at its offset. */
function replaceNewest(linked: LinkedGateways): void {
    linked.configure(withRoute(2));
    linked.advance(300);
    assert.equal(versionsIn(linked), [2, 2, 2, 2, 2]);
    linked.loseNewest("configuration");
    linked.configure(withRoute(3));
}

/** Advances until all gateways have a version, and returns how often one denied its route after the limit. */
function denialsAfterLimit(linked: LinkedGateways, version: number): number {
    linked.advance(configurationLimit);
    let denials = 0;
    for (let elapsed = 0; elapsed < 3_000; elapsed += 100) {
        linked.advance(100);
        denials += linked.gateways.filter(gateway => isDenied(gateway, version)).length;
    }
    return denials;
}

// Those that had read the lost record counted as up to date by the offset behind it.
test("gateways that read a record that the log lost get its replacement from one that has restarted", () => {
    for (const index of [0, 1, 2, 3, 4]) {
        const linked = linkedGateways();
        replaceNewest(linked);
        linked.restart(linked.gateways[index]);
        assert.is(denialsAfterLimit(linked, 3), 0);
        assert.equal(versionsIn(linked), [3, 3, 3, 3, 3]);
    }
});

// It went on at the offset behind the lost record.
test("a gateway whose read failed learns the record that replaced one that the log lost meanwhile", () => {
    const linked = linkedGateways();
    replaceNewest(linked);
    const reader = readerIn(linked);
    linked.turnedAway.add(reader);
    linked.advance(20);
    linked.turnedAway.delete(reader);
    assert.is(denialsAfterLimit(linked, 3), 0);
    assert.equal(versionsIn(linked), [3, 3, 3, 3, 3]);
});

// No read had failed, so nobody compared what had been read with the log again.
test("gateways learn the record that replaced one that the log lost, though no read failed", () => {
    for (const delay of [0, 300, 700, 1_100]) {
        const linked = linkedGateways();
        linked.advance(delay);
        replaceNewest(linked);
        assert.is(denialsAfterLimit(linked, 3), 0, `${delay} ms`);
        assert.equal(versionsIn(linked), [3, 3, 3, 3, 3]);
    }
});

test("a gateway that knows more of the log than there is learns what is stored in its place", () => {
    const linked = linkedGateways();
    linked.configure(withRoute(2));
    linked.advance(300);
    linked.loseNewest("configuration");
    linked.advance(1_000);
    linked.configure(withRoute(3));
    assert.is(denialsAfterLimit(linked, 3), 0);
    assert.equal(versionsIn(linked), [3, 3, 3, 3, 3]);
});

// A snapshot has only the newest record of the key.
test("a gateway that reads a snapshot after an older version was stored last gets the newer one from the others", () => {
    for (const restarted of [[0], [1], [2, 3], [0, 1, 4]]) {
        const linked = linkedGateways();
        linked.configure(withRoute(3));
        linked.advance(300);
        linked.configure(withRoute(2));
        linked.advance(300);
        assert.equal(versionsIn(linked), [3, 3, 3, 3, 3]);
        restarted.forEach(index => linked.restart(linked.gateways[index]));
        assert.is(denialsAfterLimit(linked, 3), 0);
        assert.equal(versionsIn(linked), [3, 3, 3, 3, 3]);
    }
});

// It answered unknown routes with 503 until a version as high was stored.
test("a newer version that a peer had before it restarted keeps no request from being denied", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const version = gateway.state.configuration!.version;
    gateway.receiveReport({ configurationVersion: version + 1 });
    assert.is(isDenied(gateway, 9), false);
    gateway.receiveReport({ incarnation: identifier<never>("restarted"), configurationVersion: version });
    assert.is(isDenied(gateway, 9), true);
});

// It answered that the route does not exist.
test("a gateway that a peer has told of a newer version than its own denies nothing until it has that", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const version = gateway.state.configuration!.version;
    gateway.receiveReport({ configurationVersion: version });
    assert.is(isDenied(gateway, 9), true);
    gateway.receiveReport({ configurationVersion: version + 1 });
    assert.is(isDenied(gateway, 9), false);
    gateway.configure(withRoute(version + 1));
    assert.is(isDenied(gateway, 9), true);
});

test.run();
