/**
 * Streams at servers that leave: whether each is migrated is decided again when what decided it has changed.
 */
import type { BackendCall, BackendRecord, GatewayEffect, MigrationResult } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    callsIn,
    configuration,
    eventsIn,
    kindsIn,
    linesIn,
    responseHead,
    server,
    stopsIn,
    TestGateway,
} from "./gatewayBuilders.js";

const inThird = { failureDomain: identifier<never>("third") };

/** The addresses of the targets to which copies begin. */
function targetsIn(effects: readonly GatewayEffect[]): string[] {
    return effects.flatMap(effect =>
        effect.kind === "migrateRun" && !effect.isStopping ? [String(effect.targetAddress)] : []
    );
}

/** A stream with its replica at a server, which has no third engine beside them yet. */
function replicatedStream(startedAt: number | undefined) {
    const gateway = TestGateway.serving(server("engine-1", { startedAt }), server("engine-2", { startedAt }));
    const call = gateway.startReplicatedStream("r", "plan");
    const { server: source, replica } = gateway.state.attempts.get(call.attemptId)!.attempt!;
    gateway.register(server("engine-3", { startedAt }), server("engine-4", { startedAt, ...inThird }));
    return { gateway, call, source: source.record, holder: replica!.record };
}

/** Advances while the run goes on. */
function produce(gateway: TestGateway, call: BackendCall, duration: number): GatewayEffect[] {
    const effects: GatewayEffect[] = [];
    for (let elapsed = 0; elapsed < duration; elapsed += 100) {
        effects.push(...gateway.advance(100));
        const { lastEvent } = gateway.state.attempts.get(call.attemptId)!;
        effects.push(...gateway.receiveEvents(call, Number(lastEvent ?? 0) + 1));
    }
    return effects;
}

function leave(gateway: TestGateway, record: BackendRecord): GatewayEffect[] {
    return gateway.register({ ...record, isDraining: true, heartbeat: record.heartbeat + 1 });
}

type HolderChange = (gateway: TestGateway, holder: BackendRecord) => GatewayEffect[];

const holderChanges: readonly (readonly [name: string, change: HolderChange])[] = [
    ["drains", leave],
    ["is removed", (gateway, { id }) => gateway.remove(id)],
    ["reports that it leaves", (gateway, { id }) => {
        const report = { runs: undefined, isLeaving: true, startedAt: 5 };
        return gateway.handle({ kind: "serverProbed", backendServer: id, report });
    }],
    ["says in an answer that it leaves", (gateway, { id }) => {
        for (let index = 0;; index++) {
            const call = gateway.sendRequest(`n${index}`, "note", { promptTokens: 10, maximumTokens: 10 });
            const isLeaving = call.backendServer === id;
            const effects = gateway.handle({
                kind: "streamOpened",
                attemptId: call.attemptId,
                head: { ...responseHead(call), isLeaving },
            });
            if (isLeaving) {
                return effects;
            }
        }
    }],
    ["restarts under its id", (gateway, holder) => gateway.register({ ...holder, startedAt: 6, heartbeat: 1 })],
    ["pauses", (gateway, { id }) => {
        gateway.state.pausedUntil.set(id, gateway.now + 5_000);
        return [];
    }],
    ["is evacuated", (gateway, { failureDomain }) => {
        const key = `evacuate/${failureDomain}`;
        const evacuation = { kind: "evacuation", key, failureDomain, isRequested: true } as const;
        return gateway.read("configuration", [gateway.item(key, [evacuation])]);
    }],
];

// Servers left one after the other, and the streams of the first one were cut when it exited.
for (const [name, change] of holderChanges) {
    test(`a stream at a leaving server is migrated when the holder of its replica ${name}`, () => {
        const { gateway, call, source, holder } = replicatedStream(5);
        const safe = [...leave(gateway, source), ...produce(gateway, call, 1_500)];
        assert.equal(targetsIn(safe), [], "the replica is at a server that stays");
        const targets = targetsIn([...change(gateway, holder), ...produce(gateway, call, 300)]);
        assert.is(targets.length, 1);
        assert.is.not(targets[0], source.address);
        // A holder that has restarted has lost its replica, and is a target like any other.
        assert.ok(targets[0] !== holder.address || gateway.state.servers.get(holder.id)?.record.startedAt === 6);
    });
}

