import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { server, TestGateway } from "./gatewayBuilders.js";
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
    gateway.answer(gateway.sendRequest("c1", "confirm"), { ...refused, requestLimit: 2 });
    assert.is(limitOf(gateway, "plain-1"), 2);
    gateway.now += 1_000;
    gateway.answer(gateway.sendRequest("c2", "confirm"), { ...refused, status: 421, requestLimit: 7 });
    gateway.answer(gateway.sendRequest("c3", "confirm"), { requestLimit: "unreadable" });
    assert.is(limitOf(gateway, "plain-1"), 2);
    const call = gateway.sendRequest("p1", "plan");
    gateway.openStream(call, { requestLimit: 5 });
    assert.is(limitOf(gateway, "engine-2"), 5);
});

/** By the platform's rule: one and a half times the limit over four seconds, and five requests more. */
const allowedIn4Seconds = (perSecond: number): number => 1.5 * 4 * perSecond + 5;

// A server that had named a limit got its full share of the requests (LIMIT).
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

test.run();
