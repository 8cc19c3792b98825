/**
 * Cold servers: a server that received more than the bound of its service, summed over all gateways, would crash.
 */
import { type BackendRecord, markReturningDomain } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callsIn,
    configuration,
    engineService,
    failuresIn,
    linesIn,
    plainService,
    server,
    TestGateway,
} from "./gatewayBuilders.js";
import { GatewayCluster } from "./gatewayCluster.js";

const coldBound = { overshoot: 1.5, tolerance: 5 };
const perSecond = 31;
const allowed = 1.5 * perSecond + 5;
const { services } = configuration(1);
const coldStart = { perSecond, duration: 10_000 };
const routing = configuration(1, {
    services: new Map([...services].map(([name, service]) => [name, { ...service, coldStart }])),
});
const cold = server("plain-1", { remainingWarmUp: 600_000 });
const warm = server("plain-2");

function clusterOf(size: number, ...servers: readonly BackendRecord[]): GatewayCluster {
    return new GatewayCluster(size, servers, { coldBound }, routing);
}

function gatewayServing(...servers: readonly BackendRecord[]): TestGateway {
    const gateway = new TestGateway({ coldBound });
    gateway.configure(routing);
    gateway.register(...servers);
    gateway.advance(50);
    return gateway;
}

/** Counts the requests that the first server received from a time on. */
const arrivalsSince = ({ arrivals }: GatewayCluster, from: number): number =>
    arrivals.filter(({ server: id, at }) => id === "plain-1" && at >= from).length;

function assertBound(cluster: GatewayCluster, from = 0): void {
    const most = cluster.mostArrivals("plain-1", 1_000, from);
    assert.ok(most <= allowed, `${most} requests in one second, ${allowed} are allowed`);
}

// All servers are cold, or become so, since a gateway would send the requests to a warm one.
test("a cold server gets its rate and no more, from gateways that start at the same time", () => {
    for (const size of [1, 3, 24, 68]) {
        const cluster = clusterOf(size, cold);
        cluster.run(4_000, "confirm", 600);
        const from = cluster.now;
        cluster.run(4_000, "confirm", 600);
        assertBound(cluster);
        const count = arrivalsSince(cluster, from);
        assert.ok(count >= 0.9 * 4 * perSecond, `${size} gateways: ${count} in 4 s`);
    }
});

test("the bound holds when a warm server becomes cold under full load", () => {
    const cluster = clusterOf(24, server("plain-1"));
    cluster.run(4_000, "confirm", 600);
    assert.ok(cluster.mostArrivals("plain-1", 1_000, 0) > 500);
    cluster.register({ ...cold, heartbeat: 2 });
    const from = cluster.now + 1;
    cluster.run(6_000, "confirm", 600);
    assertBound(cluster, from);
    assert.ok(arrivalsSince(cluster, from) >= 0.8 * 6 * perSecond);
});

test("the bound holds when gateways know nobody, are partitioned for long, frozen, and start", () => {
    const cluster = clusterOf(24, cold);
    cluster.gatewaysInUse = 20;
    cluster.isolate(0);
    cluster.run(4_000, "confirm", 600);
    cluster.isolate(1);
    cluster.freeze(2);
    cluster.run(5_000, "confirm", 600);
    cluster.gatewaysInUse = 24;
    cluster.run(3_000, "confirm", 600);
    cluster.resume(2);
    cluster.run(55_000, "confirm", 400);
    cluster.rejoin(0);
    cluster.rejoin(1);
    const from = cluster.now;
    cluster.run(5_000, "confirm", 600);
    assertBound(cluster);
    assert.ok(arrivalsSince(cluster, from) >= 0.8 * 5 * perSecond);
});

test("several gateways that resume from a freeze at the same time don't send their bursts", () => {
    const cluster = clusterOf(5, cold);
    cluster.run(4_000, "confirm", 400);
    [0, 1, 2, 3].forEach(index => cluster.freeze(index));
    cluster.run(70_000, "confirm", 400);
    [0, 1, 2, 3].forEach(index => cluster.resume(index));
    const resumedAt = cluster.now;
    cluster.run(500, "confirm", 400);
    assert.ok(arrivalsSince(cluster, resumedAt + 1) <= 1, "only the gateway that was not frozen sends");
    cluster.run(2_500, "confirm", 400);
    const from = cluster.now;
    cluster.run(4_000, "confirm", 400);
    assertBound(cluster);
    assert.ok(arrivalsSince(cluster, from) >= 0.9 * 4 * perSecond, "after a while each has its share again");
});