test("a stream at a server that gave notice or was removed is migrated when the holder of its replica leaves", () => {
    for (const isRemoved of [false, true]) {
        const { gateway, call, source, holder } = replicatedStream(5);
        const report = { runs: undefined, isLeaving: true, startedAt: 5 };
        const left = isRemoved
            ? gateway.remove(source.id)
            : gateway.handle({ kind: "serverProbed", backendServer: source.id, report });
        assert.equal(targetsIn([...left, ...produce(gateway, call, 1_500)]), []);
        assert.is(targetsIn([...leave(gateway, holder), ...produce(gateway, call, 300)]).length, 1);
    }
});

test("a stream that was silent for longer than a replica is kept is migrated from a leaving server", () => {
    const { gateway, source } = replicatedStream(5);
    assert.equal(targetsIn([...leave(gateway, source), ...gateway.advance(4_400)]), []);
    assert.is(targetsIn(gateway.advance(400)).length, 1);
});

test("a stream stays where it is when the holder of its replica leaves and its own server does not", () => {
    const { gateway, call, holder } = replicatedStream(5);
    assert.equal(targetsIn([...leave(gateway, holder), ...produce(gateway, call, 1_000)]), []);
});

test("a stream without a target is migrated once another server is registered, and its lack is logged once", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan", { promptTokens: 500, maximumTokens: 1_000 });
    const without = [...leave(gateway, server("engine-1")), ...produce(gateway, call, 1_000)];
    assert.equal(targetsIn(without), []);
    assert.is(linesIn(without, "move_without_target").length, 1);
    const registered = gateway.register(server("engine-2"));
    assert.equal(targetsIn([...registered, ...gateway.advance(50)]), [server("engine-2").address]);
});

test("a stream that was expected to end soon is migrated once it exceeds its estimate", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan", { maximumTokens: 1_000, estimatedTokens: 40 });
    gateway.register(server("engine-2"));
    assert.equal(targetsIn(leave(gateway, server("engine-1"))), [], "40 tokens take half a second");
    assert.equal(targetsIn(produce(gateway, call, 800)), []);
    assert.equal(targetsIn(produce(gateway, call, 3_000)), [server("engine-2").address]);
});

test("a target at which a migration failed is tried again after a second, not at once", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan", { promptTokens: 500, maximumTokens: 1_000 });
    gateway.register(server("engine-2"));
    assert.is(targetsIn(leave(gateway, server("engine-1"))).length, 1);
    const failed = gateway.answerMigration(call.attemptId, undefined);
    assert.equal(targetsIn([...failed, ...produce(gateway, call, 900)]), []);
    assert.equal(targetsIn(produce(gateway, call, 400)), [server("engine-2").address]);
});

test("why a stream stays at a leaving server is logged once, and again when it changes", () => {
    const { gateway, call, source, holder } = replicatedStream(5);
    const obstaclesIn = (effects: readonly GatewayEffect[]) =>
        linesIn(effects, "move_not_due").map(({ obstacle, replicaState }) => [obstacle, replicaState]);
    assert.equal(obstaclesIn([...leave(gateway, source), ...produce(gateway, call, 1_000)]), [["safe", "usable"]]);
    gateway.state.retryBudget.options = noRetries;
    leave(gateway, holder);
    gateway.advance(50);
    const { attemptId } = call;
    const answered = gateway.answerMove(attemptId, moved);
    assert.equal(obstaclesIn([...answered, ...produce(gateway, call, 500)]), [["no_retry", "leaving"]]);
});

/** A stream at a leaving server that is being copied, since no engine holds its replica. */
function migratingStream(): { readonly gateway: TestGateway; readonly call: BackendCall; } {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan", { promptTokens: 500, maximumTokens: 1_000 });
    gateway.register(server("engine-2"));
    assert.is(targetsIn(leave(gateway, server("engine-1"))).length, 1);
    return { gateway, call };
}

const noRetries = { ratio: 0, slack: 0, window: 10_000 };
const moved = { kind: "moved", handle: "h1" } as const;

