/**
 * Servers that restart under their id: what was kept by the id must not be applied to the new incarnation, and runs of
 * the earlier one must not be waited for, nor run twice.
 */
import type { BackendCall, BackendRecord, GatewayEffect } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callsIn,
    configuration,
    eventsIn,
    failuresIn,
    kindsIn,
    linesIn,
    server,
    TestGateway,
} from "./gatewayBuilders.js";

const first = { startedAt: 5 };
const refusal = { status: 503, isNotRun: true, isSealed: false };
const report = { runs: [], isLeaving: false, startedAt: 100 };

/** Registers a later incarnation of a server. */
function restart(gateway: TestGateway, id: string, overrides: Partial<BackendRecord> = {}): GatewayEffect[] {
    return gateway.register(server(id, { startedAt: 100, ...overrides }));
}

/** The server that got the call has lived until now, and restarts. */
function restartAfterHeartbeat(gateway: TestGateway, { backendServer }: BackendCall): GatewayEffect[] {
    gateway.register(server(backendServer, { ...first, heartbeat: 9 }));
    return restart(gateway, backendServer);
}

const gatewayWithEngines = (): TestGateway => TestGateway.serving(server("engine-1", first), server("engine-2", first));

/** Advances the clock while the servers are read, of which there are no new records. */
function advanceAndRead(gateway: TestGateway, duration: number): void {
    for (let elapsed = 0; elapsed < duration; elapsed += 100) {
        gateway.advance(100);
        gateway.read("backendServers", []);
    }
}

/** Receives events for 4 s, until the request was certainly sent before a restart that is learned of now. */
function receiveLongStream(gateway: TestGateway, routeName: string): BackendCall {
    const call = gateway.startStream("r", routeName);
    for (let event = 2; event <= 41; event++) {
        advanceAndRead(gateway, 100);
        gateway.receiveEvents(call, event);
    }
    return call;
}

test("health, limit, pause and cold state end with a restart, and late answers to earlier requests don't restore them", () => {
    const gateway = TestGateway.serving(server("plain-1", first));
    const calls = ["a", "b", "c", "d", "e", "f"].map(id => gateway.sendRequest(id, "confirm"));
    gateway.answer(calls[0], { requestLimit: 3, coldRemaining: 60_000 });
    gateway.answer(calls[1], { ...refusal, retryAfter: 60_000 });
    gateway.failAttempt(calls[2]);
    const keeps = (): boolean[] => {
        const { health, requestLimits, pausedUntil, coldServers } = gateway.state;
        const id = identifier<never>("plain-1");
        const isHealthy = health.get(id)?.failureShare === 0 && health.get(id)?.responseTime === undefined;
        return [!isHealthy, requestLimits.has(id), pausedUntil.has(id), coldServers.statements.has(id)];
    };
    assert.equal(keeps(), [true, true, true, true]);
    gateway.now += 10;
    restart(gateway, "plain-1");
    assert.equal(keeps(), [false, false, false, false]);
    gateway.answer(calls[3], { requestLimit: 3, coldRemaining: 60_000 });
    gateway.answer(calls[4], { ...refusal, retryAfter: 60_000 });
    gateway.failAttempt(calls[5]);
    assert.equal(keeps(), [false, false, false, false]);
    const limits = (age: number) => [{ backendServer: identifier<never>("plain-1"), perSecond: 2, age }];
    gateway.receiveReport({ requestLimits: limits(20) });
    assert.equal(keeps(), [false, false, false, false], "a limit that another gateway observed before");
    gateway.now += 10;
    gateway.receiveReport({ requestLimits: limits(5) });
    assert.equal(keeps(), [false, true, false, false]);
});

test("the allowance of a cold server starts empty again when the server restarts", () => {
    const gateway = new TestGateway({ coldBound: { overshoot: 1.5, tolerance: 5 } });
    const services = new Map(
        [...configuration(1).services].map(([name, service]) =>
            [name, { ...service, coldStart: { perSecond: 10, duration: 0 } }] as const
        ),
    );
    gateway.configure(configuration(1, { services }));
    gateway.register(server("plain-1", { ...first, remainingWarmUp: 60_000 }));
    gateway.advance(2_000);
    assert.is(callsIn(gateway.receiveRequest("a", "confirm")).length, 1);
    restart(gateway, "plain-1", { remainingWarmUp: 60_000 });
    gateway.advance(50);
    assert.is(callsIn(gateway.receiveRequest("b", "confirm")).length, 0);
    gateway.advance(100);
    assert.is(callsIn(gateway.receiveRequest("c", "confirm")).length, 1);
});

