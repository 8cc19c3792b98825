/**
 * Runs that go on at an engine after their request has gone on at another server.
 */
import type { BackendCall, GatewayEffect, ResponseHead } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, configuration, engineService, kindsIn, linesIn, server, TestGateway } from "./gatewayBuilders.js";

const gatewayWithEngines = (): TestGateway =>
    TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));
const stopsIn = (effects: readonly GatewayEffect[]) =>
    effects.flatMap(effect =>
        effect.kind === "migrateRun" && effect.isStopping
            ? [[effect.attemptId, effect.sourceAddress, effect.targetAddress]]
            : []
    );
const stopOf = (call: BackendCall, next: BackendCall) => [call.attemptId, call.address, next.address];

// A server that had lost its answer only worked on beside the one that continued the stream.
test("a run whose channel was lost is stopped when its stream goes on at another engine", () => {
    for (const routeName of ["plan", "note"]) {
        const gateway = gatewayWithEngines();
        const call = gateway.startReplicatedStream("r", routeName);
        const effects = gateway.failAttempt(call);
        assert.equal(stopsIn(effects), [stopOf(call, callsIn(effects)[0])], routeName);
    }
});

test("a silent run is stopped when another engine has accepted its stream, not before", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    const probed = { kind: "serverProbed", backendServer: call.backendServer, report: undefined } as const;
    const effects = [...gateway.advance(1_300), ...gateway.handle(probed)];
    const [next] = callsIn(effects);
    assert.equal(stopsIn(effects), []);
    assert.equal(stopsIn(gateway.openStream(next)), [stopOf(call, next)]);
});

test("a run that goes on elsewhere is stopped when its stream returns to the silent one", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startReplicatedStream("r", "plan");
    const probed = { kind: "serverProbed", backendServer: call.backendServer, report: undefined } as const;
    const [next] = callsIn([...gateway.advance(1_300), ...gateway.handle(probed)]);
    assert.equal(stopsIn(gateway.receiveEvents(call, 17)), [stopOf(next, call)]);
});

test("nothing is stopped where no run goes on, or the engines can't stop one", () => {
    const gateway = gatewayWithEngines();
    const refused = gateway.sendRequest("r", "note");
    const unsent = {
        kind: "attemptFailed",
        attemptId: refused.attemptId,
        failure: "channel_lost",
        wasSent: false,
    } as const;
    assert.equal(stopsIn(gateway.handle(unsent)), [], "not sent");
    const restarted = TestGateway.serving(server("engine-1", { startedAt: 5 }), server("engine-2", { startedAt: 5 }));
    const lost = restarted.startReplicatedStream("r", "note");
    restarted.register(server(String(lost.backendServer), { startedAt: 100 }));
    assert.equal(stopsIn([...restarted.failAttempt(lost), ...restarted.advance(500)]), [], "restarted");
    const plain = TestGateway.serving(server("plain-1"), server("plain-2"));
    const effects = plain.failAttempt(plain.sendRequest("r", "lookup"));
    assert.is(callsIn(effects).length, 1);
    assert.equal(stopsIn(effects), [], "no engine");
    const { services } = configuration(1);
    const engine = services.get(engineService)!.engine!;
    const without = gatewayWithEngines();
    without.configure(configuration(2, {
        services: new Map([...services, [engineService, {
            name: engineService,
            engine: { ...engine, canMigrate: false },
        }]]),
    }));
    assert.equal(stopsIn(without.failAttempt(without.startReplicatedStream("r", "note"))), [], "no migrations");
    const left = gatewayWithEngines();
    left.startReplicatedStream("r", "plan");
    assert.not.ok(kindsIn(left.handle({ kind: "callerLeft", requestId: identifier("r") })).includes("migrateRun"));
});

/** A stream that has left its first run for another engine, and the calls of both. */
function abandonedRun() {
    const servers = ["engine-1", "engine-2", "engine-3"].map(id => server(id, { startedAt: 5 }));
    const gateway = TestGateway.serving(...servers);
    const call = gateway.startReplicatedStream("r", "plan");
    const effects = gateway.failAttempt(call);
    const [next] = callsIn(effects);
    assert.equal(stopsIn(effects), [stopOf(call, next)]);
    return { gateway, call, next, stop: stopOf(call, next) };
}