// It was copied again as soon as the answer came, each time that it came.
test("a stream that was copied is not copied again while it may not be sent again, and is moved once it may", () => {
    const { gateway, call } = migratingStream();
    gateway.state.retryBudget.options = noRetries;
    const answered = gateway.answerMove(call.attemptId, moved);
    assert.equal(targetsIn([...answered, ...produce(gateway, call, 600)]), []);
    gateway.state.retryBudget.options = { ...noRetries, slack: 5 };
    assert.equal(targetsIn(gateway.advance(250)), [server("engine-2").address]);
});

// The copy was used only if the server could be asked at once to stop the run.
test("a stream whose server exits after it was copied continues from the copy, also if the run could not be stopped yet", () => {
    const { gateway, call } = migratingStream();
    gateway.state.pausedUntil.set(call.backendServer, gateway.now + 5_000);
    const answered = gateway.answerMove(call.attemptId, moved);
    assert.equal([...targetsIn(answered), ...callsIn(answered)], []);
    produce(gateway, call, 300);
    assert.equal(continuationsIn(gateway.failAttempt(call)), [["engine-2", call.address, "h1", 4]]);
});

test("an earlier copy is not taken for kept because another migration began later", () => {
    const { gateway, call } = migratingStream();
    const { attemptId } = call;
    gateway.answerMove(attemptId, moved);
    gateway.answerMove(attemptId, { kind: "refused", status: 500 });
    assert.is(targetsIn(produce(gateway, call, 4_600)).length, 1, "the second migration is not answered");
    assert.equal(callsIn(gateway.failAttempt(call)), []);
});

const unanswered = { kind: "failed", detail: "timeout" } as const;

// The copy expired while the run went on, and the stream ended with its server.
test("a run that goes on though the request to stop it got no answer is copied and stopped again", () => {
    const { gateway, call } = migratingStream();
    const { attemptId } = call;
    const answerWith = (result: MigrationResult) => gateway.answerMove(attemptId, result);
    answerWith(moved);
    const failed = answerWith(unanswered);
    assert.equal(targetsIn([...failed, ...produce(gateway, call, 500)]), [], "these events may have been on their way");
    assert.is(targetsIn(produce(gateway, call, 1_000)).length, 1);
    assert.is(stopsIn(answerWith({ kind: "moved", handle: "h2" })).length, 1);
    assert.equal(continuationsIn(answerWith({ kind: "moved", handle: "h2" })).map(([, , name]) => name), ["h2"]);
});

test("an unframed stream that closes during a second copy is continued, since the first request may have stopped it", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.sendRequest("r", "plan", { promptTokens: 500, maximumTokens: 1_000 });
    gateway.openStream(call, { endsWithChannel: true });
    gateway.receiveEvents(call, 1);
    gateway.register(server("engine-2"));
    leave(gateway, server("engine-1"));
    const { attemptId } = call;
    [moved, unanswered].forEach(result => gateway.answerMove(attemptId, result));
    assert.is(targetsIn(produce(gateway, call, 1_500)).length, 1);
    const ended = gateway.handle({ kind: "streamEnded", attemptId });
    assert.not.ok(kindsIn(ended).includes("answerEnd"));
    assert.equal(continuationsIn(ended).map(([id, , name]) => [id, name]), [["engine-2", "h1"]]);
});

/** A stream that its server has stopped, and the call that is to continue it from the copy. */
function stoppedStream(handle: string | undefined = undefined, routeName = "plan") {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", routeName, { promptTokens: 500, maximumTokens: 1_000 });
    gateway.register(server("engine-2"));
    leave(gateway, server("engine-1"));
    const { attemptId } = call;
    gateway.answerMove(attemptId, { kind: "moved", handle: "h1" });
    const result = { kind: "refused", status: 503, ...handle === undefined ? {} : { handle } } as const;
    const [next] = callsIn(gateway.answerMove(attemptId, result));
    return { gateway, call, next };
}

const refused = { status: 503, isNotRun: true, isSealed: false } as const;

const continuationsIn = (effects: readonly GatewayEffect[]) =>
    callsIn(effects).map(({ backendServer, continuesFrom, lastEvent }) => [
        String(backendServer),
        continuesFrom?.source,
        continuesFrom?.name,
        lastEvent === undefined ? undefined : Number(lastEvent),
    ]);

