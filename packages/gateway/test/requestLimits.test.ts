import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, kindsIn, server, TestGateway } from "./gatewayBuilders.js";
import { GatewayCluster } from "./gatewayCluster.js";

const limitOf = ({ state }: TestGateway, id: string): number | undefined =>
    state.requestLimits.get(identifier(id))?.perSecond;

test("the limit of the newest answer is in force, and an answer to an older request does not end it", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const [first, second] = [gateway.sendRequest("c1", "confirm"), gateway.sendRequest("c2", "confirm")];
    gateway.now += 10;
    gateway.answer(first, { requestLimit: 3 });
    assert.is(limitOf(gateway, "plain-1"), 3);
    gateway.answer(second);
    assert.is(limitOf(gateway, "plain-1"), 3);
    gateway.now += 1_000;
    const third = gateway.sendRequest("c3", "confirm");
    gateway.answer(third);
    assert.is(limitOf(gateway, "plain-1"), undefined);
});

test("a limit is taken from refusals and streams, and not from answers of another server or unreadable ones", () => {
    const gateway = TestGateway.serving(server("plain-1"), server("engine-2"));
    const refused = { status: 503, isNotRun: true, isSealed: false };
    gateway.answer(gateway.sendRequest("c1", "confirm"), { ...refused, requestLimit: 200 });
    assert.is(limitOf(gateway, "plain-1"), 200);
    gateway.now += 1_000;
    gateway.answer(gateway.sendRequest("c2", "confirm"), { ...refused, status: 421, requestLimit: 7 });
    gateway.answer(gateway.sendRequest("c3", "confirm"), { requestLimit: "unreadable" });
    assert.is(limitOf(gateway, "plain-1"), 200);
    const call = gateway.sendRequest("p1", "plan");
    gateway.openStream(call, { requestLimit: 5 });
    assert.is(limitOf(gateway, "engine-2"), 5);
});

/** By the platform's rule: one and a half times the limit over four seconds, and five requests more. */
const allowedIn4Seconds = (perSecond: number): number => 1.5 * 4 * perSecond + 5;

// A server that had declared a limit got its full share of the requests (LIMIT).
test("all gateways together keep the limit of a server", () => {
    for (const [size, perSecond] of [[5, 1.4], [5, 0], [5, 12], [1, 0.5], [29, 1.4], [29, 6]] as const) {
        const cluster = new GatewayCluster(size, [server("plain-1"), server("plain-2"), server("plain-3")]);
        cluster.run(2_000, "confirm", 40);
        cluster.answerOf = id => id === "plain-1" ? { requestLimit: perSecond } : {};
        cluster.run(3_000, "confirm", 40);
        const limitedSince = cluster.now;
        cluster.run(12_000, "confirm", 40);
        const most = cluster.mostArrivals("plain-1", 4_000, limitedSince);
        const allowed = allowedIn4Seconds(perSecond);
        assert.ok(most <= allowed, `${size} gateways, limit ${perSecond}: ${most} in 4 s, ${allowed} are allowed`);
        assert.is(cluster.failures.length, 0, "the other servers take the requests");
    }
});

test("the limit holds while one gateway is out of reach of the others, and when others start and stop", () => {
    for (const perSecond of [1.4, 6]) {
        const cluster = new GatewayCluster(6, [server("plain-1"), server("plain-2")]);
        cluster.answerOf = id => id === "plain-1" ? { requestLimit: perSecond } : {};
        cluster.gatewaysInUse = 5;
        cluster.run(3_000, "confirm", 40);
        const limitedSince = cluster.now;
        cluster.isolate(0);
        cluster.run(8_000, "confirm", 40);
        cluster.rejoin(0);
        cluster.gatewaysInUse = 6;
        cluster.run(6_000, "confirm", 40);
        cluster.gatewaysInUse = 3;
        cluster.run(16_000, "confirm", 40);
        const most = cluster.mostArrivals("plain-1", 4_000, limitedSince);
        assert.ok(most <= allowedIn4Seconds(perSecond), `${most} in 4 s with a limit of ${perSecond} a second`);
        const recent = cluster.arrivals.filter(({ server: id, at }) => id === "plain-1" && at >= cluster.now - 4_000);
        assert.ok(recent.length >= 0.7 * 4 * perSecond, `${recent.length} in 4 s: the others take over the share`);
    }
});