test("the probe of an earlier incarnation does not end the runs of the present one", () => {
    const gateway = gatewayWithEngines();
    const old = gateway.startStream("old", "note");
    const [probe] = gateway.advance(1_300).flatMap(effect => effect.kind === "probeServer" ? [effect] : []);
    assert.is(probe.backendServer, old.backendServer);
    gateway.handle({ kind: "callerLeft", requestId: identifier("old") });
    gateway.remove(old.backendServer === "engine-1" ? "engine-2" : "engine-1");
    restart(gateway, old.backendServer);
    const call = gateway.startStream("r", "note");
    assert.is(call.backendServer, old.backendServer);
    gateway.advance(1_250);
    const { backendServer, startedAt } = probe;
    const effects = gateway.handle({ kind: "serverProbed", backendServer, startedAt, report: undefined });
    assert.not.ok(kindsIn(effects).includes("cancelAttempt"));
});

test("the loads of runs, copies and migrations end when their server restarts", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    const { replica } = gateway.state.attempts.get(call.attemptId)!.attempt!;
    assert.equal([...gateway.state.loads.keys()].sort(), ["engine-1", "engine-2"]);
    restart(gateway, replica!.record.id);
    assert.equal([...gateway.state.loads.keys()], [call.backendServer]);
    restart(gateway, call.backendServer);
    assert.is(gateway.state.loads.size, 0);
    const next = gateway.sendRequest("s", "note");
    gateway.handle({ kind: "callerLeft", requestId: identifier("r") });
    assert.is(gateway.state.loads.get(next.backendServer)?.inProgress, 1);
    gateway.handle({ kind: "callerLeft", requestId: identifier("s") });
    assert.is(gateway.state.loads.size, 0);
});

test("a server that restarted is a target of migrations and a first choice again", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    const target = call.backendServer === "engine-1" ? "engine-2" : "engine-1";
    restart(gateway, target, { startedAt: 50 });
    const targetsIn = (effects: readonly GatewayEffect[]): string[] =>
        effects.flatMap(effect => effect.kind === "migrateRun" ? [effect.targetAddress] : []);
    const { address } = server(target);
    assert.equal(targetsIn(gateway.register(server(call.backendServer, { ...first, isDraining: true }))), [address]);
    const result = { kind: "refused", status: 507 } as const;
    assert.equal(targetsIn(gateway.answerMove(call.attemptId, result)), []);
    restart(gateway, target);
    const { attempt, triedServers } = gateway.state.attempts.get(call.attemptId)!;
    assert.is(attempt!.failedTargets.size, 0);
    restart(gateway, call.backendServer);
    assert.is(triedServers.size, 0);
});

test("a run that was lost before it began is blamed when its server restarts, without the answer of a probe", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "plan", { sharedParts: ["a", "b"].map(part => identifier<never>(part)) });
    gateway.failAttempt(call);
    const blamed = linesIn(restart(gateway, call.backendServer), "suspect_blamed");
    assert.equal(blamed.map(({ server: id }) => id), Array.from({ length: blamed.length }, () => call.backendServer));
    assert.is(blamed.length, 3);
    const late = gateway.handle({
        kind: "serverProbed",
        backendServer: call.backendServer,
        ...first,
        report: undefined,
    });
    assert.is(linesIn(late, "suspect_blamed").length, 0);
});

// The blame for the second crash suspends the request itself: it must not be answered or sent again after that.
test("a request that is blamed for a restart that is already known gets exactly one answer", () => {
    for (const isLostWithChannel of [true, false]) {
        const gateway = TestGateway.serving(...[1, 2, 3, 4].map(number => server(`engine-${number}`, first)));
        const crash = gateway.sendRequest("r0", "plan", {}, "same");
        gateway.failAttempt(crash);
        restart(gateway, crash.backendServer);
        gateway.remove(crash.backendServer);
        const call = gateway.sendRequest("r1", "note", {}, "same");
        advanceAndRead(gateway, 4_000);
        restartAfterHeartbeat(gateway, call);
        const effects = isLostWithChannel ? gateway.failAttempt(call) : gateway.advance(200);
        assert.equal(failuresIn(effects).map(({ type }) => type), ["request_suspended"]);
        assert.equal(callsIn(effects), []);
    }
});

test("idle connections to a server are closed when it restarts", () => {
    const gateway = gatewayWithEngines();
    const closed = (effects: readonly GatewayEffect[]): string[] =>
        effects.flatMap(effect => effect.kind === "closeIdleChannels" ? [effect.address] : []);
    assert.equal(closed(gateway.register(server("engine-1", { ...first, heartbeat: 2 }))), []);
    assert.equal(closed(restart(gateway, "engine-1", { address: "10.0.0.9:80" })), ["10.0.0.1:80"]);
});

