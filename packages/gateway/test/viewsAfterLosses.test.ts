/** What gateways have after the log has lost records that they had read, or while it refuses snapshots, and what that costs in reads and reports. */
import { type DecodedItem, indexRoutes, type TopicName } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { configuration, failuresIn, route, server, type TestGateway } from "./gatewayBuilders.js";
import { LinkedGateways } from "./linkedGateways.js";

const configurationLimit = 2_000;

function linkedGateways(size = 5): LinkedGateways {
    const linked = new LinkedGateways(size, { configurationLimit });
    linked.configure(withRoute(1));
    linked.register(server("plain-1"), server("plain-2"), server("plain-3"));
    linked.advance(5_000);
    return linked;
}

function withRoute(version: number, name = `r-${version}`): ReturnType<typeof configuration> {
    return configuration(version, { routesByHost: indexRoutes([route(name)]) });
}

const versionsIn = ({ gateways }: LinkedGateways): (number | undefined)[] =>
    gateways.map(({ state }) => state.configuration?.version);

const readerOf = ({ gateways }: LinkedGateways, topic: TopicName): TestGateway =>
    gateways.find(({ state }) => state.incarnation === gateways[0].state.followers[topic].lastRead!.reader)!;

const isDenied = (gateway: TestGateway, name: string): boolean =>
    failuresIn(gateway.receiveRequest(`${name}-${gateway.now}`, name)).some(({ type }) => type === "route_not_found");

const isGone = ({ state }: TestGateway, id: string): boolean => {
    const known = state.servers.get(identifier<never>(id));
    return known === undefined || known.leavingSince !== undefined;
};

const isEvacuated = ({ state }: TestGateway, domain: string): boolean =>
    state.evacuations.has(identifier<never>(domain));

// Nobody reads a snapshot of the servers unless a read fails, or a peer differs.
test("gateways learn a removal that replaced a lost record, though no read failed", () => {
    const linked = linkedGateways();
    linked.register(server("plain-1", { slots: 8 }));
    linked.advance(1_000);
    linked.loseNewest("backendServers");
    linked.remove("plain-2");
    linked.advance(60_000);
    assert.equal(linked.gateways.map(gateway => isGone(gateway, "plain-2")), [true, true, true, true, true]);
});

// Configurations are compared by version alone.
test("gateways learn a configuration that replaced a lost one of the same version", () => {
    const linked = linkedGateways();
    linked.configure(withRoute(2, "lost"));
    linked.advance(300);
    linked.loseNewest("configuration");
    linked.configure(withRoute(2, "stored"));
    linked.advance(300);
    linked.restart(linked.gateways[2]);
    linked.advance(30_000);
    assert.equal(linked.gateways.map(gateway => isDenied(gateway, "stored")), [false, false, false, false, false]);
});

// The lost record goes to the gateway that has the stored one.
test("a lost configuration does not displace an acknowledged one at a gateway that has read that", () => {
    const linked = linkedGateways();
    linked.configure(withRoute(5));
    linked.advance(300);
    linked.loseNewest("configuration");
    linked.configure(withRoute(4));
    linked.advance(300);
    linked.restart(linked.gateways[2]);
    linked.advance(30_000);
    assert.equal(versionsIn(linked), [4, 4, 4, 4, 4]);
});

// It goes on at the offset behind the lost record, and counts as fresh.
test("a gateway that the log turns away learns an evacuation that replaced a lost record from the others", () => {
    const linked = linkedGateways();
    const turnedAway = linked.gateways.find(gateway => gateway !== readerOf(linked, "configuration"))!;
    linked.evacuate("far");
    linked.advance(1_000);
    linked.loseNewest("configuration");
    linked.evacuate("near");
    linked.turnedAway.add(turnedAway);
    linked.advance(20_000);
    assert.equal(linked.gateways.map(gateway => isEvacuated(gateway, "near")), [true, true, true, true, true]);
});

test("a gateway that the log turns away does not call it more often for lost records", () => {
    const linked = linkedGateways();
    const turnedAway = linked.gateways.find(gateway => gateway !== readerOf(linked, "configuration"))!;
    const readsIn = (): number => {
        const before = linked.snapshots;
        linked.advance(20_000);
        return linked.snapshots - before;
    };
    linked.turnedAway.add(turnedAway);
    const usual = readsIn();
    linked.evacuate("far");
    linked.advance(1_000);
    linked.loseNewest("configuration");
    linked.evacuate("near");
    const afterLoss = readsIn();
    assert.ok(afterLoss <= 2 * usual + 10, `${usual}, then ${afterLoss}`);
});

// A peer had it, and nobody has it any more.
test("a gateway denies unknown routes again when nobody has the version that a peer once told", () => {
    const linked = linkedGateways();
    const others = linked.gateways.slice(1);
    others.forEach(other => other.receiveReport({ configurationVersion: 2 }));
    linked.advance(60_000);
    assert.equal(others.map(other => isDenied(other, "unknown")), [true, true, true, true]);
});

