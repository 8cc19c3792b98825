import type { BackendCall } from "@verbenaspring/gateway";
import { identifier } from "@verbenaspring/model";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { callsIn, eventsIn, failuresIn, kindsIn, responseHead, server, TestGateway } from "./gatewayBuilders.js";

const gatewayWithEngines = (): TestGateway =>
    TestGateway.serving(server("engine-1"), server("engine-2"), server("engine-3"));
/** A plan that is too large for a copy beside it. */
const largePlan = { promptTokens: 9_000, maximumTokens: 500 };

function finishMigration(gateway: TestGateway, call: BackendCall, handle: string | undefined) {
    const result = handle === undefined
        ? { kind: "failed", detail: "no answer" } as const
        : { kind: "moved", handle } as const;
    return gateway.handle({ kind: "migrationAnswered", attemptId: call.attemptId, result });
}

test("nothing is written before the first event; then head and events in order", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "plan");
    assert.equal(kindsIn(gateway.openStream(call)), []);
    assert.equal(kindsIn(gateway.receiveEvents(call, 1, 2)).slice(0, 2), ["answerHead", "answerEvents"]);
});

test("events that the caller has are dropped, and a gap ends the run", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "note");
    assert.equal(eventsIn(gateway.receiveEvents(call, 1, 2)), [2]);
    const effects = gateway.receiveEvents(call, 3, 5);
    assert.equal(eventsIn(effects), [3]);
    const [next] = callsIn(effects);
    assert.is(next.lastEvent, 3);
});

test("a stream that may not run again goes on from the copy of its memory", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    assert.ok(call.replicaAddress !== undefined);
    const [next] = callsIn(gateway.failAttempt(call));
    assert.is(next.address, call.replicaAddress);
    assert.equal(next.continuesFrom, { source: call.address, name: call.head.callerAttemptId });
    assert.is(next.lastEvent, 1);
    assert.equal(
        eventsIn(gateway.handle({
            kind: "streamOpened",
            attemptId: next.attemptId,
            head: responseHead(next),
        })),
        [],
    );
    assert.equal(eventsIn(gateway.receiveEvents(next, 1, 2)), [2]);
});

test("a stream whose server refuses the channel starts elsewhere, and not from a copy that nobody made", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.sendRequest("r", "plan");
    assert.ok(call.replicaAddress !== undefined);
    const attemptId = call.attemptId;
    const effects = gateway.handle({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    const [next] = callsIn(effects);
    assert.is(next.continuesFrom, undefined);
    assert.is.not(next.address, call.address);
});

test("a stream whose copy's holder refuses the channel is over: no other server has a copy", () => {
    const gateway = gatewayWithEngines();
    const [next] = callsIn(gateway.failAttempt(gateway.startStream("r", "plan")));
    const { attemptId } = next;
    const effects = gateway.handle({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    assert.equal(callsIn(effects), []);
    assert.ok(kindsIn(effects).includes("answerCut"));
});

test("a server that refuses a channel gets no other request for a while", () => {
    const gateway = gatewayWithEngines();
    const { attemptId, backendServer } = gateway.sendRequest("r", "note");
    gateway.handle({ kind: "attemptFailed", attemptId, failure: "connect_refused", wasSent: false });
    const chosen = Array.from({ length: 4 }, (_, index) => gateway.sendRequest(`s${index}`, "note").backendServer);
    assert.not.ok(chosen.includes(backendServer));
});

test("a stream that may not run again and has no copy is cut, never ended as complete", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan");
    const kinds = kindsIn(gateway.failAttempt(call));
    assert.ok(kinds.includes("answerCut"));
    assert.not.ok(kinds.includes("answerEnd"));
});

test("a stream that may run again goes on after the caller's last event", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "note", { lastEvent: 0 });
    const [next] = callsIn(gateway.failAttempt(call));
    assert.is(next.continuesFrom, undefined);
    assert.is(next.lastEvent, 1);
});

test("copies are only kept where memory stays free", () => {
    const gateway = gatewayWithEngines();
    assert.is(gateway.sendRequest("r", "plan", largePlan).replicaAddress, undefined);
});