const busy = { kind: "refused", status: 409 } as const;
const unanswered = { kind: "failed", detail: "reset" } as const;
/** How long a run may work beside the one that its stream went on to, by the users' rules. */
const longestOverlap = 400;

// An engine that refused the first call, or never got it, worked on to the end beside the one that continued the stream.
test("a server that has refused to stop a run, or has not answered, is asked again", () => {
    for (const result of [busy, unanswered, { kind: "refused", status: 500 }, undefined] as const) {
        const { gateway, call, stop } = abandonedRun();
        const answered = result === undefined ? [] : gateway.answerMove(call.attemptId, result);
        const again = stopsIn([...answered, ...gateway.advance(longestOverlap / 2)]);
        assert.equal(again[0], stop, JSON.stringify(result));
        gateway.answerMove(call.attemptId, { kind: "moved", handle: "h" });
        assert.equal(stopsIn(gateway.advance(5_000)), [], "stopped");
    }
});

test("a run that is known to have ended is not stopped again", () => {
    const ends = [
        { kind: "moved", handle: "h" },
        { kind: "refused", status: 404 },
        { kind: "refused", status: 503, handle: "h" },
    ] as const;
    for (const result of ends) {
        const { gateway, call } = abandonedRun();
        const effects = gateway.answerMove(call.attemptId, result);
        assert.equal(linesIn(effects, "run_stop_answered").map(({ request, isStopped }) => [request, isStopped]), [
            ["r", true],
        ]);
        assert.equal(stopsIn(gateway.advance(5_000)), [], JSON.stringify(result));
        assert.is(gateway.state.abandonedRuns.size, 0);
    }
});

test("a server is asked about a run at growing intervals, until the time for it is over, also after the stream has ended", () => {
    const { gateway, next } = abandonedRun();
    gateway.openStream(next);
    gateway.receiveEvents(next, 17);
    gateway.handle({ kind: "streamEnded", attemptId: next.attemptId });
    const early = stopsIn(gateway.advance(longestOverlap)).length;
    const late = stopsIn(gateway.advance(20_000)).length / 50;
    assert.ok(early >= 2 && late < early, `${early} calls in ${longestOverlap} ms, then ${late} in a mean`);
    const rest = gateway.advance(60_000);
    assert.equal(linesIn(rest, "run_not_stopped").map(({ reason }) => reason), ["time_limit"]);
    assert.equal(stopsIn(gateway.advance(5_000)), []);
});

test("a server that has restarted, or has exited, is not asked again", () => {
    const ends: readonly (readonly [string, (gateway: TestGateway, id: string) => void])[] = [
        ["server_restarted", (gateway, id) => gateway.register(server(id, { startedAt: 100 }))],
        ["server_gone", (gateway, id) => gateway.remove(id)],
    ];
    for (const [reason, end] of ends) {
        const { gateway, call } = abandonedRun();
        end(gateway, String(call.backendServer));
        const effects = gateway.advance(3_000);
        assert.equal(linesIn(effects, "run_not_stopped").map(line => line.reason), [reason]);
        assert.equal(stopsIn(gateway.advance(20_000)), [], reason);
    }
});

// The server would then have two runs of the request, and could not be asked to stop just the first.
test("a stream is neither replicated nor migrated to a server where an earlier run of it may go on", () => {
    for (const isStopped of [false, true]) {
        const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
        const call = gateway.startReplicatedStream("r", "plan");
        const [next] = callsIn(gateway.failAttempt(call));
        assert.is(next.replicaAddress, undefined);
        gateway.answerMove(call.attemptId, isStopped ? { kind: "moved", handle: "h" } : busy);
        gateway.openStream(next);
        gateway.receiveEvents(next, 17);
        const leaving = server(String(next.backendServer), { isDraining: true, heartbeat: 100 });
        const copies = [...gateway.register(leaving), ...gateway.advance(400)].flatMap(effect =>
            effect.kind === "migrateRun" && !effect.isStopping ? [effect.targetAddress] : []
        );
        assert.equal(copies, isStopped ? [call.address] : []);
    }
});