// The answer was cut, though the server that had stopped the run on request still kept its memory.
test("a stream that was stopped continues at its own server if the holder of the copy refuses it", () => {
    for (const [handle, name] of [[undefined, "h1"], ["h2", "h2"]] as const) {
        const { gateway, call, next } = stoppedStream(handle);
        assert.equal([next.backendServer, next.continuesFrom?.name], ["engine-2", "h1"]);
        const effects = gateway.answer(next, refused);
        assert.equal(continuationsIn(effects), [["engine-1", call.address, name, 1]]);
        const [again] = callsIn(effects);
        gateway.openStream(again);
        assert.equal(eventsIn(gateway.receiveEvents(again, 2)), [2]);
    }
});

test("a stream that was stopped continues at its own server if that of the copy can't be reached or has left", () => {
    const { gateway, next: { attemptId } } = stoppedStream();
    const effects = gateway.handle({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    assert.equal(continuationsIn(effects).map(([id]) => id), ["engine-1"]);
    const other = TestGateway.serving(server("engine-1"));
    const call = other.startStream("r", "plan", { promptTokens: 500, maximumTokens: 1_000 });
    other.register(server("engine-2"));
    leave(other, server("engine-1"));
    const result = { kind: "moved", handle: "h1" } as const;
    other.answerMove(call.attemptId, result);
    const report = { runs: undefined, isLeaving: true, startedAt: undefined };
    other.handle({ kind: "serverProbed", backendServer: identifier<never>("engine-2"), report });
    const answered = other.answerMove(call.attemptId, result);
    assert.equal(continuationsIn(answered).map(([id]) => id), ["engine-1"]);
});

test("a stream that was stopped continues from each place once, and is then cut", () => {
    const { gateway, next } = stoppedStream();
    const [again] = callsIn(gateway.answer(next, refused));
    const effects = gateway.answer(again, refused);
    assert.equal(callsIn(effects), []);
    assert.ok(kindsIn(effects).includes("answerCut"));
});

test("a stream that was stopped does not continue at its own server where that is too late for the drain limit", () => {
    const { gateway, next } = stoppedStream();
    gateway.now += 1_700;
    assert.equal(callsIn(gateway.answer(next, refused)), []);
});

test("a stream that was stopped continues from its replica before its own server, if the holder of the copy refuses it", () => {
    const { gateway, call, source, holder } = replicatedStream(5);
    gateway.state.pausedUntil.set(holder.id, gateway.now + 300);
    assert.is(targetsIn([...leave(gateway, source), ...gateway.advance(50)]).length, 1);
    const copied = { kind: "moved", handle: "h1" } as const;
    const answerWith = () => gateway.answerMove(call.attemptId, copied);
    answerWith();
    const [next] = callsIn(answerWith());
    assert.is.not(next.backendServer, holder.id);
    gateway.advance(400);
    const effects = gateway.answer(next, refused);
    assert.equal(continuationsIn(effects), [[holder.id, source.address, "r", 16]]);
    assert.equal(continuationsIn(gateway.answer(callsIn(effects)[0], refused)).map(([id]) => id), [source.id]);
});

/** A stream whose copy is at a server that is to continue it, beside a replica at another one. */
function continuationFromCopy() {
    const { gateway, call, source, holder } = replicatedStream(5);
    gateway.state.pausedUntil.set(holder.id, gateway.now + 300);
    assert.is(targetsIn([...leave(gateway, source), ...gateway.advance(50)]).length, 1);
    gateway.answerMove(call.attemptId, moved);
    const [next] = callsIn(gateway.answerMove(call.attemptId, moved));
    gateway.openStream(next);
    return { gateway, next, source, holder };
}

// The stream waited for a place where it was to go on, and was cut when that server exited, whatever was left elsewhere.
test("a continuation whose server exits before its first event goes on from the next place", () => {
    for (const failure of ["channel_lost", "answer_truncated"] as const) {
        const { gateway, next, source, holder } = continuationFromCopy();
        leave(gateway, gateway.state.servers.get(next.backendServer)!.record);
        gateway.advance(1_000);
        const { attemptId } = next;
        const effects = gateway.handle({ kind: "attemptFailed", attemptId, failure, wasSent: true });
        assert.equal(continuationsIn(effects), [[holder.id, source.address, "r", 16]]);
        const [again] = callsIn(effects);
        gateway.openStream(again);
        assert.equal(eventsIn(gateway.receiveEvents(again, 17)), [17]);
        assert.equal(callsIn(gateway.failAttempt(again)), [], "what has an event is a run of its own");
    }
});

test("a continuation whose server restarts before its first event goes on from the next place", () => {
    const { gateway, next, source, holder } = continuationFromCopy();
    gateway.advance(400);
    const { record } = gateway.state.servers.get(next.backendServer)!;
    const restarted = gateway.register({ ...record, startedAt: 6, heartbeat: 1, address: "10.0.0.9:80" });
    assert.equal(continuationsIn([...restarted, ...gateway.advance(300)]), [[holder.id, source.address, "r", 16]]);
});

test("a continuation whose answer is lost at a server that stays does not go on elsewhere: it may have run", () => {
    const { gateway, next } = continuationFromCopy();
    gateway.advance(1_000);
    assert.equal(callsIn(gateway.failAttempt(next)), []);
});

/** A stream that was continued at a server which then begins to leave, before an event of it came from there. */
function waitingContinuation() {
    const { gateway, call, holder } = replicatedStream(5);
    const [next] = callsIn(gateway.failAttempt(call));
    assert.is(next.backendServer, holder.id);
    gateway.openStream(next);
    const left = leave(gateway, holder);
    assert.equal(targetsIn([...left, ...gateway.advance(150)]), [], "it may begin at once");
    return { gateway, next, started: gateway.advance(100) };
}

// It waited for a place, was never moved, and was cut when the server exited.
test("a continuation that waits at a server which leaves is migrated before its first event", () => {
    const { gateway, next, started } = waitingContinuation();
    const [target] = targetsIn(started);
    assert.ok(target !== undefined && target !== next.address);
    const { attemptId } = next;
    const copied = gateway.answerMove(attemptId, moved);
    assert.is(stopsIn(copied).length, 1);
    const effects = gateway.answerMove(attemptId, moved);
    assert.equal(continuationsIn(effects).map(([, ...memory]) => memory), [[next.address, "h1", 16]]);
    assert.is(callsIn(effects)[0].address, target);
});

test("a server that does not know a waiting continuation yet is asked again after a second, or at its first event", () => {
    const noRun = { kind: "refused", status: 404 } as const;
    for (const begins of [false, true]) {
        const { gateway, next, started } = waitingContinuation();
        assert.is(targetsIn(started).length, 1);
        const { attemptId } = next;
        const answered = gateway.answerMove(attemptId, noRun);
        assert.equal(targetsIn([...answered, ...gateway.advance(900)]), []);
        const later = begins ? gateway.receiveEvents(next, 17) : gateway.advance(300);
        assert.is(targetsIn(later).length, 1);
    }
});

// The only target counted as failed for a second, after which the server may have exited.
test("a server that does not know a waiting continuation yet says nothing of the only target", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
    const call = gateway.startReplicatedStream("r", "plan");
    const { server: { record: source }, replica } = gateway.state.attempts.get(call.attemptId)!.attempt!;
    const [next] = callsIn(gateway.failAttempt(call));
    gateway.answerMove(call.attemptId, moved);
    gateway.openStream(next);
    leave(gateway, replica!.record);
    gateway.advance(200);
    assert.equal(targetsIn(gateway.advance(50)), [source.address]);
    gateway.answerMove(next.attemptId, { kind: "refused", status: 404 });
    assert.equal(targetsIn(gateway.receiveEvents(next, 17)), [source.address]);
});

// A request may run once, and a closed channel does not stop every server's run.
test("a first run that waits at a server which leaves is not migrated", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));
    const call = gateway.sendRequest("r", "plan");
    gateway.openStream(call);
    const left = leave(gateway, gateway.state.servers.get(call.backendServer)!.record);
    assert.equal(targetsIn([...left, ...gateway.advance(3_000)]), []);
    assert.equal(callsIn(gateway.failAttempt(call)), []);
});

