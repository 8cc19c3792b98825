/**
 * Snapshots of a log that loses records, or whose history is deleted while they are read.
 */
import type { GatewayEffect, TopicName } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { server, TestGateway } from "./gatewayBuilders.js";

const attempts = 20;

const startsSnapshot = (effects: readonly GatewayEffect[], topic: TopicName): boolean =>
    effects.some(effect => effect.kind === "readSnapshot" && effect.topic === topic);

// Each failure started the next snapshot, so that the log got as many calls as it could answer.
test("a gateway pauses between snapshots that fail because the history is deleted", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const fail = () => gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure: "records_deleted" });
    gateway.advance(1_000);
    const snapshots = Array.from({ length: attempts }, fail).filter(effects =>
        startsSnapshot(effects, "backendServers")
    );
    assert.ok(snapshots.length < attempts, `${snapshots.length} of ${attempts} at once`);
});

// What it knew and since when was forgotten, so that it refused requests without a route as possibly outdated.
test("a gateway knows how old its configuration is after a comparison with the log that failed", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    let effects: readonly GatewayEffect[] = [];
    for (let reads = 0; reads < 200 && !startsSnapshot(effects, "configuration"); reads++) {
        effects = [...gateway.read("configuration", []), ...gateway.advance(50)];
    }
    assert.ok(startsSnapshot(effects, "configuration"));
    assert.ok(gateway.state.followers.configuration.freshAsOf !== undefined);
    gateway.handle({ kind: "topicReadFailed", topic: "configuration", failure: "records_deleted" });
    assert.ok(gateway.state.followers.configuration.freshAsOf !== undefined);
});

// The log may end before the offset up to which the gateway knows it, and what took the place of lost records is before that.
test("a snapshot because of a loss that another gateway has found does not go on from the end known before it", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const read = { reader: identifier<never>("reader"), count: 1 };
    const name = "backendServers";
    const { next = 0 } = gateway.state.followers[name];
    const topic = { name, since: next, through: next, read, age: 0, items: [], isComplete: false, digest: 1 } as const;
    const effects = [...gateway.receiveReport({ topics: [{ ...topic, history: 1 }] }), ...gateway.advance(5_000)];
    const snapshots = effects.filter(effect => effect.kind === "readSnapshot" && effect.topic === name);
    assert.equal(snapshots, [{ kind: "readSnapshot", topic: name }]);
});

test.run();