// Its engine may begin it when a place is free.
test("that a server knows no run that may wait for a place does not end the requests to stop it", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "note");
    const effects = gateway.failAttempt(call);
    assert.is(stopsIn(effects).length, 1);
    gateway.answerMove(call.attemptId, { kind: "refused", status: 404 });
    assert.is(stopsIn(gateway.advance(100)).length, 1);
});

// Each of the runs that a dark server had would otherwise cost a call in each interval.
test("a server that does not answer is asked about one run at a time until it does", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const names = ["a", "b", "c"];
    const calls = names.map(name => gateway.startStream(name, "note"));
    gateway.register(server("engine-2"), server("engine-3"));
    assert.is(stopsIn(calls.flatMap(call => gateway.failAttempt(call))).length, names.length);
    calls.forEach(({ attemptId }) => gateway.answerMove(attemptId, unanswered));
    const asked = stopsIn(gateway.advance(1_000)).map(([id]) => id);
    assert.equal([...new Set(asked)], [calls[0].attemptId]);
    gateway.answerMove(calls[0].attemptId, busy);
    assert.equal(new Set(stopsIn(gateway.advance(500)).map(([id]) => id)).size, names.length);
});

/** A stream at a server that leaves, which was just asked to stop the run since its copy is complete at another one. */
function stoppingRun(overrides: Partial<ResponseHead> = {}) {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.sendRequest("r", "plan", { promptTokens: 500, maximumTokens: 1_000 });
    gateway.openStream(call, overrides);
    gateway.receiveEvents(call, 1);
    gateway.register(server("engine-2"));
    gateway.register(server("engine-1", { isDraining: true, heartbeat: 100 }));
    assert.is(stopsIn(gateway.answerMove(call.attemptId, { kind: "moved", handle: "h1" })).length, 1);
    return { gateway, call };
}

// The end of the channel was taken for the effect of the stop, which the server then refused or never got.
test("a migrated run whose channel is lost before the stop is answered is asked to stop again if it has not", () => {
    for (const result of [busy, unanswered, { kind: "refused", status: 503 }, undefined] as const) {
        const { gateway, call } = stoppingRun();
        const [next] = callsIn(gateway.failAttempt(call));
        const answered = result === undefined ? [] : gateway.answerMove(call.attemptId, result);
        const again = stopsIn([...answered, ...gateway.advance(longestOverlap / 2)]);
        assert.equal(again[0], stopOf(call, next), JSON.stringify(result));
    }
    const stopped = stoppingRun();
    stopped.gateway.failAttempt(stopped.call);
    stopped.gateway.answerMove(stopped.call.attemptId, { kind: "moved", handle: "h2" });
    assert.equal(stopsIn(stopped.gateway.advance(3_000)), [], "stopped");
});

test("a migrated run whose channel ends after an unanswered stop is asked to stop again at once", () => {
    const { gateway, call } = stoppingRun();
    gateway.answerMove(call.attemptId, unanswered);
    gateway.advance(500);
    const effects = gateway.failAttempt(call);
    assert.equal(stopsIn(effects), [stopOf(call, callsIn(effects)[0])]);
});

test("a run whose unframed answer ended is asked to stop again if the stop is refused, or leaves nothing behind", () => {
    for (const result of [busy, { kind: "refused", status: 503 }] as const) {
        const { gateway, call } = stoppingRun({ endsWithChannel: true });
        assert.equal(callsIn(gateway.handle({ kind: "streamEnded", attemptId: call.attemptId })), []);
        const effects = [...gateway.answerMove(call.attemptId, result), ...gateway.advance(longestOverlap / 2)];
        assert.equal(stopsIn(effects)[0], stopOf(call, callsIn(effects)[0]), JSON.stringify(result));
    }
});

test("a run that is being copied when its channel is lost is stopped as soon as the copy has ended", () => {
    const { gateway, call, stop } = abandonedRun();
    gateway.answerMove(call.attemptId, busy);
    const copied = { kind: "migrationAnswered", attemptId: call.attemptId, isStopping: false } as const;
    const effects = gateway.handle({ ...copied, result: { kind: "moved", handle: "h" } });
    assert.equal(stopsIn(effects), [stop]);
});

test.run();