test("a run that was not stopped is not continued at its own server", () => {
    const { gateway, call } = replicatedStream(5);
    const [next] = callsIn(gateway.failAttempt(call));
    assert.equal(callsIn(gateway.answer(next, refused)), []);
});

// The stream was stopped and moved all the same, which takes a retry and a send of it.
test("a stream that is being copied is not stopped if its server stays after all", () => {
    const { gateway, call } = migratingStream();
    gateway.register(server("engine-1", { heartbeat: 3 }));
    const answered = gateway.answerMove(call.attemptId, moved);
    assert.equal(stopsIn(answered), []);
    assert.equal(targetsIn(produce(gateway, call, 1_000)), []);
    assert.is(callsIn(gateway.failAttempt(call)).length, 1, "the copy is used if the server fails");
});

// Each new run of it began without what was known of targets, and was copied to the same one until no send was left.
test("a stream that continues at its own server is not migrated again at once to the server that refused it", () => {
    const { gateway, next } = stoppedStream();
    const { services } = configuration(2);
    const withoutReplicas = [...services].map(([name, service]) =>
        [name, { ...service, engine: service.engine && { ...service.engine, canReplicate: false } }] as const
    );
    gateway.configure(configuration(2, { services: new Map(withoutReplicas) }));
    const [again] = callsIn(gateway.answer(next, refused));
    gateway.openStream(again);
    assert.equal(targetsIn([...gateway.receiveEvents(again, 2), ...produce(gateway, again, 900)]), []);
    assert.equal(targetsIn(produce(gateway, again, 300)), [server("engine-2").address]);
});

