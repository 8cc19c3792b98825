/**
 * Backend servers that refuse requests and say for how long they want none.
 */
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, failuresIn, kindsIn, server, TestGateway } from "./gatewayBuilders.js";

const refusal = { status: 503, isNotRun: true, isSealed: false };

function gatewayWithPlainServers(): TestGateway {
    return TestGateway.serving(server("plain-1"), server("plain-2"));
}

/** The servers that get the next calls. */
function targets(gateway: TestGateway): Set<string> {
    const servers = Array.from({ length: 12 }, (_, index) => {
        const call = gateway.sendRequest(`next${gateway.now}-${index}`, "confirm");
        gateway.answer(call);
        return String(call.backendServer);
    });
    return new Set(servers);
}

test("a server that refuses with a pause gets nothing until it is over, and other servers are used", () => {
    const gateway = gatewayWithPlainServers();
    const call = gateway.sendRequest("r", "confirm");
    const [repeat] = callsIn(gateway.answer(call, { ...refusal, retryAfter: 1_500 }));
    assert.is.not(repeat.backendServer, call.backendServer);
    gateway.answer(repeat);
    assert.equal([...targets(gateway)], [repeat.backendServer]);
    gateway.advance(1_450);
    assert.equal([...targets(gateway)], [repeat.backendServer]);
    gateway.advance(100);
    gateway.remove(String(repeat.backendServer));
    assert.equal([...targets(gateway)], [call.backendServer]);
});

test("a shorter pause does not end a longer one, and calls under way go on", () => {
    const gateway = TestGateway.serving(server("plain-1"));
    const calls = ["a", "b", "c"].map(id => gateway.sendRequest(id, "confirm"));
    gateway.answer(calls[0], { ...refusal, retryAfter: 2_000 });
    gateway.answer(calls[1], { ...refusal, retryAfter: 100 });
    assert.ok(kindsIn(gateway.answer(calls[2])).includes("answerWhole"));
    gateway.advance(1_000);
    assert.equal(callsIn(gateway.receiveRequest("d", "confirm")), []);
});

test("where all servers pause, requests are refused at once with the time at which the first is back", () => {
    const gateway = gatewayWithPlainServers();
    const [call, other] = [gateway.sendRequest("r", "confirm"), gateway.sendRequest("s", "confirm")];
    assert.is.not(call.backendServer, other.backendServer);
    gateway.answer(other, { ...refusal, retryAfter: 4_000 });
    const [first] = failuresIn(gateway.answer(call, { ...refusal, retryAfter: 2_500 }));
    gateway.advance(500);
    const [second] = failuresIn(gateway.receiveRequest("t", "lookup"));
    for (const [failure, wait] of [[first, 2_500], [second, 2_000]] as const) {
        assert.is(failure.type, "overloaded");
        assert.is(failure.outcome, "not_run");
        assert.ok(failure.retryAfter! >= wait, `${failure.retryAfter}`);
        assert.ok(failure.retryAfter! <= 2 * wait, `${failure.retryAfter}`);
    }
});

test("an engine that pauses is neither continued at, nor migrated to, nor probed, nor replicated to", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
    const stream = gateway.startReplicatedStream("one", "plan");
    const replica = stream.backendServer === "engine-1" ? "engine-2" : "engine-1";
    const refused = gateway.sendRequest("two", "note", { promptTokens: 10 });
    const pausing = refused.backendServer;
    gateway.answer(refused, { ...refusal, retryAfter: 5_000 });
    const next = gateway.sendRequest("three", "plan", { promptTokens: 10 });
    assert.is.not(next.backendServer, pausing);
    assert.is(next.replicaAddress, undefined);
    const effects = [...gateway.failAttempt(stream), ...gateway.advance(1_500)];
    assert.ok(callsIn(effects).every(({ backendServer }) => backendServer !== pausing), `the replica is at ${replica}`);
    assert.ok(effects.every(effect => effect.kind !== "probeServer" || effect.backendServer !== pausing));
});

test("an unreadable pause is ignored, and a new incarnation ends one", () => {
    const gateway = TestGateway.serving(server("plain-1", { startedAt: 1 }));
    gateway.answer(gateway.sendRequest("a", "confirm"), { ...refusal, retryAfter: "unreadable" });
    const call = gateway.sendRequest("b", "confirm");
    assert.ok(call !== undefined);
    gateway.answer(call, { ...refusal, retryAfter: 60_000 });
    assert.equal(callsIn(gateway.receiveRequest("c", "confirm")), []);
    gateway.register(server("plain-1", { startedAt: 2 }));
    assert.is(gateway.sendRequest("d", "confirm").backendServer, identifier<never>("plain-1"));
});

test("the migrations of a server that leaves wait for the end of its pause", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));
    const stream = gateway.startStream("one", "plan");
    const { attempt } = gateway.state.attempts.get(stream.attemptId)!;
    gateway.state.pausedUntil.set(stream.backendServer, gateway.now + 1_000);
    gateway.state.servers.delete(attempt!.replica!.record.id);
    const id = String(stream.backendServer);
    const started = gateway.register(server(id, { isDraining: true, heartbeat: 2 }));
    assert.not.ok(kindsIn(started).includes("migrateRun"));
    assert.ok(kindsIn(gateway.advance(1_100)).includes("migrateRun"));
});

test.run();