// The others forget a gateway after 60 s and divide its share: until then it must use little of it.
test("a gateway that hears from no other reduces its share before the others forget it", () => {
    const gateway = gatewayServing(cold);
    const share = (): number | undefined =>
        gateway.state.coldServers.allowances.get(cold.id)?.allowance.share.perSecond;
    gateway.receiveReport({});
    gateway.advance(5_000);
    assert.is(share(), perSecond / 2);
    gateway.advance(46_000);
    assert.is(gateway.state.members.size, 1);
    assert.is(share(), perSecond / 32);
});

test("requests are rejected with the time until an allowance where all plain servers are cold", () => {
    const cluster = clusterOf(6, cold, { ...warm, remainingWarmUp: 600_000 });
    cluster.run(8_000, "confirm", 200);
    assertBound(cluster);
    assert.ok(cluster.failures.length > 0);
    for (const { type, outcome, retryAfter } of cluster.failures) {
        assert.equal([type, outcome], ["overloaded", "not_run"]);
        assert.ok(retryAfter !== undefined && retryAfter > 0);
    }
});

test("a stream waits for a cold engine within its objective, and is rejected without a share", () => {
    const engine = server("engine-1", { remainingWarmUp: 600_000 });
    const gateway = gatewayServing(engine);
    assert.equal([callsIn(gateway.receiveRequest("p1", "plan")).length, gateway.state.waiting.size], [0, 1]);
    assert.is(callsIn(gateway.advance(100)).length, 1);
    const effects = Array.from({ length: 60 }, (_, index) => gateway.receiveRequest(`q${index}`, "plan")).flat();
    const waiting = gateway.state.waiting.size;
    assert.ok(waiting >= 35 && waiting <= 45, `${waiting} can start within 1.36 s at 31 a second`);
    assert.is(callsIn(effects).length + failuresIn(effects).length + waiting, 60);
    const lone = new TestGateway({ coldBound, seedAddresses: [identifier("10.1.0.9:8748")] });
    lone.configure(configuration(1, {
        services: new Map([[engineService, {
            ...services.get(engineService)!,
            coldStart: { perSecond: 1, duration: 0 },
        }]]),
    }));
    lone.register(engine);
    lone.advance(50);
    const [failure] = failuresIn(lone.receiveRequest("p2", "plan"));
    assert.is(failure.type, "overloaded");
    assert.ok(failure.retryAfter! >= 1_000);
});

test("a cold server is no holder of a replica and no migration target, but finishes what it runs", () => {
    const gateway = gatewayServing(server("engine-1"), server("engine-2", { remainingWarmUp: 600_000 }));
    gateway.advance(1_000);
    const call = gateway.startStream("p1", "plan");
    assert.equal([call.backendServer, call.replicaAddress], ["engine-1", undefined]);
    const effects = gateway.register(server("engine-1", { isDraining: true, heartbeat: 2 }));
    assert.is(linesIn(effects, "move_without_target").length, 1);
});

test("a server is cold by its newest record, its newest answer, or the return of its domain, and then warm", () => {
    const gateway = gatewayServing(server("plain-1"));
    const countCold = (): number => {
        gateway.advance(50);
        return gateway.state.coldServers.allowances.size;
    };
    const call = gateway.sendRequest("c1", "confirm");
    gateway.answer(call, { coldRemaining: 5_000 });
    assert.is(countCold(), 1);
    gateway.register(server("plain-1", { heartbeat: 2 }));
    assert.is(countCold(), 1, "a record with 0 does not end what the answer states");
    gateway.advance(1_000);
    gateway.answer(gateway.sendRequest("c2", "confirm"), { coldRemaining: 0 });
    assert.is(countCold(), 0);
    gateway.register(server("plain-1", { heartbeat: 3, remainingWarmUp: 2_000 }));
    assert.is(countCold(), 1);
    assert.equal(linesIn(gateway.advance(2_000), "server_warm"), [], "an end up to 500 ms later is not reported");
    assert.is(linesIn(gateway.advance(500), "server_warm").length, 1);
    markReturningDomain(
        { state: gateway.state, now: gateway.now, effects: [], source: { random: Math.random, newIdentifier: String } },
        identifier("near"),
    );
    gateway.register(server("plain-1", { heartbeat: 4 }));
    const [line] = linesIn(gateway.advance(50), "server_cold");
    assert.equal([line.server, line.for, line.rate, line.share], ["plain-1", 12_950, 31, 31]);
    gateway.advance(12_800);
    assert.is(countCold(), 1);
    gateway.advance(150);
    assert.is(countCold(), 0);
});