// Each stop looked at the budget alone, and the first continuation took what the others needed: their streams were cut.
test("runs are asked to stop only while a retry is left for each, and no other request takes it", () => {
    const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
    const calls = ["r", "s"].map(id => gateway.startStream(id, "plan", { promptTokens: 500, maximumTokens: 1_000 }));
    assert.equal(calls.map(({ backendServer }) => String(backendServer)).sort(), ["engine-1", "engine-2"]);
    const other = gateway.startStream("t", "note", { promptTokens: 10 });
    gateway.register(server("engine-3"), server("engine-4"));
    const left = [...leave(gateway, server("engine-1")), ...leave(gateway, server("engine-2")), ...gateway.advance(50)];
    assert.is(targetsIn(left).length, 2);
    gateway.state.retryBudget.options = { ratio: 0, slack: 1.5, window: 10_000 };
    const answered = calls.map(({ attemptId }) => gateway.answerMove(attemptId, moved));
    assert.equal(answered.map(effects => stopsIn(effects).length), [1, 0]);
    assert.equal(callsIn(gateway.failAttempt(other)), []);
    const stopped = gateway.answerMove(calls[0].attemptId, moved);
    assert.is(callsIn(stopped).length, 1);
    assert.ok(!kindsIn(gateway.advance(50)).includes("answerCut"));
});

// A server runs for longer than such a stream when it begins to leave, but not whenever the stream is looked at again.
test("a short stream is migrated from a server that has left for so long that it may exit before", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan", { promptTokens: 500, maximumTokens: 1_000, estimatedTokens: 180 });
    leave(gateway, server("engine-1"));
    produce(gateway, call, 1_600);
    // 47 tokens of it remain, and the server is certain to run for 400 ms.
    gateway.receiveEvents(call, ...Array.from({ length: 16 }, (_, index) => 18 + index));
    assert.equal(targetsIn(gateway.register(server("engine-2"))), []);
    assert.equal(targetsIn(gateway.advance(50)), [server("engine-2").address]);
});

// Such runs counted as safe, since their replicas grew, and were cut when the server exited before the replicas were complete.
test("a run that begins so late at a leaving server that it may exit before the replica is complete is migrated", () => {
    for (const [waited, isMigrated] of [[1_200, false], [1_500, true], [2_200, true]] as const) {
        const gateway = TestGateway.serving(server("engine-1"), server("engine-2"));
        const call = gateway.sendRequest("r", "plan");
        gateway.openStream(call);
        assert.ok(call.replicaAddress !== undefined);
        gateway.register(server("engine-3"), server("engine-4", inThird));
        leave(gateway, gateway.state.servers.get(call.backendServer)!.record);
        gateway.advance(waited);
        const begun = [...gateway.receiveEvents(call, 1), ...produce(gateway, call, 700)];
        assert.is(targetsIn(begun).length, isMigrated ? 1 : 0, `begun ${waited} ms after the server began to leave`);
    }
});

test.run();
