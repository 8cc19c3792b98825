import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, eventsIn, kindsIn, linesIn, server, TestGateway } from "./gatewayBuilders.js";

const gatewayWithEngines = (): TestGateway =>
    TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));

for (const [promptTokens, completeAfter] of [[0, 500], [1_000, 600], [4_000, 900]] as const) {
    test(`the replica of a prompt of ${promptTokens} tokens is expected ${completeAfter} ms after the first event`, () => {
        for (const age of [completeAfter - 50, completeAfter + 50]) {
            const gateway = gatewayWithEngines();
            const call = gateway.startStream("r", "plan", { promptTokens, maximumTokens: 2_000 });
            assert.ok(call.replicaAddress !== undefined);
            for (let event = 2; (event - 1) * 50 <= age; event++) {
                gateway.advance(50);
                gateway.receiveEvents(call, event);
            }
            assert.is(callsIn(gateway.failAttempt(call)).length, age < completeAfter ? 0 : 1);
        }
    });
}

for (
    const [name, change] of [
        ["restarted", { startedAt: 2 }],
        ["runs another version now", { softwareVersion: "v2" as never, heartbeat: 2 }],
    ] as const
) {
    test(`a stream does not continue at a holder that ${name}`, () => {
        const gateway = gatewayWithEngines();
        const call = gateway.startReplicatedStream("r", "plan");
        const holder = gateway.state.attempts.get(call.attemptId)!.attempt!.replica!.record;
        gateway.register({ ...holder, ...change });
        assert.equal(callsIn(gateway.failAttempt(call)), []);
    });
}

test("a stream does not continue at a holder whose registration ended", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    gateway.remove(gateway.state.attempts.get(call.attemptId)!.attempt!.replica!.record.id);
    assert.equal(callsIn(gateway.failAttempt(call)), []);
});

// The holder was used for a second after its leaving was learnt, which may be 2.5 s after its acknowledgement.
test("a stream does not continue at a leaving holder that it would reach after the drain limit", () => {
    const continues = (viewAge: number, drainLimit: number): boolean => {
        const gateway = gatewayWithEngines();
        gateway.state.options = { ...gateway.state.options, drainLimit };
        const call = gateway.startReplicatedStream("r", "plan");
        const holder = gateway.state.attempts.get(call.attemptId)!.attempt!.replica!.record;
        // The first read started before the stream did.
        gateway.read("backendServers", []);
        gateway.advance(500);
        gateway.read("backendServers", []);
        gateway.now += viewAge;
        gateway.register({ ...holder, isDraining: true, heartbeat: 2 });
        gateway.now += 900;
        return callsIn(gateway.failAttempt(call)).length === 1;
    };
    assert.is(continues(400, 2_000), true);
    assert.is(continues(1_400, 2_000), false);
    assert.is(continues(1_400, 3_000), true);
});

test("a stream does not continue at a holder that gave notice long ago, whatever its record says", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    const holder = gateway.state.attempts.get(call.attemptId)!.attempt!.replica!.record.id;
    const report = { runs: [], isLeaving: true, startedAt: undefined };
    gateway.handle({ kind: "serverProbed", backendServer: holder, report });
    assert.equal(callsIn(gateway.failAttempt(call)), []);
});

test("a replica that expired while a run was silent is not expected again as soon as the run produces an event", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    gateway.advance(5_100);
    assert.equal(eventsIn(gateway.receiveEvents(call, 17)), [17]);
    assert.equal(callsIn(gateway.failAttempt(call)), []);
});

test("events that were read only after a freeze do not show that their run lasted as long as the freeze", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    // The server made events 2 and 3 within 100 ms and crashed. They waited in the socket.
    gateway.now += 3_000;
    assert.equal(eventsIn(gateway.receiveEvents(call, 2, 3)), [2, 3]);
    assert.equal(callsIn(gateway.failAttempt(call)), []);
});

test("a run does not continue when its replica's last update may be older than a replica is kept", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    // The last update can be up to an update interval older than the last event.
    gateway.advance(4_900);
    assert.equal(callsIn(gateway.failAttempt(call)), []);
});

test("a run that was continued is expected at its next holder only after what it had generated was transferred, too", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", { promptTokens: 100, maximumTokens: 6_000 });
    for (let event = 2; event <= 1_000; event++) {
        gateway.now += 25;
        gateway.receiveEvents(call, event);
    }
    const [next] = callsIn(gateway.failAttempt(call));
    assert.ok(next.replicaAddress !== undefined);
    gateway.openStream(next);
    gateway.receiveEvents(next, 1_001);
    // 4,100 tokens at 20 a millisecond, between failure domains: 410 ms after the first update.
    gateway.now += 600;
    gateway.receiveEvents(next, 1_002);
    assert.equal(callsIn(gateway.failAttempt(next)), []);
});

test("a run that has produced all its tokens does not continue: its replica is freed when it ends", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", { maximumTokens: 64 });
    gateway.produceEvents(call);
    assert.equal(callsIn(gateway.failAttempt(call)), []);
});

test("a moved replica is not used once it may have expired before the answer of the migration was read", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", { promptTokens: 7_000, maximumTokens: 2_500 });
    const source = gateway.state.servers.get(call.backendServer)!.record;
    const started = gateway.register({ ...source, isDraining: true, heartbeat: source.heartbeat + 1 });
    assert.ok(kindsIn(started).includes("migrateRun"));
    gateway.now += 15_000;
    const result = { kind: "moved", handle: "h7" } as const;
    const effects = gateway.answerMove(call.attemptId, result);
    assert.equal(callsIn(effects), []);
});

// A usable replica was not used, and no line said why.
test("what a lost stream lacks to be continued is logged", () => {
    const lossOf = (change: (gateway: TestGateway) => void, isReplicated = true) => {
        const gateway = gatewayWithEngines();
        const call = isReplicated ? gateway.startReplicatedStream("r", "plan") : gateway.startStream("r", "plan");
        change(gateway);
        return linesIn(gateway.failAttempt(call), "stream_not_continued").map(
            ({ lacking, replicaState, replicaLack, producingTime, completeAfter, retriesLeft, sendsLeft }) => ({
                lacking,
                replicaState,
                replicaLack,
                producingTime,
                completeAfter,
                retriesLeft,
                sendsLeft,
            }),
        );
    };
    const usual = { replicaState: "usable", completeAfter: 606, retriesLeft: 45.18, sendsLeft: 7 };
    const produced = { ...usual, replicaLack: undefined, producingTime: 1_500 };
    assert.equal(lossOf(() => undefined), []);
    assert.equal(lossOf(gateway => gateway.advance(100), false), [
        { ...usual, lacking: "memory", replicaLack: "too_young", producingTime: 0, completeAfter: 600 },
    ]);
    const withoutRetry = (gateway: TestGateway): void => {
        gateway.state.retryBudget.options = { ratio: 0, slack: 1, window: 10_000 };
    };
    assert.equal(lossOf(withoutRetry), [{ ...produced, lacking: "retries", retriesLeft: 0.9 }]);
    const withoutSends = (gateway: TestGateway): void => {
        gateway.state.requests.forEach(request => request.sends = 8);
    };
    assert.equal(lossOf(withoutSends), [{ ...produced, lacking: "sends", sendsLeft: 0 }]);
    const expired = (gateway: TestGateway): void => void gateway.advance(4_900);
    assert.equal(lossOf(expired), [{ ...produced, lacking: "memory", replicaLack: "expired" }]);
});

test.run();