// The log ends before the record of the configuration in force, so every peer seems to lack it.
test("gateways do not send a lost configuration in every report while the log is shorter", () => {
    const linked = linkedGateways();
    linked.configure(withRoute(2));
    linked.advance(300);
    linked.configure(withRoute(3));
    linked.advance(300);
    linked.loseNewest("configuration");
    linked.loseNewest("configuration");
    linked.advance(10_000);
    linked.deliveredItems = 0;
    linked.snapshots = 0;
    linked.advance(10_000);
    assert.ok(linked.deliveredItems < 20, `${linked.deliveredItems}`);
});

// A change less than 600 ms after the last one puts the comparison off.
test("evacuations are compared with the log while configurations change", () => {
    const linked = linkedGateways();
    linked.evacuate("far");
    linked.advance(300);
    linked.loseNewest("configuration");
    linked.evacuate("near");
    for (let version = 2; version < 42; version++) {
        linked.configure(withRoute(version));
        linked.advance(500);
    }
    assert.equal(linked.gateways.map(gateway => isEvacuated(gateway, "near")), [true, true, true, true, true]);
});

// As when one runs software that decodes a record in another way.
test("a gateway whose servers differ for good does not make all others read snapshots", () => {
    const counts = [5, 10, 20].map(size => {
        const linked = linkedGateways(size);
        linked.gateways[1].state.serversDigest += 1;
        linked.advance(5_000);
        linked.snapshots = 0;
        linked.advance(30_000);
        return linked.snapshots;
    });
    assert.ok(counts[2] < 2 * counts[0], `${counts.join(", ")}`);
});

// The next comparison is up to 5 s after the last one.
test("gateways learn in time what replaced a record that was lost over 600 ms after it was read", () => {
    const durations = [700, 1_000, 2_000, 4_000].map(delay => {
        const linked = linkedGateways();
        linked.configure(withRoute(2));
        linked.advance(delay);
        linked.loseNewest("configuration");
        linked.configure(withRoute(3));
        return linked.advanceUntil(() => versionsIn(linked).every(version => version === 3), 10_000);
    });
    assert.ok(Math.max(...durations) <= configurationLimit, `${durations.join(", ")} ms`);
});

// An older configuration that is stored late changes nothing.
test("gateways learn in time what replaced an older configuration that was stored late and lost", () => {
    const linked = linkedGateways();
    linked.configure(withRoute(3));
    linked.advance(2_000);
    linked.configure(withRoute(2));
    linked.advance(300);
    linked.loseNewest("configuration");
    linked.configure(withRoute(4));
    const duration = linked.advanceUntil(() => versionsIn(linked).every(version => version === 4), 10_000);
    assert.ok(duration <= configurationLimit, `${duration} ms`);
});

/** Counts the configurations that a gateway gets beside the topics. */
function countSentConfigurations(gateway: TestGateway): () => number {
    let count = 0;
    const handle = gateway.handle.bind(gateway);
    gateway.handle = event => {
        count += event.kind === "peerReported" && event.report.configurationItem !== undefined ? 1 : 0;
        return handle(event);
    };
    return () => count;
}

// Each peer sends it by itself.
test("a gateway that lacks the newest configuration gets it from few of the others", () => {
    const counts = [5, 10, 20].map(size => {
        const linked = linkedGateways(size);
        linked.configure(withRoute(3));
        linked.advance(300);
        linked.configure(withRoute(2));
        linked.advance(300);
        linked.restart(linked.gateways[1]);
        const sent = countSentConfigurations(linked.gateways[1]);
        linked.advance(5_000);
        return sent();
    });
    assert.ok(Math.max(...counts) <= 3, `${counts.join(", ")} copies at 5, 10 and 20 gateways`);
});

// As when others run newer software.
test("a gateway that can't decode the newest configuration does not get it again and again", () => {
    const linked = linkedGateways();
    const old = linked.gateways.find(gateway => gateway !== readerOf(linked, "configuration"))!;
    const handle = old.handle.bind(old);
    const withoutNewer = (items: readonly DecodedItem[]): DecodedItem[] =>
        items.map(({ item, records }) => ({
            item,
            records: records.map(record =>
                record.kind === "configuration" && record.configuration.version > 1
                    ? { kind: "configurationUndecodable" }
                    : record
            ),
        }));
    old.handle = event => {
        if (event.kind === "topicRead") {
            return handle({ ...event, items: withoutNewer(event.items) });
        }
        if (event.kind === "peerReported") {
            const { configuration: items, lackingConfiguration } = event.items;
            return handle({
                ...event,
                items: {
                    ...event.items,
                    configuration: withoutNewer(items),
                    lackingConfiguration: lackingConfiguration && withoutNewer([lackingConfiguration])[0],
                },
            });
        }
        return handle(event);
    };
    const sent = countSentConfigurations(old);
    linked.configure(withRoute(2));
    linked.advance(30_000);
    assert.ok(sent() <= 10, `${sent()} copies in 30 s`);
});