test("cold servers are not limited where the settings or the service state no rate", () => {
    const plain = { name: plainService, engine: undefined };
    for (const [overrides, service] of [[{}, { ...plain, coldStart }], [{ coldBound }, plain]] as const) {
        const gateway = new TestGateway(overrides);
        gateway.configure(configuration(1, { services: new Map([[plainService, service]]) }));
        gateway.register(cold);
        assert.is(callsIn(gateway.receiveRequest("c1", "confirm")).length, 1);
    }
});

/** Lets a gateway read records, and returns the keys that it reports to a peer which knows what it has read before. */
function readerWithPeer(gateway: TestGateway): (...records: readonly BackendRecord[]) => readonly string[] {
    gateway.receiveReport({});
    const { configuration, backendServers } = gateway.state.followers;
    const topicOf = (name: "configuration" | "backendServers", through: number) => ({
        name,
        since: through,
        read: { reader: identifier<never>("reader"), count: 1 },
        through,
        age: 0,
        items: [],
        isComplete: false,
    });
    gateway.receiveReport({
        topics: [topicOf("configuration", configuration.next!), topicOf("backendServers", backendServers.next!)],
    });
    return (...records) => {
        gateway.now += 1;
        return gateway.read(
            "backendServers",
            records.map(record => gateway.item(record.id, [{ kind: "backendServer", record }])),
        )
            .flatMap(effect => effect.kind === "sendReport" ? effect.report.topics : [])
            .filter(({ name }) => name === "backendServers")
            .flatMap(({ items }) => items.map(({ key }) => key));
    };
}

// Gateways learn what servers register from the one that reads it, which reports only what is more than a heartbeat.
test("a server that becomes cold under its id is reported to the other gateways, as is a changed registration", () => {
    const reportedBy = readerWithPeer(gatewayServing(warm));
    assert.equal(reportedBy({ ...warm, heartbeat: 2 }), [], "a heartbeat");
    assert.equal(reportedBy({ ...warm, heartbeat: 3, remainingWarmUp: 900 }), ["plain-2"]);
    // Each end was compared with that of the heartbeat before, so that many small delays were never reported.
    assert.equal(reportedBy({ ...warm, heartbeat: 4, remainingWarmUp: 1_300 }), [], "the delay of a heartbeat");
    assert.equal(reportedBy({ ...warm, heartbeat: 5, remainingWarmUp: 1_700 }), ["plain-2"], "two delays");
    assert.equal(reportedBy({ ...warm, heartbeat: 6, slots: 9 }), ["plain-2"]);
});

// A gateway that reads the log late takes the first record's end for later than those do that have read it in time.
test("a longer cold time is reported by a gateway that has read the beginning of the cold time late", () => {
    const gateway = gatewayServing(warm);
    const reportedBy = readerWithPeer(gateway);
    const late = [8_000, 7_000, 6_000, 5_000].map((remainingWarmUp, index) => ({
        ...warm,
        heartbeat: index + 2,
        remainingWarmUp,
    }));
    reportedBy(...late);
    gateway.now += 1_000;
    assert.equal(reportedBy({ ...warm, heartbeat: 6, remainingWarmUp: 4_000 }), [], "a heartbeat");
    gateway.now += 1_000;
    assert.equal(reportedBy({ ...warm, heartbeat: 7, remainingWarmUp: 6_000 }), ["plain-2"]);
});

test("a record of a cold server that is read again tells no later end, and a longer cold time is reported after it", () => {
    const gateway = gatewayServing(warm);
    const reportedBy = readerWithPeer(gateway);
    const cold = { ...warm, heartbeat: 2, remainingWarmUp: 6_000 };
    assert.equal(reportedBy(cold), ["plain-2"]);
    gateway.now += 2_500;
    assert.equal(reportedBy(cold), []);
    gateway.now += 100;
    assert.equal(reportedBy({ ...cold, heartbeat: 3, remainingWarmUp: 6_010 }), ["plain-2"]);
});

test.run();