test("a stream continues from its replica as soon as its server restarts, after the events that had arrived", () => {
    const gateway = gatewayWithEngines();
    const call = receiveLongStream(gateway, "plan");
    assert.equal(callsIn(restartAfterHeartbeat(gateway, call)), []);
    gateway.advance(50);
    assert.equal(eventsIn(gateway.receiveEvents(call, 42, 43)), [42, 43]);
    const effects = gateway.advance(150);
    const [next] = callsIn(effects);
    assert.is.not(next.backendServer, call.backendServer);
    assert.equal([Number(next.lastEvent), next.continuesFrom?.name], [43, "r"]);
    assert.ok(kindsIn(effects).includes("cancelAttempt"));
});

test("a run without a replica fails when its server restarts, and one that can be resumed runs again", () => {
    for (const [routeName, isSentAgain] of [["plan", false], ["note", true]] as const) {
        const gateway = TestGateway.serving(server("engine-1", first));
        const call = receiveLongStream(gateway, routeName);
        restartAfterHeartbeat(gateway, call);
        const effects = gateway.advance(200);
        assert.is(callsIn(effects).length, isSentAgain ? 1 : 0);
        assert.is(kindsIn(effects).includes("answerCut"), !isSentAgain);
    }
});

// The request was sent to the new incarnation, before its record arrived: a second run would be a duplicate.
test("a request that may have been sent after the restart is lost only by a report that does not list its run", () => {
    for (const isListed of [true, false]) {
        const gateway = TestGateway.serving(
            server("engine-1", first),
            server("engine-2", { ...first, isDraining: true }),
        );
        const call = gateway.startStream("r", "note");
        restart(gateway, "engine-1");
        const [probe] = gateway.advance(200).flatMap(effect => effect.kind === "probeServer" ? [effect] : []);
        assert.equal([probe.backendServer, probe.startedAt], ["engine-1", 100]);
        const runs = isListed ? [{ callerAttemptId: call.head.callerAttemptId, events: 1 }] : [];
        const effects = gateway.handle({ ...probe, kind: "serverProbed", report: { ...report, runs } });
        assert.is(kindsIn(effects).includes("cancelAttempt"), !isListed);
        assert.is(callsIn(effects).length, isListed ? 0 : 1);
        assert.is(gateway.state.loads.get(identifier("engine-1"))?.inProgress, 1);
    }
});

// The last heartbeat before the restart counted as written when it arrived, in a report that was late.
for (const failure of [undefined, "refused", "unreachable"] as const) {
    const reads = failure === undefined ? "" : ` while its reads fail (${failure})`;
    test(`a request that was sent after the restart runs on if the records of before and after it come late${reads}`, () => {
        const gateway = gatewayWithEngines();
        const { next } = gateway.state.followers.backendServers;
        gateway.now += 500;
        if (failure !== undefined) {
            gateway.handle({ kind: "topicReadFailed", topic: "backendServers", failure });
        }
        const call = gateway.startStream("r", "note");
        for (let event = 2; event <= 41; event++) {
            gateway.now += 100;
            gateway.receiveEvents(call, event);
        }
        const records = [{ ...first, heartbeat: 9 }, { startedAt: 100 }];
        const items = records.map(overrides => {
            const record = server(call.backendServer, overrides);
            return gateway.item(record.id, [{ kind: "backendServer", record }]);
        });
        const topic = {
            name: "backendServers",
            read: { reader: identifier<never>("other"), count: 1 },
            since: next!,
            through: next! + items.length,
            age: 0,
            items: items.map(({ item }) => item),
            isComplete: false,
        } as const;
        const echo = { sentAt: gateway.now - 4_300, heldFor: 0 };
        const effects = [
            ...gateway.receiveReport({ topics: [topic], echo }, { backendServers: items }),
            ...gateway.advance(200),
        ];
        assert.equal(gateway.state.servers.get(call.backendServer)?.record.startedAt, 100);
        assert.equal(kindsIn(effects).filter(kind => kind === "cancelAttempt" || kind === "sendAttempt"), []);
        assert.ok(gateway.state.attempts.has(call.attemptId));
    });
}

// Engines of services without migrations report no runs at all. A run was cancelled and sent again while it went on.
test("a report that has no list of runs ends no run", () => {
    const gateway = TestGateway.serving(server("engine-1", first), server("engine-2", { ...first, isDraining: true }));
    gateway.startStream("r", "note");
    restart(gateway, "engine-1");
    const [probe] = gateway.advance(200).flatMap(effect => effect.kind === "probeServer" ? [effect] : []);
    const effects = gateway.handle({ ...probe, kind: "serverProbed", report: { ...report, runs: undefined } });
    assert.not.ok(kindsIn(effects).includes("cancelAttempt"));
    assert.is(callsIn(effects).length, 0);
});