test("a stream without a copy is moved when its server leaves, and goes on from there", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", largePlan);
    const effects = gateway.register(server(call.backendServer, { isDraining: true, heartbeat: 2 }));
    const move = effects.find(effect => effect.kind === "migrateRun");
    assert.ok(move !== undefined);
    const answered = finishMigration(gateway, call, "h7");
    const [next] = callsIn(answered);
    assert.equal(next.continuesFrom, { source: call.address, name: "h7" });
    assert.ok(kindsIn(answered).includes("cancelAttempt"), "the old run ends before the new one starts");
    assert.ok(kindsIn(answered).indexOf("cancelAttempt") < kindsIn(answered).indexOf("sendAttempt"));
});

test("neither a copy nor a move leads to a server whose notice has been known for long", () => {
    const copied = gatewayWithEngines();
    const call = copied.startStream("r", "plan");
    const holder = copied.state.attempts.get(call.attemptId)!.attempt!.replica!.record;
    copied.register({ ...holder, isDraining: true, heartbeat: 2 });
    copied.advance(1_100);
    assert.equal(callsIn(copied.failAttempt(call)), []);

    const moving = gatewayWithEngines();
    const run = moving.startStream("r", "plan", largePlan);
    const [source] = [...moving.state.servers.values()].filter(({ record }) => record.id === run.backendServer);
    const effects = moving.register({ ...source.record, isDraining: true, heartbeat: 2 });
    const [move] = effects.filter(effect => effect.kind === "migrateRun");
    const target = [...moving.state.servers.values()].find(({ record }) => record.address === move.targetAddress)!;
    moving.register({ ...target.record, isDraining: true, heartbeat: 2 });
    moving.advance(1_100);
    assert.equal(callsIn(finishMigration(moving, run, "copy")), []);
});

test("moves from one server follow each other", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const calls = ["r", "s"].map(id => gateway.startStream(id, "plan", { promptTokens: 3_000, maximumTokens: 500 }));
    gateway.register(server("engine-2"));
    const effects = gateway.register(server("engine-1", { isDraining: true, heartbeat: 2 }));
    assert.is(kindsIn(effects).filter(kind => kind === "migrateRun").length, 1);
    const first = effects.find(effect => effect.kind === "migrateRun")!;
    const moving = calls.find(call => first.kind === "migrateRun" && call.attemptId === first.attemptId)!;
    assert.ok(kindsIn(finishMigration(gateway, moving, "h1")).includes("migrateRun"));
});

test("a run goes on where it is when its move fails", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan", largePlan);
    gateway.register(server(call.backendServer, { isDraining: true, heartbeat: 2 }));
    assert.equal(callsIn(finishMigration(gateway, call, undefined)), []);
    assert.equal(eventsIn(gateway.receiveEvents(call, 2)), [2]);
});

test("a move that was refused goes to other targets, each once, and then stops", () => {
    const gateway = TestGateway.serving(...[1, 2, 3].map(number => server(`engine-${number}`)));
    const call = gateway.startStream("r", "plan", largePlan);
    const source = gateway.state.servers.get(call.backendServer)!.record;
    const targets: string[] = [];
    let effects = gateway.register({ ...source, isDraining: true, heartbeat: 2 });
    for (let answers = 0; answers < 10; answers++) {
        const next = effects.flatMap(effect => effect.kind === "migrateRun" ? [effect.targetAddress] : []);
        targets.push(...next);
        effects = next.length === 0 ? [] : finishMigration(gateway, call, undefined);
    }
    assert.is(targets.length, 2);
    assert.is(new Set(targets).size, 2);
});

test("a stream that finds no target does not hold up the others", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    gateway.startStream("long", "plan", { promptTokens: 7_000, maximumTokens: 2_500 });
    const short = gateway.startStream("short", "plan", { promptTokens: 300, maximumTokens: 500 });
    gateway.register(server("engine-2"));
    gateway.startStream("other", "plan", { promptTokens: 4_000, maximumTokens: 500 });
    const source = gateway.state.servers.get(short.backendServer)!.record;
    const moves = gateway.register({ ...source, isDraining: true, heartbeat: 2 }).filter(({ kind }) =>
        kind === "migrateRun"
    );
    assert.equal(moves.map(effect => effect.kind === "migrateRun" && effect.callerAttemptId), ["short"]);
});