// Its offset is beyond what the others report, so nothing that they tell is applied.
test("a gateway that the log turns away does not go without all news because it knows a longer log", () => {
    const linked = linkedGateways();
    const turnedAway = linked.gateways.find(gateway => gateway !== readerOf(linked, "backendServers"))!;
    for (let heartbeat = 2; heartbeat < 12; heartbeat++) {
        linked.register(server("plain-1", { heartbeat }));
    }
    linked.advance(1_000);
    for (let lost = 0; lost < 10; lost++) {
        linked.loseNewest("backendServers");
    }
    linked.turnedAway.add(turnedAway);
    linked.remove("plain-2");
    linked.advance(20_000);
    assert.equal(linked.gateways.map(gateway => isGone(gateway, "plain-2")), [true, true, true, true, true]);
});

// Its key is absent below the end of the log, as after a removal; but the log is no longer than before.
test("a loss counts as one where another key has taken the offset of the lost record", () => {
    const linked = linkedGateways();
    linked.evacuate("far");
    linked.advance(300);
    linked.loseNewest("configuration");
    linked.evacuate("near");
    linked.advance(10_000);
    const histories = linked.gateways.map(({ state }) => state.followers.configuration.history);
    assert.equal(histories, [1, 1, 1, 1, 1]);
});

// The loss is not counted, and digests are compared only every 5 s.
test("a second loss within 5 s is known everywhere as soon as the first", () => {
    const linked = linkedGateways();
    const replaceEvacuation = (lost: string, stored: string): number => {
        linked.evacuate(lost);
        linked.advance(300);
        linked.loseNewest("configuration");
        linked.evacuate(stored);
        const isKnown = (gateway: TestGateway): boolean => isEvacuated(gateway, stored) && !isEvacuated(gateway, lost);
        return linked.advanceUntil(() => linked.gateways.every(isKnown), 20_000);
    };
    linked.advance(3_000);
    const first = replaceEvacuation("lost-1", "stored-1");
    linked.advance(1_000);
    const second = replaceEvacuation("lost-2", "stored-2");
    assert.ok(second <= 2 * first, `${first}, then ${second} ms`);
});

// A comparison that failed is followed by snapshots alone, at each gateway that takes over.
test("gateways follow the log while it answers reads from an offset and refuses snapshots", () => {
    const linked = linkedGateways();
    linked.refusesSnapshots = true;
    linked.advance(20_000);
    linked.configure(withRoute(2));
    linked.advance(10_000);
    assert.equal(versionsIn(linked), [2, 2, 2, 2, 2]);
});

// As by the timeout of one read.
test("a reader whose read failed once goes on while the log refuses snapshots", () => {
    const linked = linkedGateways();
    linked.refusesSnapshots = true;
    linked.gateways.forEach(gateway => linked.turnedAway.add(gateway));
    linked.advance(1_000);
    linked.turnedAway.clear();
    linked.register(server("plain-4"));
    linked.advance(20_000);
    assert.equal(linked.gateways.map(gateway => isGone(gateway, "plain-4")), [false, false, false, false, false]);
});

/** Lets one gateway alone read what the log gets from now on. */
function readAlone(linked: LinkedGateways, reader: TestGateway): void {
    linked.isolate(reader);
    linked.gateways.filter(other => other !== reader).forEach(other => linked.turnedAway.add(other));
    linked.turnedAway.delete(reader);
}

// A gateway without an offset to go on from reports no records.
test("gateways get a configuration from one whose read was beyond the end, while the log refuses snapshots", () => {
    const linked = linkedGateways();
    readAlone(linked, linked.gateways[0]);
    linked.advance(3_000);
    linked.configure(withRoute(2));
    linked.configure(withRoute(3));
    linked.advance(300);
    linked.refusesSnapshots = true;
    linked.loseNewest("configuration");
    linked.advance(3_000);
    linked.restoreLinks();
    linked.advance(configurationLimit);
    assert.equal(versionsIn(linked), [3, 3, 3, 3, 3]);
});

// Its reports count as older than the loss.
test("gateways that know of a loss get a configuration from one that does not, while the log refuses snapshots", () => {
    const linked = linkedGateways();
    const [reader] = linked.gateways;
    linked.evacuate("far");
    linked.advance(300);
    linked.isolate(reader);
    linked.turnedAway.add(reader);
    linked.loseNewest("configuration");
    linked.advance(3_000);
    linked.refusesSnapshots = true;
    readAlone(linked, reader);
    linked.configure(withRoute(2));
    linked.configure(withRoute(3));
    linked.advance(3_000);
    linked.restoreLinks();
    linked.advance(configurationLimit);
    assert.equal(versionsIn(linked), [3, 3, 3, 3, 3]);
});

test.run();