test("a run is lost at once when its server restarts at another address", () => {
    const gateway = TestGateway.serving(server("engine-1", first));
    gateway.startStream("r", "note");
    restart(gateway, "engine-1", { address: "10.0.0.9:80" });
    assert.equal(callsIn(gateway.advance(100)).map(({ address }) => address), ["10.0.0.9:80"]);
});

test("a request that has not begun and may run only once is not ended by a report that does not list it", () => {
    const gateway = TestGateway.serving(server("engine-1", first));
    gateway.sendRequest("r", "plan");
    restart(gateway, "engine-1");
    gateway.advance(2_000);
    const backendServer = identifier<never>("engine-1");
    const effects = gateway.handle({ kind: "serverProbed", backendServer, startedAt: 100, report });
    assert.equal([callsIn(effects), failuresIn(effects)], [[], []]);
});

test("a record without its start, by another writer, changes nothing of a server that reports its start", () => {
    const gateway = TestGateway.serving(server("plain-1", first));
    gateway.register(server("plain-1", { startedAt: undefined, address: "10.0.0.9:80", heartbeat: 99 }));
    assert.is(gateway.sendRequest("r", "confirm").address, "10.0.0.1:80");
});

// Its records were ignored for good, also the one that it leaves.
test("a server that starts again after its clock went back is known by its second heartbeat, and leaves in time", () => {
    const gateway = TestGateway.serving(server("plain-1", { startedAt: 2_000, heartbeat: 9 }), server("plain-2"));
    const starts = () => gateway.state.servers.get(identifier<never>("plain-1"))!.record.startedAt;
    gateway.register(server("plain-1", { startedAt: 500, heartbeat: 1 }));
    assert.is(starts(), 2_000);
    gateway.register(server("plain-1", { startedAt: 500, heartbeat: 2 }));
    assert.is(starts(), 500);
    gateway.register(server("plain-1", { startedAt: 500, heartbeat: 3, isDraining: true }));
    assert.is(gateway.sendRequest("r", "confirm").backendServer, "plain-2");
});

test("records that an incarnation wrote late do not replace the one after it", () => {
    const gateway = TestGateway.serving(server("plain-1", { startedAt: 2_000, heartbeat: 9 }));
    const starts = () => gateway.state.servers.get(identifier<never>("plain-1"))!.record.startedAt;
    const write = (startedAt: number, heartbeat: number) =>
        gateway.register(server("plain-1", { startedAt, heartbeat }));
    write(500, 7);
    write(2_000, 10);
    write(500, 8);
    assert.is(starts(), 2_000, "it has written since");
    write(400, 1);
    write(400, 2);
    assert.is(starts(), 400);
    write(2_000, 11);
    assert.is(starts(), 400, "the incarnation before starts later by its clock");
    write(400, 3);
    write(2_000, 12);
    assert.is(starts(), 400);
});

test("a run is lost, and its end blamed, when its server starts again after its clock went back", () => {
    const gateway = TestGateway.serving(server("engine-1", { startedAt: 2_000, heartbeat: 9 }));
    const call = gateway.startStream("r", "plan");
    gateway.register(server("engine-1", { startedAt: 500, heartbeat: 1 }));
    gateway.register(server("engine-1", { startedAt: 500, heartbeat: 2, address: "10.0.0.9:80" }));
    const effects = gateway.advance(200);
    assert.ok(kindsIn(effects).includes("answerCut"));
    assert.not.ok(gateway.state.attempts.has(call.attemptId));
});

test("a notice of the known incarnation counts, whatever the start of the one before", () => {
    const gateway = TestGateway.serving(server("plain-1", { startedAt: 2_000, heartbeat: 9 }), server("plain-2"));
    const notice = (startedAt: number) =>
        gateway.receiveReport({ leavingServers: [{ backendServer: identifier("plain-1"), startedAt }] });
    const isLeaving = () => gateway.state.servers.get(identifier<never>("plain-1"))!.leavingSince !== undefined;
    notice(2_000);
    gateway.register(server("plain-1", { startedAt: 500, heartbeat: 1 }));
    gateway.register(server("plain-1", { startedAt: 500, heartbeat: 2 }));
    assert.is(isLeaving(), false);
    notice(500);
    assert.is(isLeaving(), true);
    notice(2_000);
    assert.is(gateway.state.leavingNotices.get(identifier<never>("plain-1"))?.startedAt, 500);
});

test.run();