test("a silent run is not given up while its server lives: it may have been pushed aside", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    const probes = gateway.advance(1_300).filter(effect => effect.kind === "probeServer");
    assert.is(probes.length, 1);
    const report = { runs: [{ callerAttemptId: call.head.callerAttemptId, events: 1 }] };
    const effects = gateway.handle({ kind: "serverProbed", backendServer: call.backendServer, report });
    assert.equal(kindsIn(effects), []);
    assert.equal(eventsIn(gateway.receiveEvents(call, 2)), [2]);
});

test("a silent run goes on elsewhere when its server gives no sign of life", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    gateway.advance(1_300);
    const effects = gateway.handle({ kind: "serverProbed", backendServer: call.backendServer, report: undefined });
    assert.is(callsIn(effects)[0].address, call.replicaAddress);
});

test("a run that is ahead of its channel goes on elsewhere: the channel is dead", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    gateway.advance(1_300);
    const report = { runs: [{ callerAttemptId: call.head.callerAttemptId, events: 60 }] };
    const effects = gateway.handle({ kind: "serverProbed", backendServer: call.backendServer, report });
    assert.is(callsIn(effects).length, 1);
});

test("a stream that ends with its route's time is cut", () => {
    const gateway = TestGateway.serving(server("engine-1"));
    const call = gateway.startStream("r", "plan");
    for (let second = 0; second < 38; second++) {
        gateway.receiveEvents(call, second + 2);
        gateway.advance(1_000);
    }
    assert.ok(kindsIn(gateway.advance(1_100)).includes("answerCut"));
});

test("during a planned stop long streams are refused at once, to return when the balancer has looked away", () => {
    const gateway = gatewayWithEngines();
    gateway.handle({ kind: "stopRequested" });
    assert.ok(failuresIn(gateway.receiveRequest("q", "plan"))[0].retryAfter! >= 3_000);
    gateway.advance(3_400);
    const [failure] = failuresIn(gateway.receiveRequest("r", "plan"));
    assert.equal([failure.type, failure.outcome], ["leaving", "not_run"]);
    assert.ok(failure.retryAfter! < 100);
    assert.is(callsIn(gateway.receiveRequest("s", "note", { maximumTokens: 10 })).length, 1);
});

test("late in a planned stop only streams are taken whose longest output fits: estimates are often far off", () => {
    const gateway = gatewayWithEngines();
    gateway.handle({ kind: "stopRequested" });
    gateway.advance(1_000);
    const few = { maximumTokens: 1_000, estimatedTokens: 20 };
    assert.is(callsIn(gateway.receiveRequest("r", "plan", few)).length, 1);
    gateway.advance(2_500);
    assert.is(failuresIn(gateway.receiveRequest("s", "plan", few))[0].type, "leaving");
    assert.is(callsIn(gateway.receiveRequest("t", "plan", { maximumTokens: 20 })).length, 1);
});

test("a planned stop waits for streams, and the process exits when the last one is over", () => {
    const gateway = gatewayWithEngines();
    const call = gateway.startStream("r", "plan");
    gateway.handle({ kind: "stopRequested" });
    assert.not.ok(kindsIn(gateway.advance(4_000)).includes("exit"));
    gateway.handle({ kind: "streamEnded", attemptId: call.attemptId });
    assert.ok(kindsIn(gateway.advance(50)).includes("exit"));
});

test("engines are chosen by what all gateways have at work there", () => {
    const gateway = gatewayWithEngines();
    const busy = (backendServer: string) => ({
        backendServer: identifier<never>(backendServer),
        inProgress: 3,
        memoryTokens: 6_000,
        waitingTokens: 3_000,
    });
    gateway.receiveReport({ loads: [busy("engine-1"), busy("engine-3")] });
    const chosen = Array.from({ length: 3 }, (_, index) => gateway.sendRequest(`r${index}`, "note").backendServer);
    assert.equal([...new Set(chosen)], ["engine-2"]);
});

test.run();