// A report counted as sent when it arrived, so that the limit in it replaced one that the gateway had observed later.
test("a limit that falls is kept while the links between gateways are behind", () => {
    for (const limit of [3_000, 6_000]) {
        const cluster = new GatewayCluster(5, [server("plain-1"), server("plain-2"), server("plain-3")]);
        cluster.answerOf = id => id === "plain-1" ? { requestLimit: 200 } : {};
        cluster.run(2_000, "confirm", 40);
        const start = cluster.now;
        cluster.reportDelay = () => Math.min(limit, Math.round((cluster.now - start) * 0.3));
        cluster.run(22_000, "confirm", 40);
        cluster.answerOf = id => id === "plain-1" ? { requestLimit: 1.4 } : {};
        const fellAt = cluster.now;
        cluster.run(12_000, "confirm", 40);
        const most = cluster.mostArrivals("plain-1", 4_000, fellAt + 1_000);
        assert.ok(most <= allowedIn4Seconds(1.4), `links behind by ${limit} ms: ${most} in 4 s`);
    }
});

test("a service whose servers all limit their requests gets as many as they take, and the others are refused", () => {
    const cluster = new GatewayCluster(5, [server("plain-1"), server("plain-2")]);
    cluster.answerOf = () => ({ requestLimit: 4 });
    cluster.run(3_000, "confirm", 40);
    const [served, refused] = [cluster.arrivals.length, cluster.failures.length];
    cluster.run(10_000, "confirm", 40);
    const count = cluster.arrivals.length - served;
    assert.ok(count >= 72 && count <= 88, `${count} requests in 10 s, at two servers that take 4 a second each`);
    assert.is(cluster.failures.length - refused, 400 - count);
    for (const { type, outcome, retryAfter } of cluster.failures) {
        assert.is(type, "overloaded");
        assert.is(outcome, "not_run");
        assert.ok(retryAfter !== undefined && retryAfter > 0);
    }
});

test("a server gets its share again as soon as it declares no limit", () => {
    const cluster = new GatewayCluster(5, [server("plain-1"), server("plain-2")]);
    cluster.answerOf = id => id === "plain-1" ? { requestLimit: 1.4 } : {};
    cluster.run(6_000, "confirm", 40);
    cluster.answerOf = () => ({});
    cluster.run(3_000, "confirm", 40);
    const before = cluster.arrivals.length;
    cluster.run(4_000, "confirm", 40);
    const recent = cluster.arrivals.slice(before).filter(({ server: id }) => id === "plain-1");
    assert.ok(recent.length >= 60, `${recent.length} of 160`);
});

test("a limit that another gateway observed is in force, until a newer answer declares none", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const report = (perSecond: number | undefined, age: number) =>
        gateway.receiveReport({ requestLimits: [{ backendServer: identifier("plain-1"), perSecond, age }] });
    report(2, 100);
    assert.is(callsIn(gateway.receiveRequest("c1", "confirm")).length, 0);
    report(undefined, 300);
    assert.is(limitOf(gateway, "plain-1"), 2, "an older answer changes nothing");
    report(undefined, 50);
    assert.is(callsIn(gateway.receiveRequest("c2", "confirm")).length, 1);
});

test("a limit in a report that may have been under way for any time is in force only while none is known", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const report = (perSecond: number) =>
        gateway.receiveReport({
            echo: undefined,
            requestLimits: [{ backendServer: identifier("plain-1"), perSecond, age: 0 }],
        });
    report(2);
    assert.is(limitOf(gateway, "plain-1"), 2);
    report(200);
    assert.is(limitOf(gateway, "plain-1"), 2);
});

test("a call is not withdrawn from a silent server while no server accepts it again", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    gateway.sendRequest("c1", "lookup");
    gateway.receiveReport({ requestLimits: [{ backendServer: identifier("plain-1"), perSecond: 0.5, age: 0 }] });
    const effects = gateway.advance(700);
    assert.not.ok(kindsIn(effects).includes("cancelAttempt"));
});

test("a stream continues from its replica only if the limit of the server that holds it allows the request", () => {
    for (const isLimited of [false, true]) {
        const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
        const call = gateway.startReplicatedStream("p1", "plan");
        const holder = call.backendServer === "engine-1" ? "engine-2" : "engine-1";
        if (isLimited) {
            gateway.receiveReport({ requestLimits: [{ backendServer: identifier(holder), perSecond: 1, age: 0 }] });
        }
        const continued = callsIn(gateway.failAttempt(call)).map(({ backendServer }) => backendServer);
        assert.equal(continued, isLimited ? [] : [holder]);
    }
});

test.run();
